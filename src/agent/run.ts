/** One run: what was asked, its output and who is attached to it. */
import type { EngineFailure } from "../backends/engine.ts";
import {
  type AskRequest,
  type Refusal,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import { type OutputLimits, RunOutput } from "./run_output.ts";

/** Where a run stands. */
export const RunState = {
  /** Accepted, not passed to the server. */
  Waiting: "waiting",
  /** Passed to the server, so it may have had effects. */
  Running: "running",
  Ended: "ended",
} as const;
/** One of {@link RunState}. */
export type RunState = (typeof RunState)[keyof typeof RunState];

/** Tokens of a run, as far as the server said. */
export interface RunUsage {
  promptTokens: number;
  completionTokens: number;
  cachedTokens: number;
  /** Incarnation of the engine that ended while it had the run. */
  endedEngine?: string;
}

/** What a run is made from. */
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

/** A run that was accepted. It belongs to the agent and outlives connections. */
export class Run {
  readonly runId: string;
  readonly attempt: number;
  readonly ask: AskRequest;
  readonly createdMs: number;
  /** The caller's deadline; Infinity: none. */
  readonly deadlineAtMs: number;
  readonly output: RunOutput;
  state: RunState = RunState.Waiting;
  /** Last time a reader was attached and made progress. */
  lastReadMs: number;
  /** Number of connections that read this run. */
  attached = 0;
  endedMs = 0;
  /** True once another request with the same idempotency key reads it too. */
  isShared = false;
  /** True once a reader has acknowledged the end. */
  isEndRead = false;
  engineIncarnation = "";
  matchedTokens = 0;
  /** The weights that serve it; empty: not known yet, or no model. */
  weightsVersion = "";
  /** It may run at most once, ever: it isn't stopped midway, and its answer is kept for repeats. */
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
   * @param options What was asked, and bounds.
   * @returns A run that waits.
   */
  static create(options: RunOptions): Run {
    return new Run(options);
  }

  /** Aborted when the run is cancelled. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Why it was cancelled; empty: it was not. */
  get cancelReason(): string {
    return this.#cancelReason;
  }

  /** @param reason Why nobody wants the run any more. */
  cancel(reason: string): void {
    if (this.#abort.signal.aborted) return;
    this.#cancelReason = reason;
    this.#abort.abort();
    this.output.wake();
  }

  /** @param refusal Ends a run that was never passed on. */
  refuse(refusal: Refusal): void {
    this.state = RunState.Ended;
    this.output.finish({ kind: "refused", refusal });
  }

  /**
   * @param outcome How it ended.
   * @param message For people.
   * @param usage Tokens, as far as known.
   */
  end(outcome: RunOutcome, message: string, usage: RunUsage = NO_USAGE): void {
    this.state = RunState.Ended;
    const pieceCount = this.output.pieceCount;
    const end = { outcome, message, pieceCount, ...usage };
    this.output.finish({ kind: "end", end });
  }

  /** @param message For people; the engine ended while it had the run. */
  endWithEngine(message: string): void {
    const endedEngine = this.engineIncarnation || undefined;
    this.end(RunOutcome.FAILED, message, { ...NO_USAGE, endedEngine });
  }
}

/**
 * @param failure What went wrong between agent and server.
 * @returns One sentence for people, without prompts or keys.
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
