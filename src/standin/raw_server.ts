/** Stand-in for a backend server that responds with raw bytes. */
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Writes raw bytes as the response to the nth request; may close the connection itself. */
export type RawResponder = (
  socket: Socket,
  attemptId: string,
  nth: number,
) => void;

/** What the address of a server does after its process has ended. */
export const AddressAfterEnd = {
  refuses: "refuses connections",
  /** As a kernel or supervisor does that releases the port a little later. */
  closesBriefly:
    "accepts and closes connections for a while, then refuses them",
  closes: "accepts and closes connections",
  silent: "accepts connections and never answers",
  /** A new process of the server, under another id, which rejects requests to the old one. */
  newProcess: "is that of a new process",
} as const;

/** One of {@link AddressAfterEnd}. */
export type AddressAfterEnd =
  typeof AddressAfterEnd[keyof typeof AddressAfterEnd];

/** How long the address still accepts connections with {@link AddressAfterEnd.closesBriefly}. */
const BRIEFLY_MS = 40;
/** Answer of a new process to a request for the old one. */
const REJECTION =
  "HTTP/1.1 421 Other\r\nnot-executed: 1\r\ninstance-id: i-new\r\ncontent-length: 0\r\n\r\n";

/** Status line of a success, and the server's signature. */
export const SEALED_HEAD = "HTTP/1.1 200 OK\r\nserver-seal: s\r\n";

/**
 * @param attemptId Id of the request that is answered.
 * @returns The head of a successful response that ends with its connection.
 */
export function headWithoutLength(attemptId: string): string {
  return `${SEALED_HEAD}attempt-id: ${attemptId}\r\n\r\n`;
}

/** A server that responds with raw bytes. */
export class StandinRawServer {
  /** Heads of the requests that it got. */
  readonly requests: string[] = [];
  /** Number of connections that were opened to it. */
  connections = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #afterEnd: AddressAfterEnd | undefined;

  private constructor(answer: RawResponder) {
    this.#server = createServer((socket) => this.#serve(socket, answer));
  }

  /**
   * @param answer Writes the responses.
   * @returns A listening server.
   */
  static async create(answer: RawResponder): Promise<StandinRawServer> {
    const made = new StandinRawServer(answer);
    made.#server.listen(0, "127.0.0.1");
    await once(made.#server, "listening");
    return made;
  }

  /**
   * @param service Service that the server belongs to; the one of the engines has a model.
   * @returns The server's entry in the platform's store.
   */
  entry(service: string): object {
    const { port } = this.#server.address() as AddressInfo;
    const models = service === "engines"
      ? [{ name: "m", version: 1, adapters: [] }]
      : [];
    return {
      service,
      address: `127.0.0.1:${port}`,
      zone: "a",
      version: "v1",
      slots: 4,
      state: "ready",
      models,
      cold_left_ms: 0,
      sequence: 0,
      born: 1,
    };
  }

  /** Refuses new connections, as if the process had ended; open ones stay open. */
  stopListening(): void {
    this.#server.close();
  }

  /**
   * Ends the process: all its connections are closed in order, after what was written to them.
   *
   * @param afterEnd What its address does from then on.
   */
  end(afterEnd: AddressAfterEnd): void {
    this.#afterEnd = afterEnd;
    for (const socket of this.#sockets) socket.end();
    switch (afterEnd) {
      case AddressAfterEnd.refuses:
        return this.stopListening();
      case AddressAfterEnd.closesBriefly:
        setTimeout(() => this.stopListening(), BRIEFLY_MS);
        return;
      case AddressAfterEnd.closes:
      case AddressAfterEnd.silent:
      case AddressAfterEnd.newProcess:
        return;
    }
  }

  /** Stops the server. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #serve(socket: Socket, answer: RawResponder): void {
    this.connections++;
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    if (this.#afterEnd) return this.#serveAfterEnd(socket, this.#afterEnd);
    socket.on("data", (bytes) => {
      const head = bytes.toString("latin1");
      if (!head.startsWith("POST ")) return;
      const [, attemptId = ""] = /attempt-id: (.*)\r\n/i.exec(head) ?? [];
      this.requests.push(head);
      answer(socket, attemptId, this.requests.length);
    });
  }

  #serveAfterEnd(socket: Socket, afterEnd: AddressAfterEnd): void {
    switch (afterEnd) {
      case AddressAfterEnd.refuses:
      case AddressAfterEnd.closesBriefly:
      case AddressAfterEnd.closes:
        socket.end();
        return;
      case AddressAfterEnd.silent:
        socket.resume();
        return;
      case AddressAfterEnd.newProcess:
        socket.on("data", () => socket.write(REJECTION));
    }
  }
}
