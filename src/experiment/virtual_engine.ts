/**
 * Simulates a model engine in virtual time behind the interface of real engines. It has a limited
 * number of slots, prefills in time slices by priority, decodes at a fixed rate and has a prefix
 * cache.
 */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import type {
  CacheFeedItem,
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineResponsePart,
  LoadedModel,
} from "../backends/engine.ts";
import type { Random } from "./random.ts";
import { VirtualCache } from "./virtual_cache.ts";
import type { RequestPlan } from "./workload.ts";

export const PREFILL_MS_PER_TOKEN = 0.1;
export const DECODE_MS_PER_TOKEN = 10;
export const MAX_RUNNING = 16;
const BLOCK_BYTES = 256;
const BLOCK_TOKENS = 64;
const PREFILL_SLICE_MS = 20;
const EVENT_POLL_MS = 50;
const LOAD_REPORT_DELAY_MS = 200;

/** Settings of a {@link VirtualEngine}. */
export interface VirtualEngineOptions {
  id: string;
  model: string;
  cacheBlocks: number;
  clock: Clock;
  random: Random;
  /** Returns the request with a given id. */
  planOf: (requestId: string) => RequestPlan;
  /** Called when the prefill of a request begins. */
  onPrefill: (
    plan: RequestPlan,
    cachedBlocks: number,
    engine: VirtualEngine,
  ) => void;
}

interface Job {
  plan: RequestPlan;
  priority: number;
  order: number;
  isStarted: boolean;
  cachedTokens: number;
  remainingTokens: number;
  prefilled: Promise<void>;
  resolvePrefilled: () => void;
}

const UNREACHABLE: EngineFailure = {
  kind: "unreachable",
  message: "The engine is down",
};
const CRASHED: EngineFailure = {
  kind: "broken",
  message: "The engine crashed",
};

/** A simulated engine. */
export class VirtualEngine implements Engine {
  /** Total number of prefilled tokens, to compare the work of engines. */
  prefilledTokens = 0;
  readonly #options: VirtualEngineOptions;
  readonly #cache: VirtualCache;
  readonly #jobs = new Set<Job>();
  #decoding = 0;
  #isUp = true;
  #isPrefilling = false;
  #generation = 0;
  #nextOrder = 0;
  #reports: EngineLoad[] = [];

  private constructor(options: VirtualEngineOptions) {
    this.#options = options;
    this.#cache = VirtualCache.create({ ...options, model: modelOf(options) });
  }

