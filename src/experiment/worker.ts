/** A backend server: a simulated engine with the real agent's queue, cache view and cost model. */
import { Result } from "true-myth";
import type { Demand } from "../agent/admission.ts";
import { ModelServer } from "../agent/model_server.ts";
import { refuse } from "../agent/refusals.ts";
import { Run } from "../agent/run.ts";
import { createSilentLogger } from "../base/mod.ts";
import { type Member } from "../placement/mod.ts";
import {
  AskReply,
  type AskRequest,
  type Offer,
  type Refusal,
  RefusalCode,
  type RunEnd,
} from "../wire/gen/cicadahitch.ts";
import { VirtualEngine, type VirtualEngineOptions } from "./virtual_engine.ts";

/** Settings of a {@link Worker}. */
export interface WorkerOptions extends VirtualEngineOptions {
  zone: string;
  pool: string;
  /** When false, the agent treats prefixes that are still being computed as not cached. */
  countsInFlight: boolean;
}

/** Result of a run: refused by the agent, or ended with an outcome. */
export type RunResult =
  | { kind: "refused"; refusal: Refusal }
  | { kind: "ended"; end: RunEnd; wasStarted: boolean };

const TEAM_MAX_IN_FLIGHT = 100_000;
const OUTPUT_LIMITS = { maxBytes: 1 << 20, repeatBytes: 0 };
const LEAVING_RETRY_AFTER_MS = 1000;
const SWEEP_MS = 500;

/** One simulated backend server with its agent. */
export class Worker implements Member {
  readonly id: string;
  readonly zone: string;
  readonly pool: string;
  readonly engine: VirtualEngine;
  readonly server: ModelServer;
  isLeaving = false;
  readonly #options: WorkerOptions;

  private constructor(options: WorkerOptions) {
    this.id = options.id;
    this.zone = options.zone;
    this.pool = options.pool;
    this.#options = options;
    this.engine = VirtualEngine.create(options);
    this.server = ModelServer.create({
      engine: this.engine,
      clock: options.clock,
      log: createSilentLogger(),
      seed: options.id,
      liveRuns: () => [],
      countsPrefillsInFlight: options.countsInFlight,
    });
  }

  /**
   * @param options Settings of the engine, and its zone and pool.
   * @returns A worker whose background tasks are not started.
   */
  static create(options: WorkerOptions): Worker {
    return new Worker(options);
  }

  /** @param signal Stops the agent's background tasks when aborted. */
  start(signal: AbortSignal): void {
    void this.server.watch.run(signal);
    void this.server.follower.run(signal);
    void this.#sweep(signal);
  }

  /**
   * @param ask The ask request of an entry.
   * @returns The agent's reply: an offer or a refusal.
   */
  ask(ask: AskRequest): AskReply {
    const verdict = this.#offer(ask).match<AskReply["verdict"]>({
      Ok: (value) => ({ $case: "offer", value }),
      Err: (value) => ({ $case: "refusal", value }),
    });
    return AskReply.fromPartial({
      verdict,
      agentIncarnation: `agent-${this.id}`,
    });
  }

  /**
   * @param ask The request to run.
   * @param holdId The hold of the agent's offer; empty when the agent was not asked first.
   * @param onFirstPiece Called when the first piece of output arrives.
   * @returns The refusal, or how the run ended.
   */
  async run(
    ask: AskRequest,
    holdId: string,
    { onFirstPiece }: { onFirstPiece: () => void },
  ): Promise<RunResult> {
    if (this.isLeaving) return { kind: "refused", refusal: refuseLeaving() };
    const { server } = this;
    const isHeld =
      server.admission.holds.consume(holdId, ask.runId) !== undefined;
    const nowMs = this.#options.clock.nowMs();
    const run = Run.create({ ask, attempt: 0, nowMs, limits: OUTPUT_LIMITS });
    const entered = server.admit(run, {
      isHeld,
      teamMaxInFlight: TEAM_MAX_IN_FLIGHT,
    });
    if (entered.isErr) return { kind: "refused", refusal: entered.error };
    const call = { body: Buffer.from("{}"), api: "chat" };
    void server.serve(run, call, entered.value);
    let wasStarted = false;
    while (!run.output.ending) {
      await run.output.changed.wait();
      if (wasStarted || run.output.pieceCount === 0) continue;
      wasStarted = true;
      onFirstPiece();
    }
    const { ending } = run.output;
    if (ending.kind === "refused") return ending;
    return { kind: "ended", end: ending.end, wasStarted };
  }

  /**
   * Estimates the time to first token from the exact state of the cache.
   *
   * @param ask The request to estimate.
   * @param uncachedTokens Number of prompt tokens missing from the engine's cache.
   * @returns The expected time to first token; Infinity if the worker would refuse the request.
   */
  exactTtftMs(ask: AskRequest, uncachedTokens: number): number {
    if (this.isLeaving || !this.engine.isUp) return Infinity;
    const demand: Demand = {
      team: ask.team,
      priority: ask.priority,
      uncachedTokens,
      maxTokens: ask.maxTokens,
      deadlineAtMs: Infinity,
      teamMaxInFlight: TEAM_MAX_IN_FLIGHT,
    };
    return this.server.admission.estimate(demand).match({
      Ok: (quote) => quote.expectedTtftMs,
      Err: () => Infinity,
    });
  }

  #offer(ask: AskRequest): Result<Offer, Refusal> {
    if (this.isLeaving) return Result.err(refuseLeaving());
    return this.server.offer(ask, TEAM_MAX_IN_FLIGHT);
  }

  async #sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.server.admission.sweep();
      await this.#options.clock.sleep(SWEEP_MS, signal);
    }
  }
}

function refuseLeaving(): Refusal {
  return refuse(RefusalCode.LEAVING, "The server is leaving", {
    retryAfterMs: LEAVING_RETRY_AFTER_MS,
  });
}
