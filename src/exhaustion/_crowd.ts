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
  /** Whether a client whose connection was closed connects again at once; default: false. */
  returns?: boolean;
}

/** One client of a {@link Crowd}. */
interface CrowdClient {
  socket: Socket;
  text: string;
}

/** Clients that are connected at the same time. */
export class Crowd {
  readonly #clients: CrowdClient[] = [];
  #isClosed = false;

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
    const address = { host: ipAddress, port: clientPort };
    const written = Array.from(
      { length: count },
      (_, index) => crowd.#open(address, script, index),
    );
    const all = script.returns ? sleep(WRITE_MS) : Promise.all(written);
    await Promise.race([all, sleep(WRITE_MS)]);
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

  #open(
    address: { host: string; port: number },
    script: ClientScript,
    index: number,
  ): Promise<void> {
    const socket = connect(address);
    const client: CrowdClient = { socket, text: "" };
    this.#clients[index] = client;
    socket.setNoDelay(true);
    socket.on("error", () => {});
    if (script.reads === false) socket.pause();
    else {
      socket.on("data", (bytes) => {
        if (client.text.length < 4096) client.text += bytes;
      });
    }
    if (script.returns) {
      socket.once("close", () => {
        if (!this.#isClosed) {
          setTimeout(() => this.#open(address, script, index));
        }
      });
    }
    return write(socket, script, index);
  }

  /** Closes all connections. */
  close(): void {
    this.#isClosed = true;
    for (const { socket } of this.#clients) socket.destroy();
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
