/** Passes the answer of a plain service through to the caller. */
import type { ServerResponse } from "node:http";
import type { RunHead } from "../wire/gen/cicadahitch.ts";
import {
  abortResponse,
  type AnswerSink,
  protectUndeclaredEnd,
  writeFailure,
  writeWithBackpressure,
} from "./answer_sink.ts";
import type { RequestFailure } from "./errors.ts";
import { endToEndHeaders } from "./service_headers.ts";

/** Status of an answer without a head. */
const BAD_GATEWAY = 502;

/** Sends status, headers and body of a service's answer to the caller as they arrive. */
export class ServiceSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #signal: AbortSignal;
  #head: RunHead | undefined;
  #isCommitted = false;

  private constructor(response: ServerResponse, signal: AbortSignal) {
    this.#response = response;
    this.#signal = signal;
  }

  /**
   * @param response The response to the caller.
   * @param signal Ends the wait for a slow caller.
   * @returns A sink that has sent nothing.
   */
  static create(response: ServerResponse, signal: AbortSignal): ServiceSink {
    return new ServiceSink(response, signal);
  }

  get isCommitted(): boolean {
    return this.#isCommitted;
  }

  reset(): void {
    this.#head = undefined;
  }

  head(head: RunHead): void {
    this.#head = head;
  }

  pieces(data: Buffer[]): Promise<void> | undefined {
    this.#sendHead();
    const body = data.length === 1 ? data[0]! : Buffer.concat(data);
    return writeWithBackpressure(this.#response, body, this.#signal);
  }

  finish(): undefined {
    this.#sendHead();
    this.#response.end();
  }

  fail(failure: RequestFailure): void {
    if (this.#isCommitted) abortResponse(this.#response);
    else writeFailure(this.#response, failure);
  }

  #sendHead(): void {
    if (this.#isCommitted) return;
    this.#isCommitted = true;
    const { status = BAD_GATEWAY, headers = [] } = this.#head ?? {};
    for (const { name, value } of endToEndHeaders(headers)) {
      this.#response.appendHeader(name, value);
    }
    this.#response.writeHead(status);
    protectUndeclaredEnd(this.#response);
  }
}
