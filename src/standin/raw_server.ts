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

  /** Stops the server. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #serve(socket: Socket, answer: RawResponder): void {
    this.connections++;
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      const head = bytes.toString("latin1");
      if (!head.startsWith("POST ")) return;
      const [, attemptId = ""] = /attempt-id: (.*)\r\n/i.exec(head) ?? [];
      this.requests.push(head);
      answer(socket, attemptId, this.requests.length);
    });
  }
}
