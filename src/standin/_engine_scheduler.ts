/** Simulates continuous batching: assigns slots, and times prefill and decode steps. */
import type { CacheBlock, PrefixCache } from "./_engine_cache.ts";
import { BYTES_PER_TOKEN } from "./answer.ts";
import type { EngineExecution } from "./engine_options.ts";

/** Receives the output of a run. */
export interface RunSink {
  /** Called when tokens `from` (inclusive) to `to` (exclusive) of the answer are ready. */
  emit(from: number, to: number): void;
  /** Called once after the last token. */
  end(cachedTokens: number): void;
}

/** The state of one request in the engine. */
export interface EngineRun {
  /** Runs with a lower number are scheduled first. */
  readonly priority: number;
  /** Cache blocks of the prompt. */
  readonly chain: CacheBlock[];
  readonly promptTokens: number;
  readonly answerLength: number;
  readonly sink: RunSink;
  /** Entry for the execution log, which sets its `cachedTokens` when the prefill starts. */
  readonly execution: EngineExecution;
  /** Position in the order of arrival, set by the scheduler; breaks ties between priorities. */
  arrival: number;
  started: boolean;
  cachedTokens: number;
  /** Prompt tokens that are not prefilled yet; may be fractional. */
  prefillLeft: number;
  /** Number of answer tokens emitted so far. */
  emitted: number;
}

/** Settings of an {@link EngineScheduler}. */
export interface EngineSchedulerOptions {
  maxRunning: number;
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  cache: PrefixCache;
  /** Called when the prefill of a run starts. */
  onStart: (run: EngineRun) => void;
}

/** Load figures of an engine. */
export interface SchedulerLoad {
  running: number;
  waiting: number;
  prefillTokensQueued: number;
}

/** Interval at which the scheduler reconsiders which prompt to prefill next. */
const PREFILL_SLICE_MS = 10;

/** Divides simulated compute time among runs, with a single timer. */
export class EngineScheduler {
  readonly #options: EngineSchedulerOptions;
  /** Runs without a slot, in scheduling order. */
  readonly #waiting: EngineRun[] = [];
  /** Runs with a slot whose prompt is not fully prefilled, in scheduling order. */
  readonly #prefilling: EngineRun[] = [];
  readonly #decoding = new Set<EngineRun>();
  #nextArrival = 0;
  #queuedTokens = 0;
  #timer: NodeJS.Timeout | undefined;
  #timerDueMs = 0;
  #prefilledUntilMs = 0;
  #decodedUntilMs = 0;

  private constructor(options: EngineSchedulerOptions) {
    this.#options = options;
  }

  /**
   * @param options Slots, speeds and cache.
   * @returns An idle scheduler.
   */
  static create(options: EngineSchedulerOptions): EngineScheduler {
    return new EngineScheduler(options);
  }

