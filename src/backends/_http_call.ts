/** What the HTTP adapters share: connections, and why a call failed. */
import { Pool } from "undici";

/** How far a failed call got. */
export type CallFailure =
  /** Nothing was sent. */
  | { kind: "unreachable"; message: string }
  /** It may have been carried out. */
  | { kind: "broken"; message: string };

/** Times of a pool of connections. */
export interface HttpPoolOptions {
  connectMs: number;
  /** Longest wait for the head of an answer. */
  headMs: number;
  /** Longest wait between two parts of a body. */
  silenceMs: number;
}

/** Shorter than what servers usually allow, so that they do not close a connection in use. */
const KEEP_ALIVE_MS = 2000;

/** Codes of errors that come before the request is sent. */
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
 * @param options Times.
 * @returns Connections to the server, one for each call in flight.
 */
export function createPool(url: string, options: HttpPoolOptions): Pool {
  return new Pool(url, {
    pipelining: 1,
    connect: { timeout: options.connectMs, noDelay: true },
    headersTimeout: options.headMs,
    bodyTimeout: options.silenceMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
  });
}

/**
 * @param error What a call threw.
 * @returns How far the call got.
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
