/** Connection pools and failure classification, shared by the HTTP adapters. */
import { buildConnector, Pool } from "undici";
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
    pipelining: 1,
    connect: buildConnector({
      timeout: options.connectTimeoutMs,
      noDelay: true,
    }),
    factory: (origin, clientOptions) =>
      ResetClient.create(origin, clientOptions),
    headersTimeout: options.headMs,
    bodyTimeout: options.silenceMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
  });
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
