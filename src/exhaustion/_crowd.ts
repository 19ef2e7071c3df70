/** Clients that write bytes of their own choice, and most of which don't end their requests. */
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryAddress } from "../standin/mod.ts";

/** Longest time in which a crowd writes before its effect is checked. */
const WRITE_MS = 4000;
/** Time in which a process reads what was written last. */
const SETTLE_MS = 500;

/** What one client writes, and whether it reads. */
export interface ClientScript {
  /** Pieces that are written one after the other. */
  pieces(index: number): Iterable<string | Buffer>;
  /** Default: true. */
  reads?: boolean;
  /** Whether each piece is sent in a packet of its own; default: false. */
  isPaced?: boolean;
}

/** One client of a {@link Crowd}. */
interface CrowdClient {
  socket: Socket;
  text: string;
}

/** Clients that are connected at the same time. */
export class Crowd {
  readonly #clients: CrowdClient[] = [];

  private constructor() {}

  /**
   * Opens the clients, and lets them write.
   *
   * @param count Number of clients.
   * @param address Where they connect.
   * @param script What each of them does.
   * @returns The clients, once they have written all that the process takes.
   */
  static async create(
    count: number,
    { ipAddress, clientPort }: EntryAddress,
    script: ClientScript,
  ): Promise<Crowd> {
    const crowd = new Crowd();
    const written: Promise<void>[] = [];
    for (let index = 0; index < count; index++) {
      const socket = connect({ host: ipAddress, port: clientPort });
      const client: CrowdClient = { socket, text: "" };
      socket.setNoDelay(true);
      socket.on("error", () => {});
      if (script.reads === false) socket.pause();
      else {
        socket.on("data", (bytes) => {
          if (client.text.length < 4096) client.text += bytes;
        });
      }
      crowd.#clients.push(client);
      written.push(write(socket, script, index));
    }
    await Promise.race([Promise.all(written), sleep(WRITE_MS)]);
    await sleep(SETTLE_MS);
    return crowd;
  }

  /** Number of clients whose connections are open. */
  get openCount(): number {
    return this.#clients.filter(({ socket }) => !socket.destroyed).length;
  }

  /** First line of what each client has read. */
  get statusLines(): string[] {
    return this.#clients.map(({ text }) => text.split("\r\n", 1)[0]!);
  }

  /** Closes all connections. */
  close(): void {
    for (const { socket } of this.#clients) socket.resetAndDestroy();
  }
}

/**
 * @param sizeBytes Size of the content.
 * @returns One chunk of a body, which is not the last.
 */
export function chunkOf(sizeBytes: number): Buffer {
  return Buffer.concat([
    Buffer.from(`${sizeBytes.toString(16)}\r\n`),
    Buffer.alloc(sizeBytes, "x"),
    Buffer.from("\r\n"),
  ]);
}

async function write(
  socket: Socket,
  { pieces, isPaced = false }: ClientScript,
  index: number,
): Promise<void> {
  for (const piece of pieces(index)) {
    if (socket.destroyed) return;
    if (!socket.write(piece)) await drained(socket);
    else if (isPaced) await new Promise(setImmediate);
  }
}

function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      socket.off("drain", settle);
      socket.off("close", settle);
      resolve();
    };
    socket.once("drain", settle);
    socket.once("close", settle);
  });
}
