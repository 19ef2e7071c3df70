/** Determines from the connections to a server whether it lives on after one of them has ended. */
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { isReset } from "./socket_reset.ts";
import { CRASH_SETTLE_MS, tryConnect } from "./try_connect.ts";

/** State of a server after one of its connections has ended. */
export type StateAfterEnd =
  | "alive"
  | "ended"
  /** An address that accepts connections does not show which process listens there. */
  | "unclear";

/**
 * Number of other connections that must all end as well to show that the process has: a server may
 * close a single idle connection at any time.
 */
const MIN_ENDED_CONNECTIONS = 2;

/** Connections to one server. */
export class ServerConnections {
  readonly #address: string;
  readonly #open = new Set<Socket>();
  readonly #endedByServer = new WeakSet<Socket>();

  private constructor(address: string) {
    this.#address = address;
  }

  /**
   * @param address `ip:port` of the server.
   * @returns A set without connections.
   */
  static create(address: string): ServerConnections {
    return new ServerConnections(address);
  }

  /** @param socket A connection that was established. */
  add(socket: Socket): void {
    this.#open.add(socket);
    const end = () => this.#endedByServer.add(socket);
    socket.once("end", end);
    socket.once("error", (error) => {
      if (isReset(error)) end();
    });
    socket.once("close", () => this.#open.delete(socket));
  }

  /**
   * Call it when a connection has ended. The other connections of a process that has ended break at
   * the same time; connections that were opened before and stay open show that it lives on.
   *
   * @returns State of the server.
   */
  async stateAfterEnd(): Promise<StateAfterEnd> {
    const others = [...this.#open].filter((socket) => !this.#hasEnded(socket));
    await sleep(CRASH_SETTLE_MS);
    if (others.some((socket) => !this.#hasEnded(socket))) return "alive";
    const ended = others.filter((socket) => this.#endedByServer.has(socket));
    const areAllEnded = ended.length === others.length;
    if (areAllEnded && ended.length >= MIN_ENDED_CONNECTIONS) return "ended";
    const isRefused = await tryConnect(this.#address) === "refused";
    return isRefused ? "ended" : "unclear";
  }

  #hasEnded(socket: Socket): boolean {
    return socket.destroyed || this.#endedByServer.has(socket);
  }
}
