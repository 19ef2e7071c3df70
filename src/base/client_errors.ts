/** Answers errors of client connections, in place of Node's HTTP server, and reports them. */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";

/** Status for bytes that are no request. */
const BAD_REQUEST = 400;

/** Statuses of other errors, by Node's error code. */
const STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

/** An error of a client's connection. */
export interface ClientError {
  /** Node's error code. */
  code: string;
  /** Requests that were received whole on the connection and are not answered. */
  runningCount: number;
}

/** A request and its response. */
interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Handles the connection errors of one HTTP server. */
export class ClientErrors {
  readonly #onError: (error: ClientError) => void;
  /** Exchanges that have not ended, in the order of their requests. */
  readonly #exchanges = new WeakMap<Socket, Set<Exchange>>();

  private constructor(onError: (error: ClientError) => void) {
    this.#onError = onError;
  }

  /**
   * @param server Server whose connections are handled from now on.
   * @param onError Called for each error; closed connections are none.
   * @returns The handler.
   */
  static create(
    server: Server,
    onError: (error: ClientError) => void,
  ): ClientErrors {
    const errors = new ClientErrors(onError);
    server.prependListener("request", (request, response) => {
      errors.#add({ request, response });
    });
    server.on("clientError", (error, socket) => {
      errors.#handle(error, socket as Socket);
    });
    return errors;
  }

  #add(exchange: Exchange): void {
    const { socket } = exchange.request;
    const exchanges = this.#exchanges.get(socket) ?? new Set();
    this.#exchanges.set(socket, exchanges.add(exchange));
    exchange.response.once("close", () => exchanges.delete(exchange));
  }

  #handle(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) return void socket.destroy(error);
    const exchanges = [...this.#exchanges.get(socket) ?? []];
    const running = exchanges.filter(({ request }) => request.complete);
    const { code = "" } = error;
    this.#onError({ code, runningCount: running.length });
    const isAnswering = exchanges.some(({ response }) => response.headersSent);
    if (!isAnswering) socket.write(answerTo(code));
    socket.destroy(error);
  }
}

function answerTo(code: string): string {
  const status = STATUSES[code] ?? BAD_REQUEST;
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    `Connection: close\r\n\r\n`;
}
