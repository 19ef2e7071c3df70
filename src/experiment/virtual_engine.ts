/**
 * A small model engine in virtual time, behind the interface of real ones: slots, prefill by
 * priority in slices, decoding at a fixed pace, and a prefix cache.
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
const FEED_POLL_MS = 50;
const LOAD_LAG_MS = 200;

/** Settings of a {@link VirtualEngine}. */
export interface VirtualEngineOptions {
  id: string;
  model: string;
  cacheBlocks: number;
  clock: Clock;
  random: Random;
  /** Finds a run's prompt and says what it asks for. */
  planOf: (requestId: string) => RequestPlan;
  /** Called when a prefill begins. */
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
  leftTokens: number;
  prefilled: Promise<void>;
  settle: () => void;
}

const UNREACHABLE: EngineFailure = {
  kind: "unreachable",
  message: "The engine is down",
};
const BROKEN: EngineFailure = { kind: "broken", message: "The engine crashed" };

/** One engine. */
export class VirtualEngine implements Engine {
  /** Tokens that were prefilled, for the balance of work. */
  prefilledTokens = 0;
  readonly #options: VirtualEngineOptions;
  readonly #cache: VirtualCache;
  readonly #jobs = new Set<Job>();
  #decoding = 0;
  #isUp = true;
  #isPrefilling = false;
  #life = 0;
  #orders = 0;
  #reports: EngineLoad[] = [];

  private constructor(options: VirtualEngineOptions) {
    this.#options = options;
    this.#cache = VirtualCache.create({ ...options, model: modelOf(options) });
  }

  /**
   * @param options Size and surroundings.
   * @returns An engine with an empty cache.
   */
  static create(options: VirtualEngineOptions): VirtualEngine {
    return new VirtualEngine(options);
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /**
   * @param keys A prompt's keys.
   * @returns Blocks of its longest prefix that is cached, in truth.
   */
  cachedBlocks(keys: BigUint64Array): number {
    return this.#cache.count(keys);
  }

  /** Stops, losing the cache and all runs. */
  crash(): void {
    this.#isUp = false;
    this.#life++;
    this.#cache.clear();
    for (const job of this.#jobs) job.settle();
    this.#jobs.clear();
    this.#decoding = 0;
  }

  /** Starts again with an empty cache. */
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

  /** Reports lag: what is told was true a moment ago. */
  load(): Promise<Result<EngineLoad, EngineFailure>> {
    if (!this.#isUp) return Promise.resolve(Result.err(UNREACHABLE));
    this.#reports.push(this.#loadNow());
    const nowMs = this.#options.clock.nowMs();
    while (
      this.#reports.length > 1 && this.#reports[1]!.ageMs + LOAD_LAG_MS <= nowMs
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
    const life = this.#life;
    const plan = this.#options.planOf(call.requestId);
    const job = this.#enqueue(plan, call.priority);
    await job.prefilled;
    if (life !== this.#life) return yield Result.err(BROKEN);
    yield Result.ok({ kind: "piece", data: Buffer.from("first") });
    const decodeMs = plan.class.outputTokens * DECODE_MS_PER_TOKEN;
    await this.#options.clock.sleep(decodeMs, signal);
    if (life !== this.#life) return yield Result.err(BROKEN);
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
    const life = this.#life;
    let nextSeq = sinceSeq;
    while (!signal.aborted) {
      await this.#options.clock.sleep(FEED_POLL_MS, signal);
      if (life !== this.#life) return yield Result.err(BROKEN);
      for (const event of this.#cache.take(nextSeq)) {
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
    return `${this.#options.id}-${this.#life}`;
  }

  #loadNow(): EngineLoad {
    let waiting = 0;
    let prefillTokensQueued = 0;
    for (const job of this.#jobs) {
      if (!job.isStarted) waiting++;
      prefillTokensQueued += job.leftTokens;
    }
    return {
      incarnation: this.#incarnation,
      running: this.#decoding + this.#jobs.size - waiting,
      waiting,
      prefillTokensQueued,
      // The time of the report; `load` turns it into an age.
      ageMs: this.#options.clock.nowMs(),
    };
  }

  #enqueue(plan: RequestPlan, priority: number): Job {
    let settle = () => {};
    const prefilled = new Promise<void>((resolve) => settle = resolve);
    const leftTokens = plan.prompt.request.promptTokens;
    const order = this.#orders++;
    const job = {
      plan,
      priority,
      order,
      isStarted: false,
      cachedTokens: 0,
      leftTokens,
      prefilled,
      settle,
    };
    this.#jobs.add(job);
    this.#startPrefill();
    return job;
  }

  #startPrefill(): void {
    if (this.#isPrefilling) return;
    this.#isPrefilling = true;
    void this.#prefill(this.#life).finally(() => this.#isPrefilling = false);
  }

  async #prefill(life: number): Promise<void> {
    for (let job = this.#next(); job; job = this.#next()) {
      if (!job.isStarted) this.#start(job);
      const tokens = Math.min(
        job.leftTokens,
        PREFILL_SLICE_MS / PREFILL_MS_PER_TOKEN,
      );
      await this.#options.clock.sleep(tokens * PREFILL_MS_PER_TOKEN);
      if (life !== this.#life) {
        life = this.#life;
        continue;
      }
      job.leftTokens -= tokens;
      if (job.leftTokens <= 0) this.#finish(job);
    }
  }

  #next(): Job | undefined {
    let best: Job | undefined;
    let started = this.#decoding;
    for (const job of this.#jobs) if (job.isStarted) started++;
    for (const job of this.#jobs) {
      if (!job.isStarted && started >= MAX_RUNNING) continue;
      if (!best || isBefore(job, best)) best = job;
    }
    return best;
  }

  #start(job: Job): void {
    const { keys, request } = job.plan.prompt;
    const blocks = this.cachedBlocks(keys);
    this.#options.onPrefill(job.plan, blocks, this);
    job.isStarted = true;
    job.cachedTokens = Math.min(
      blocks * BLOCK_TOKENS,
      request.promptTokens - 1,
    );
    job.leftTokens = request.promptTokens - job.cachedTokens;
    this.prefilledTokens += job.leftTokens;
    this.#cache.touch(keys, blocks);
  }

  #finish(job: Job): void {
    this.#jobs.delete(job);
    this.#decoding++;
    this.#cache.store(job.plan);
    job.settle();
  }
}

function modelOf({ model }: VirtualEngineOptions): LoadedModel {
  return { model, adapter: "", weightsVersion: "1" };
}

function isBefore(one: Job, other: Job): boolean {
  if (one.priority !== other.priority) return one.priority < other.priority;
  return one.order < other.order;
}