  /** @returns The current load. */
  load(): SchedulerLoad {
    return {
      running: this.#running,
      waiting: this.#waiting.length,
      prefillTokensQueued: Math.ceil(this.#queuedTokens),
    };
  }

  /**
   * Enqueues a run.
   *
   * @param run A run that has not been submitted before.
   */
  submit(run: EngineRun): void {
    run.arrival = this.#nextArrival++;
    run.prefillLeft = run.promptTokens;
    this.#queuedTokens += run.promptTokens;
    insert(this.#waiting, run);
    this.#scheduleStep(0);
  }

  /**
   * Removes a run from the queue or from its slot; does nothing if the run has ended.
   *
   * @param run A submitted run.
   */
  cancel(run: EngineRun): void {
    const wasQueued = remove(this.#waiting, run) ||
      remove(this.#prefilling, run);
    if (wasQueued) this.#queuedTokens -= run.prefillLeft;
    const wasDecoding = this.#decoding.delete(run);
    if (wasQueued || wasDecoding) this.#scheduleStep(0);
  }

  /** Drops all runs without ending their sinks. */
  clear(): void {
    this.#waiting.length = 0;
    this.#prefilling.length = 0;
    this.#decoding.clear();
    this.#queuedTokens = 0;
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  get #running(): number {
    return this.#prefilling.length + this.#decoding.size;
  }

  /**
   * Schedules the next step. A timer that is due earlier is kept, so that a steady stream of requests
   * cannot postpone it forever.
   */
  #scheduleStep(delayMs: number): void {
    const dueMs = performance.now() + delayMs;
    if (this.#timer && this.#timerDueMs <= dueMs) return;
    clearTimeout(this.#timer);
    this.#timerDueMs = dueMs;
    this.#timer = setTimeout(() => this.#step(), delayMs);
  }

  #step(): void {
    this.#timer = undefined;
    const nowMs = performance.now();
    this.#decode(nowMs);
    this.#prefill(nowMs);
    while (this.#admit()) this.#prefill(nowMs);
    const delayMs = this.#nextDelayMs(nowMs);
    if (delayMs !== undefined) this.#scheduleStep(delayMs);
  }

  /** Moves waiting runs to free slots; returns whether any run was moved. */
  #admit(): boolean {
    const free = this.#options.maxRunning - this.#running;
    const admitted = this.#waiting.splice(0, free);
    for (const run of admitted) insert(this.#prefilling, run);
    return admitted.length > 0;
  }

  /** Spends the time since the last step on prefill, in scheduling order. */
  #prefill(nowMs: number): void {
    let budgetMs = nowMs - this.#prefilledUntilMs;
    this.#prefilledUntilMs = nowMs;
    while (this.#prefilling.length > 0) {
      const run = this.#prefilling[0]!;
      if (!run.started) this.#startPrefill(run);
      const neededMs = run.prefillLeft * this.#options.prefillMsPerToken;
      if (neededMs > budgetMs) return this.#prefillPart(run, budgetMs);
      budgetMs -= neededMs;
      this.#finishPrefill(run, nowMs);
    }
  }

  #startPrefill(run: EngineRun): void {
    const matchedBytes = this.#options.cache.match(run.chain);
    run.cachedTokens = Math.floor(matchedBytes / BYTES_PER_TOKEN);
    // The first answer token depends on the last prompt token, so at least one is always computed.
    const tokensToCompute = Math.max(1, run.promptTokens - run.cachedTokens);
    this.#queuedTokens -= run.prefillLeft - tokensToCompute;
    run.prefillLeft = tokensToCompute;
    run.started = true;
    this.#options.onStart(run);
  }

  #prefillPart(run: EngineRun, budgetMs: number): void {
    const tokens = budgetMs / this.#options.prefillMsPerToken;
    run.prefillLeft -= tokens;
    this.#queuedTokens -= tokens;
  }

  #finishPrefill(run: EngineRun, nowMs: number): void {
    this.#prefilling.shift();
    this.#queuedTokens = Math.max(0, this.#queuedTokens - run.prefillLeft);
    run.prefillLeft = 0;
    this.#options.cache.store(run.chain);
    if (this.#decoding.size === 0) this.#decodedUntilMs = nowMs;
    this.#decoding.add(run);
    this.#emit(run, 1);
  }

  /** Emits one token per elapsed decode step for each decoding run. */
  #decode(nowMs: number): void {
    if (this.#decoding.size === 0) return;
    const { decodeMsPerToken } = this.#options;
    const steps = decodeMsPerToken === 0
      ? Infinity
      : Math.floor((nowMs - this.#decodedUntilMs) / decodeMsPerToken);
    if (steps === 0) return;
    this.#decodedUntilMs = decodeMsPerToken === 0
      ? nowMs
      : this.#decodedUntilMs + steps * decodeMsPerToken;
    for (const run of this.#decoding) this.#emit(run, steps);
  }

  #emit(run: EngineRun, count: number): void {
    const to = Math.min(run.answerLength, run.emitted + count);
    if (to > run.emitted) run.sink.emit(run.emitted, to);
    run.emitted = to;
    if (to < run.answerLength) return;
    this.#decoding.delete(run);
    run.sink.end(run.cachedTokens);
  }

  #nextDelayMs(nowMs: number): number | undefined {
    const { decodeMsPerToken, prefillMsPerToken } = this.#options;
    let delayMs: number | undefined;
    if (this.#decoding.size > 0) {
      delayMs = this.#decodedUntilMs + decodeMsPerToken - nowMs;
    }
    const next = this.#prefilling[0];
    if (next) {
      const finishMs = next.prefillLeft * prefillMsPerToken;
      const sliceMs = Math.min(finishMs, PREFILL_SLICE_MS);
      delayMs = Math.min(delayMs ?? sliceMs, sliceMs);
    }
    return delayMs;
  }
}

function insert(queue: EngineRun[], run: EngineRun): void {
  let index = queue.length;
  while (index > 0 && precedes(run, queue[index - 1]!)) index--;
  queue.splice(index, 0, run);
}

function remove(queue: EngineRun[], run: EngineRun): boolean {
  const index = queue.indexOf(run);
  if (index < 0) return false;
  queue.splice(index, 1);
  return true;
}

function precedes(run: EngineRun, other: EngineRun): boolean {
  if (run.priority !== other.priority) return run.priority < other.priority;
  return run.arrival < other.arrival;
}
