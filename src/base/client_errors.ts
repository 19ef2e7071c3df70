/**
 * Handles errors of client connections in place of Node's HTTP server, which answers them although a
 * request of the same connection runs: the client would take that status for the request's answer.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "./clock.ts";
import type { Logger } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Status for bytes that are no request. */
const BAD_REQUEST = 400;

/** Codes of errors that are reported as Node's parser does. */
export const ClientErrorCode = {
  requestTimeout: "ERR_HTTP_REQUEST_TIMEOUT",
  headerOverflow: "HPE_HEADER_OVERFLOW",
  /** The memory for clients is used up; none of Node's. */
  noMemory: "ERR_CLIENT_MEMORY",
} as const;

/** One of {@link ClientErrorCode}. */
export type ClientErrorCode =
  typeof ClientErrorCode[keyof typeof ClientErrorCode];

/** Statuses of other errors, by code. */
const STATUSES: Readonly<Record<string, number>> = {
  [ClientErrorCode.requestTimeout]: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  [ClientErrorCode.headerOverflow]: 431,
  [ClientErrorCode.noMemory]: 503,
};

/** Minimum time between log lines. */
const LOG_INTERVAL_MS = 1000;

/** Where errors of client connections are reported. */
export interface ClientErrorsOptions {
  clock: Clock;
  log: Logger;
  metrics?: Metrics;
}

/** A request and its response. */
interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Handles the connection errors of one HTTP server. */
export class ClientErrors {
  readonly #options: ClientErrorsOptions;
  /** Exchanges that have not ended, in the order of their requests. */
  readonly #exchanges = new WeakMap<Socket, Set<Exchange>>();
  /** Connections that are closed behind the answers to their running requests. */
  readonly #ending = new WeakSet<Socket>();
  #loggedAtMs = -Infinity;
  /** Errors since the last log line. */
  #count = 0;

  private constructor(options: ClientErrorsOptions) {
    this.#options = options;
  }

  /**
   * @param server Server whose connections are handled from now on.
   * @param options Where errors are reported; closed connections are none.
   * @returns The handler.
   */
  static create(server: Server, options: ClientErrorsOptions): ClientErrors {
    const errors = new ClientErrors(options);
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
    const exchanges = [...this.#exchanges.get(socket) ?? []];
    // A request that was received in part can't run.
    const running = exchanges.filter(({ request }) => request.complete);
    const last = running.at(-1);
    const isGone = !socket.writable || (last && socket.readableEnded);
    if (isGone) return void socket.destroy(error);
    // Whatever else arrives on the connection repeats the error.
    if (this.#ending.has(socket)) return;
    const { code = "" } = error;
    this.#report(code, running.length);
    if (last) return this.#endBehind(last, socket);
    const isAnswering = exchanges.some(({ response }) => response.headersSent);
    if (isAnswering) return void socket.destroy(error);
    socket.write(answerTo(code));
    // The client may still be sending; a reset would take the answer from it.
    socket.destroySoon();
  }

  /** @param runningCount Requests that were received whole on the connection and are not answered. */
  #report(code: string, runningCount: number): void {
    const { clock, log, metrics } = this.#options;
    metrics?.counter("client_errors_total", {
      help: "Errors of client connections, by Node's code",
      labels: { code },
    }).add();
    this.#count++;
    const nowMs = clock.nowMs();
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    this.#loggedAtMs = nowMs;
    log.warn({ event: "client_error", code, runningCount, count: this.#count });
    this.#count = 0;
  }

  /** Closes a connection once the running requests are answered; Node reads no further ones. */
  #endBehind({ response }: Exchange, socket: Socket): void {
    this.#ending.add(socket);
    response.shouldKeepAlive = false;
    response.once("finish", () => socket.destroySoon());
  }
}

function answerTo(code: string): string {
  const status = STATUSES[code] ?? BAD_REQUEST;
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    `Connection: close\r\n\r\n`;
}
