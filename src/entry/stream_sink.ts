/** Sends an answer as server-sent events, terminated by `[DONE]`. */
import type { ServerResponse } from "node:http";
import type { RunHead } from "../wire/gen/cicadahitch.ts";
import {
  abortResponse,
  type AnswerSink,
  protectUndeclaredEnd,
  writeFailure,
  writeWithBackpressure,
} from "./answer_sink.ts";
import { errorBody, type RequestFailure } from "./errors.ts";

const DATA = Buffer.from("data: ");
const EVENT_END = Buffer.from("\n\n");
const DONE = "data: [DONE]\n\n";

/** Streams pieces as they arrive. */
export class StreamSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #signal: AbortSignal;
  #isCommitted = false;

  private constructor(response: ServerResponse, signal: AbortSignal) {
    this.#response = response;
    this.#signal = signal;
  }

  /**
   * @param response The caller's HTTP response.
   * @param signal Ends waits for a slow caller when aborted.
   * @returns A sink that has sent nothing.
   */
  static create(response: ServerResponse, signal: AbortSignal): StreamSink {
    return new StreamSink(response, signal);
  }

  get isCommitted(): boolean {
    return this.#isCommitted;
  }

  reset(): void {}

  head(_head: RunHead): void {}

  pieces(data: Buffer[]): Promise<void> | undefined {
    this.#commit();
    const parts: Buffer[] = [];
    for (const piece of data) parts.push(DATA, piece, EVENT_END);
    return writeWithBackpressure(
      this.#response,
      Buffer.concat(parts),
      this.#signal,
    );
  }

  finish(): undefined {
    this.#commit();
    this.#response.end(DONE);
  }

  fail(failure: RequestFailure): void {
    if (!this.#isCommitted) return writeFailure(this.#response, failure);
    const body = JSON.stringify(errorBody(failure));
    this.#response.write(`event: error\ndata: ${body}\n\n`, () => {
      // Without the final chunk, the caller's HTTP library also reports an incomplete response.
      abortResponse(this.#response);
    });
  }

  #commit(): void {
    if (this.#isCommitted) return;
    this.#isCommitted = true;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      "x-accel-buffering": "no",
    });
    protectUndeclaredEnd(this.#response);
  }
}