  /**
   * @param options Size and simulated environment.
   * @returns An engine with an empty cache.
   */
  static create(options: VirtualEngineOptions): VirtualEngine {
    return new VirtualEngine(options);
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /**
   * @param keys The block keys of a prompt.
   * @returns The number of blocks in the prompt's longest cached prefix, without the feed's delay.
   */
  cachedBlocks(keys: BigUint64Array): number {
    return this.#cache.countCachedPrefix(keys);
  }

  /** Stops the engine; the cache and all runs are lost. */
  crash(): void {
    this.#isUp = false;
    this.#generation++;
    this.#cache.clear();
    for (const job of this.#jobs) job.resolvePrefilled();
    this.#jobs.clear();
    this.#decoding = 0;
  }

  /** Starts the engine again, with an empty cache. */
  restart(): void {
    this.#isUp = true;
    this.#reports = [];
  }

  info(): Promise<Result<EngineInfo, EngineFailure>> {
    if (!this.#isUp) return Promise.resolve(Result.err(UNREACHABLE));
    return Promise.resolve(Result.ok({
      incarnation: this.#incarnation,
      models: [modelOf(this.#options)],
      blockBytes: BLOCK_BYTES,
      maxRunning: MAX_RUNNING,
      cacheBlocks: this.#options.cacheBlocks,
      prefillMsPerToken: PREFILL_MS_PER_TOKEN,
      decodeMsPerToken: DECODE_MS_PER_TOKEN,
    }));
  }

  /**
   * Returns the newest report that is at least {@link LOAD_REPORT_DELAY_MS} old, or the oldest
   * report if all are newer.
   */
  load(): Promise<Result<EngineLoad, EngineFailure>> {
    if (!this.#isUp) return Promise.resolve(Result.err(UNREACHABLE));
    this.#reports.push(this.#currentLoad());
    const nowMs = this.#options.clock.nowMs();
    while (
      this.#reports.length > 1 &&
      this.#reports[1]!.ageMs + LOAD_REPORT_DELAY_MS <= nowMs
    ) {
      this.#reports.shift();
    }
    const report = this.#reports[0]!;
    return Promise.resolve(
      Result.ok({ ...report, ageMs: nowMs - report.ageMs }),
    );
  }

  async *run(
    call: EngineCall,
    signal: AbortSignal,
  ): AsyncIterable<Result<EngineResponsePart, EngineFailure>> {
    if (!this.#isUp) return yield Result.err(UNREACHABLE);
    const generation = this.#generation;
    const plan = this.#options.planOf(call.requestId);
    const job = this.#enqueue(plan, call.priority);
    await job.prefilled;
    if (generation !== this.#generation) return yield Result.err(CRASHED);
    yield Result.ok({ kind: "piece", data: Buffer.from("first") });
    const decodeMs = plan.class.outputTokens * DECODE_MS_PER_TOKEN;
    await this.#options.clock.sleep(decodeMs, signal);
    if (generation !== this.#generation) return yield Result.err(CRASHED);
    this.#decoding--;
    this.#startPrefill();
    yield Result.ok({
      kind: "end",
      promptTokens: plan.prompt.request.promptTokens,
      completionTokens: plan.class.outputTokens,
      cachedTokens: job.cachedTokens,
    });
  }

  cacheSnapshot(): Promise<
    Result<Extract<CacheFeedItem, { kind: "snapshot" }>, EngineFailure>
  > {
    if (!this.#isUp) return Promise.resolve(Result.err(UNREACHABLE));
    const blocks = this.#cache.snapshot();
    const nextSeq = this.#cache.nextSeq;
    const incarnation = this.#incarnation;
    return Promise.resolve(
      Result.ok({ kind: "snapshot", incarnation, nextSeq, blocks }),
    );
  }

  async *cacheEvents(
    sinceSeq: number,
    signal: AbortSignal,
  ): AsyncIterable<Result<CacheFeedItem, EngineFailure>> {
    const generation = this.#generation;
    let nextSeq = sinceSeq;
    while (!signal.aborted) {
      await this.#options.clock.sleep(EVENT_POLL_MS, signal);
      if (generation !== this.#generation) return yield Result.err(CRASHED);
      for (const event of this.#cache.takeEvents(nextSeq)) {
        nextSeq = event.seq + 1;
        yield Result.ok({
          kind: "event",
          incarnation: this.#incarnation,
          event,
        });
      }
    }
  }

  exportCache(): Promise<Result<Uint8Array, EngineFailure>> {
    return Promise.resolve(Result.err(UNREACHABLE));
  }

  importCache(): Promise<Result<number, EngineFailure>> {
    return Promise.resolve(Result.err(UNREACHABLE));
  }

  order(): Promise<Result<void, EngineFailure>> {
    return Promise.resolve(Result.err(UNREACHABLE));
  }

  close(): void {}

  get #incarnation(): string {
    return `${this.#options.id}-${this.#generation}`;
  }

  #currentLoad(): EngineLoad {
    let waiting = 0;
    let prefillTokensQueued = 0;
    for (const job of this.#jobs) {
      if (!job.isStarted) waiting++;
      prefillTokensQueued += job.remainingTokens;
    }
    return {
      incarnation: this.#incarnation,
      running: this.#decoding + this.#jobs.size - waiting,
      waiting,
      prefillTokensQueued,
      // Stores the time of the report here; `load` converts it to an age.
      ageMs: this.#options.clock.nowMs(),
    };
  }

  #enqueue(plan: RequestPlan, priority: number): Job {
    let resolvePrefilled = () => {};
    const prefilled = new Promise<void>((resolve) =>
      resolvePrefilled = resolve
    );
    const remainingTokens = plan.prompt.request.promptTokens;
    const order = this.#nextOrder++;
    const job = {
      plan,
      priority,
      order,
      isStarted: false,
      cachedTokens: 0,
      remainingTokens,
      prefilled,
      resolvePrefilled,
    };
    this.#jobs.add(job);
    this.#startPrefill();
    return job;
  }

  #startPrefill(): void {
    if (this.#isPrefilling) return;
    this.#isPrefilling = true;
    void this.#prefill(this.#generation).finally(() =>
      this.#isPrefilling = false
    );
  }

  async #prefill(generation: number): Promise<void> {
    for (let job = this.#nextJob(); job; job = this.#nextJob()) {
      if (!job.isStarted) this.#startJob(job);
      const tokens = Math.min(
        job.remainingTokens,
        PREFILL_SLICE_MS / PREFILL_MS_PER_TOKEN,
      );
      await this.#options.clock.sleep(tokens * PREFILL_MS_PER_TOKEN);
      if (generation !== this.#generation) {
        generation = this.#generation;
        continue;
      }
      job.remainingTokens -= tokens;
      if (job.remainingTokens <= 0) this.#finishJob(job);
    }
  }

  #nextJob(): Job | undefined {
    let best: Job | undefined;
    let started = this.#decoding;
    for (const job of this.#jobs) if (job.isStarted) started++;
    for (const job of this.#jobs) {
      if (!job.isStarted && started >= MAX_RUNNING) continue;
      if (!best || isBefore(job, best)) best = job;
    }
    return best;
  }

  #startJob(job: Job): void {
    const { keys, request } = job.plan.prompt;
    const blocks = this.cachedBlocks(keys);
    this.#options.onPrefill(job.plan, blocks, this);
    job.isStarted = true;
    job.cachedTokens = Math.min(
      blocks * BLOCK_TOKENS,
      request.promptTokens - 1,
    );
    job.remainingTokens = request.promptTokens - job.cachedTokens;
    this.prefilledTokens += job.remainingTokens;
    this.#cache.touch(keys, blocks);
  }

  #finishJob(job: Job): void {
    this.#jobs.delete(job);
    this.#decoding++;
    this.#cache.store(job.plan);
    job.resolvePrefilled();
  }
}

function modelOf({ model }: VirtualEngineOptions): LoadedModel {
  return { model, adapter: "", weightsVersion: "1" };
}

function isBefore(one: Job, other: Job): boolean {
  if (one.priority !== other.priority) return one.priority < other.priority;
  return one.order < other.order;
}
