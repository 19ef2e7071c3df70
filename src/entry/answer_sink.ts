/** Writes a run's answer to the caller's HTTP response, in the format that the caller requested. */
import type { ServerResponse } from "node:http";
import { ExitReset } from "../base/exit_reset.ts";
import type { RunEnd, RunHead } from "../wire/gen/cicadahitch.ts";
import {
  errorBody,
  errorHeaders,
  type RequestFailure,
  statusOf,
} from "./errors.ts";

/** Receives a run's answer. */
export interface AnswerSink {
  /** Whether any part of the answer has been sent to the caller. */
  readonly isCommitted: boolean;
  /** Discards the pieces received so far, before the request is run again. */
  reset(): void;
  /** Receives status and headers. */
  head(head: RunHead): void;
  /**
   * Receives the next pieces.
   *
   * @returns Undefined if more can be written. If the caller is slow, a promise that resolves when the
   * write buffer has drained, the connection is closed or the request is aborted.
   */
  pieces(data: Buffer[]): Promise<void> | undefined;
  /**
   * Completes the answer.
   *
   * @returns The failure that was reported to the caller if the answer is invalid, else undefined.
   */
  finish(end: RunEnd): RequestFailure | undefined;
  /** Reports a failure to the caller. */
  fail(failure: RequestFailure): void;
}

/**
 * Lets the kernel reset the connection of a response without chunks or a length, as for callers of
 * HTTP/1.0, if this process ends before it has written all of it.
 *
 * @param response A response whose head was written.
 */
export function protectUndeclaredEnd(response: ServerResponse): void {
  const { socket } = response;
  if (!socket || declaresEnd(response)) return;
  let reset: ExitReset | undefined;
  // Before Node's own listener, which closes the connection.
  response.prependOnceListener("finish", () => reset?.release());
  void ExitReset.create(socket).then((created) => {
    reset = created;
    if (response.writableFinished) reset?.release();
  });
}

/**
 * Breaks off a response. If only the end of its connection would end it, the connection is reset, as the
 * caller would take the part for the whole.
 *
 * @param response A response whose head was written.
 */
export function abortResponse(response: ServerResponse): void {
  if (declaresEnd(response)) response.destroy();
  else response.socket?.resetAndDestroy();
}

function declaresEnd(response: ServerResponse): boolean {
  return response.chunkedEncoding || response.hasHeader("content-length");
}

/**
 * Writes with backpressure, since the caller may be slow.
 *
 * @param response The HTTP response.
 * @param data The data to write.
 * @param signal Ends the wait for the write buffer when aborted.
 * @returns Undefined if more can be written, else a promise that resolves when the buffer has drained,
 * the connection is closed or the signal is aborted.
 */
export function writeWithBackpressure(
  response: ServerResponse,
  data: Buffer,
  signal: AbortSignal,
): Promise<void> | undefined {
  if (response.write(data) || response.destroyed) return undefined;
  return waitForDrain(response, signal);
}

/**
 * Sends a failure as the response. Does nothing if the headers were already sent.
 *
 * @param response The HTTP response.
 * @param failure The failure to report.
 */
export function writeFailure(
  response: ServerResponse,
  failure: RequestFailure,
): void {
  if (response.destroyed || response.headersSent) return;
  const body = JSON.stringify(errorBody(failure));
  // The unread rest of a request body would block the next request on the connection.
  if (!response.req.complete) response.shouldKeepAlive = false;
  response.writeHead(statusOf(failure), {
    ...errorHeaders(failure),
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

function waitForDrain(
  response: ServerResponse,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      response.off("drain", done);
      response.off("close", done);
      signal.removeEventListener("abort", done);
      resolve();
    };
    response.once("drain", done);
    response.once("close", done);
    signal.addEventListener("abort", done, { once: true });
    if (signal.aborted) done();
  });
}
