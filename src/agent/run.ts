/** One run: the request, its output and the number of attached readers. */
import type { EngineFailure } from "../backends/engine.ts";
import {
  type AskRequest,
  type Refusal,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import { type OutputLimits, RunOutput } from "./run_output.ts";

/** State of a run. */
export const RunState = {
  /** Accepted, but not sent to the backend server. */
  Waiting: "waiting",
  /** Sent to the backend server, so it may have had effects. */
  Running: "running",
  Ended: "ended",
} as const;
/** One of {@link RunState}. */
export type RunState = (typeof RunState)[keyof typeof RunState];

/** Token counts of a run, as far as the backend server reported them. */
export interface RunUsage {
  promptTokens: number;
  completionTokens: number;
  cachedTokens: number;
  /** Incarnation of the engine that terminated during the run. */
  endedEngine?: string;
}

/** The request and the limits of a run. */
export interface RunOptions {
  ask: AskRequest;
  attempt: number;
  nowMs: number;
  limits: OutputLimits;
  isAtMostOnce?: boolean;
}

const NO_USAGE: RunUsage = {
  promptTokens: 0,
  completionTokens: 0,
  cachedTokens: 0,
};

/** An accepted run. It belongs to the agent and continues if its connections are closed. */
export class Run {
  readonly runId: string;
  readonly attempt: number;
  readonly ask: AskRequest;
  readonly createdMs: number;
  /** The caller's deadline; Infinity if there is none. */
  readonly deadlineAtMs: number;
  readonly output: RunOutput;
  state: RunState = RunState.Waiting;
  /** Last time a reader attached, acknowledged pieces or detached. */
  lastReadMs: number;
  /** Number of connections that currently read this run. */
  attached = 0;
  endedMs = 0;
  /** True once another request with the same idempotency key shares this run. */
  isShared = false;
  /** True once a reader has acknowledged the end. */
  isEndRead = false;
  engineIncarnation = "";
  matchedTokens = 0;
  /** Weights version that serves the run; empty if not known yet, or if it is no model run. */
  weightsVersion = "";
  /**
   * True if the request must never run more than once. Such a run is not cancelled once it was
   * sent, and its answer is kept for repeated requests.
   */
  readonly isAtMostOnce: boolean;
  readonly #abort = new AbortController();
  #cancelReason = "";

  private constructor(options: RunOptions) {
    const { ask, attempt, nowMs, limits } = options;
    this.isAtMostOnce = options.isAtMostOnce ?? false;
    this.runId = ask.runId;
    this.attempt = attempt;
    this.ask = ask;
    this.createdMs = nowMs;
    this.lastReadMs = nowMs;
    this.deadlineAtMs = ask.deadlineMs > 0 ? nowMs + ask.deadlineMs : Infinity;
    this.output = RunOutput.create(limits);
  }

  /**
   * @param options The request and the limits.
   * @returns A waiting run.
   */
  static create(options: RunOptions): Run {
    return new Run(options);
  }

  /** Aborts when the run is cancelled. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Reason of the cancellation; empty if the run was not cancelled. */
  get cancelReason(): string {
    return this.#cancelReason;
  }

  /** @param reason Reason of the cancellation, as a readable text. */
  cancel(reason: string): void {
    if (this.#abort.signal.aborted) return;
    this.#cancelReason = reason;
    this.#abort.abort();
    this.output.wake();
  }

  /** @param refusal The refusal that ends a run that was never sent to the backend server. */
  refuse(refusal: Refusal): void {
    this.state = RunState.Ended;
    this.output.finish({ kind: "refused", refusal });
  }

  /**
   * @param outcome Outcome of the run.
   * @param message Readable description.
   * @param usage Token counts, as far as known.
   */
  end(outcome: RunOutcome, message: string, usage: RunUsage = NO_USAGE): void {
    this.state = RunState.Ended;
    const pieceCount = this.output.pieceCount;
    const end = { outcome, message, pieceCount, ...usage };
    this.output.finish({ kind: "end", end });
  }

  /**
   * Fails the run because its engine terminated.
   *
   * @param message Readable description.
   */
  failOnEngineEnd(message: string): void {
    const endedEngine = this.engineIncarnation || undefined;
    this.end(RunOutcome.FAILED, message, { ...NO_USAGE, endedEngine });
  }
}

/**
 * @param failure A failed call from the agent to the backend server.
 * @returns A one-sentence description, without prompts or keys.
 */
export function describeFailure(failure: EngineFailure): string {
  switch (failure.kind) {
    case "unreachable":
      return `The server can't be reached: ${failure.message}`;
    case "rejected":
      return `The server answered ${failure.status}`;
    case "broken":
      return `The connection to the server broke: ${failure.message}`;
    case "fenced":
      return `The server has seen fencing number ${failure.highestFencingNumber}`;
  }
}
