/** Connection pools and failure classification, shared by the HTTP adapters. */
import { buildConnector, type Client, Pool } from "undici";
import { ResetClient } from "./_reset_client.ts";

/** A failed call, classified by whether the server may have executed it. */
export type CallFailure =
  /** The request was not sent. */
  | { kind: "unreachable"; message: string }
  /** The request may have been executed. */
  | { kind: "broken"; message: string };

/** Timeouts of a connection pool; 0 disables `headMs` and `silenceMs`. */
export interface HttpPoolOptions {
  connectTimeoutMs: number;
  /** Timeout for the response headers. */
  headMs: number;
  /** Timeout between two chunks of the response body. */
  silenceMs: number;
}

/** Shorter than usual server timeouts, so that a server does not close a connection just reused. */
const KEEP_ALIVE_MS = 2000;

/** Codes of errors that occur before the request is sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
  "UND_ERR_INVALID_ARG",
]);

/**
 * @param url Base URL of the server.
 * @param options Timeouts.
 * @returns A pool with one connection per call in flight.
 */
export function createPool(url: string, options: HttpPoolOptions): Pool {
  return new Pool(url, {
    ...toClientOptions(options),
    factory: (origin, clientOptions) =>
      ResetClient.create(origin, clientOptions),
  });
}

function toClientOptions(options: HttpPoolOptions): Client.Options {
  return {
    pipelining: 1,
    connect: buildConnector({
      timeout: options.connectTimeoutMs,
      noDelay: true,
    }),
    headersTimeout: options.headMs,
    bodyTimeout: options.silenceMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
  };
}

/**
 * Connections that carry one call each. The first answer on such a connection is the call's own, while
 * a late answer to an earlier call may come on one that is reused.
 */
export class SingleCallConnections {
  readonly #url: URL;
  readonly #options: HttpPoolOptions;
  readonly #open = new Set<Client>();

  private constructor(url: string, options: HttpPoolOptions) {
    this.#url = new URL(url);
    this.#options = options;
  }

  /**
   * @param url Base URL of the server.
   * @param options Timeouts.
   * @returns An object without connections.
   */
  static create(url: string, options: HttpPoolOptions): SingleCallConnections {
    return new SingleCallConnections(url, options);
  }

  /** @returns A client that connects for its only call; the caller closes it. */
  open(): Client {
    const client = ResetClient.create(
      this.#url,
      toClientOptions(this.#options),
    );
    this.#open.add(client);
    return client;
  }

  /** @param client Client whose call has ended, or is to be cancelled. */
  close(client: Client): void {
    this.#open.delete(client);
    // Nothing needs to wait for the connection's end.
    void client.destroy();
  }

  /** Cancels all calls. */
  closeAll(): void {
    for (const client of this.#open) this.close(client);
  }
}

/**
 * @param error Error that a call threw.
 * @returns The failure and whether the request may have been executed.
 */
export function toCallFailure(error: unknown): CallFailure {
  const message = error instanceof Error ? error.message : "The call failed";
  const kind = UNSENT_CODES.has(codeOf(error)) ? "unreachable" : "broken";
  return { kind, message };
}

function codeOf(error: unknown): string {
  if (!(error instanceof Error) || !("code" in error)) return "";
  return String(error.code);
}
