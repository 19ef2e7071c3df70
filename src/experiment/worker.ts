/** A worker: a virtual engine and, beside it, the agent's own queue, cache view and costs. */
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
  /** False: the agent counts prefixes that are being computed as missing. */
  countsInFlight: boolean;
}

/** What came of a run. */
export type RunResult =
  | { kind: "refused"; refusal: Refusal }
  | { kind: "ended"; end: RunEnd; wasStarted: boolean };

const TEAM_MAX_IN_FLIGHT = 100_000;
const OUTPUT_LIMITS = { maxBytes: 1 << 20, repeatBytes: 0 };
const LEAVING_RETRY_MS = 1000;
const SWEEP_MS = 500;

/** One backend server with its agent. */
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
   * @param options Engine, zone and pool.
   * @returns A worker whose tasks don't run yet.
   */
  static create(options: WorkerOptions): Worker {
    return new Worker(options);
  }

  /** @param signal Ends the agent's tasks. */
  start(signal: AbortSignal): void {
    void this.server.watch.run(signal);
    void this.server.follower.run(signal);
    void this.#sweep(signal);
  }

  /**
   * @param ask A request.
   * @returns The agent's reply.
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
   * @param ask A request.
   * @param holdId The hold under which it was offered; empty: it was not asked before.
   * @param onFirstPiece Called when the first piece is there.
   * @returns How it ended.
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
   * What the worker would offer if its picture of the cache were exact.
   *
   * @param ask A request.
   * @param uncachedTokens Tokens that are truly missing.
   * @returns Expected time to the first token; Infinity: it would refuse.
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
    retryAfterMs: LEAVING_RETRY_MS,
  });
}
