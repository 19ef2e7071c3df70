/** The caller of one request: its connection and the time left until its deadline. */
import type { ServerResponse } from "node:http";
import type { Clock } from "../base/mod.ts";

/** Why a request's signal was aborted. */
export const AbortCause = {
  ClientGone: "client_gone",
  Deadline: "deadline",
} as const;
/** One of {@link AbortCause}. */
export type AbortCause = (typeof AbortCause)[keyof typeof AbortCause];

/** Aborts a signal when the caller disconnects or its deadline expires. */
export class Caller {
  readonly response: ServerResponse;
  readonly #clock: Clock;
  readonly #controller = new AbortController();
  readonly #onClose = () => this.#abort(AbortCause.ClientGone);
  #cause: AbortCause | undefined;
  #timer: NodeJS.Timeout | undefined;
  #deadlineAtMs = Infinity;

  private constructor(response: ServerResponse, clock: Clock) {
    this.response = response;
    this.#clock = clock;
    response.once("close", this.#onClose);
  }

  /**
   * @param response The response to the caller.
   * @param clock Measures the time until the deadline.
   * @returns A caller without a deadline.
   */
  static create(response: ServerResponse, clock: Clock): Caller {
    return new Caller(response, clock);
  }

  /** Aborted when the caller disconnects or its deadline expires. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Why the signal was aborted; undefined if it was not. */
  get cause(): AbortCause | undefined {
    return this.#cause;
  }

  /** Time left until the deadline, in ms; at least 0, infinite without a deadline. */
  get leftMs(): number {
    return Math.max(0, this.#deadlineAtMs - this.#clock.nowMs());
  }

  /** @param deadlineMs Time from now until the deadline; replaces an earlier deadline. */
  setDeadline(deadlineMs: number): void {
    clearTimeout(this.#timer);
    this.#deadlineAtMs = this.#clock.nowMs() + deadlineMs;
    this.#timer = setTimeout(
      () => this.#abort(AbortCause.Deadline),
      deadlineMs,
    );
  }

  /** Stops watching the connection and the deadline; call it when the request has ended. */
  finish(): void {
    clearTimeout(this.#timer);
    this.response.removeListener("close", this.#onClose);
  }

  #abort(cause: AbortCause): void {
    if (this.#cause) return;
    this.#cause = cause;
    this.#controller.abort();
  }
}
