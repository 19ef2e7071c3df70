/** Determines from the connections to a server whether it lives on after one of them has ended. */
import type { Socket } from "node:net";
import {
  setImmediate as turn,
  setTimeout as sleep,
} from "node:timers/promises";
import { isReset } from "../base/socket_reset.ts";
import { CRASH_SETTLE_MS, tryConnect } from "./try_connect.ts";

/** State of a server after one of its connections has ended. */
export type StateAfterEnd =
  | "alive"
  | "ended"
  /** An address that accepts connections does not show which process listens there. */
  | "unclear";

/** Connections to one server. */
export class ServerConnections {
  readonly #address: string;
  readonly #open = new Set<Socket>();
  readonly #endedByServer = new WeakSet<Socket>();
  /** When a connection ended last before the answer on it was complete, by the process's clock. */
  #cutAtMs = -Infinity;
  #established = 0;

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

  /** Number of connections that were established so far. */
  get established(): number {
    return this.#established;
  }

  /**
   * @param socket A connection that was established.
   * @returns Its number, from 1 on.
   */
  add(socket: Socket): number {
    this.#open.add(socket);
    const end = () => this.#endedByServer.add(socket);
    socket.once("end", end);
    socket.once("error", (error) => {
      if (isReset(error)) end();
    });
    socket.once("close", () => this.#open.delete(socket));
    return ++this.#established;
  }

  /**
   * @returns Function that returns whether one of the connections that are open now is still open, which
   *   shows that the process lives on.
   */
  watchOpen(): () => boolean {
    const open = [...this.#open].filter((socket) => !this.#hasEnded(socket));
    // Behind unread data, the end of a connection can't be seen.
    return () =>
      open.some((socket) =>
        !this.#hasEnded(socket) && socket.readableLength === 0
      );
  }

  /** Records that the server's end of a connection cut an answer, or left a request without one. */
  recordCut(): void {
    this.#cutAtMs = performance.now();
  }

  /**
   * Call it when a connection has ended. A connection that was open before and stays open shows that
   * the process lives on. That others end as well shows nothing if their own answers may end them; one
   * that is cut at the same time shows that the process has ended.
   *
   * @returns State of the server.
   */
  async stateAfterEnd(): Promise<StateAfterEnd> {
    const settledFromMs = performance.now() - CRASH_SETTLE_MS;
    const isOneOpen = this.watchOpen();
    await sleep(CRASH_SETTLE_MS);
    // After a stall, timers run before ends that have arrived are read: data first, then the end.
    await turn();
    await turn();
    if (isOneOpen()) return "alive";
    if (this.#cutAtMs >= settledFromMs) return "ended";
    const isRefused = await tryConnect(this.#address) === "refused";
    return isRefused ? "ended" : "unclear";
  }

  #hasEnded(socket: Socket): boolean {
    return socket.destroyed || this.#endedByServer.has(socket);
  }
}
