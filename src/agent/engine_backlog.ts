/**
 * What is on the engine: own requests, exactly, and what its lagging load report shows beyond them.
 * A report speaks of a moment in the past, so it is compared with what was on the engine by then;
 * requests admitted since count on top.
 */
import type { EngineLoad } from "../backends/engine.ts";

/** A request that was passed to the engine. */
export interface PlacedWork {
  uncachedTokens: number;
  placedMs: number;
  /** When its first piece came; Infinity: not yet. */
  firstPieceMs: number;
  /** When it left the engine; Infinity: not yet. */
  leftMs: number;
}

const REPORT_MAX_AGE_MS = 5000;

/** Work on the engine. */
export class EngineBacklog {
  readonly #placed = new Set<PlacedWork>();
  /** Left a short while ago: a report may still count it. */
  #recentlyLeft: PlacedWork[] = [];
  #foreignCount = 0;
  #foreignTokens = 0;
  #reportUntilMs = -Infinity;

  private constructor() {}

  /** @returns An engine that nothing was passed to. */
  static create(): EngineBacklog {
    return new EngineBacklog();
  }

  get ownCount(): number {
    return this.#placed.size;
  }

  /** Own requests without a first piece. */
  get prefillingCount(): number {
    let count = 0;
    for (const work of this.#placed) {
      if (work.firstPieceMs === Infinity) count++;
    }
    return count;
  }

  /** @returns Requests on the engine. */
  count(nowMs: number): number {
    return this.ownCount +
      (nowMs < this.#reportUntilMs ? this.#foreignCount : 0);
  }

  /** @returns Tokens that the engine has still to prefill. */
  prefillTokens(nowMs: number): number {
    let tokens = nowMs < this.#reportUntilMs ? this.#foreignTokens : 0;
    for (const work of this.#placed) {
      if (work.firstPieceMs === Infinity) tokens += work.uncachedTokens;
    }
    return tokens;
  }

  /** @param work A request that is being passed on. */
  place(work: PlacedWork): void {
    this.#placed.add(work);
  }

  /**
   * @param work A request that ended, or was cancelled.
   * @param nowMs The time.
   */
  leave(work: PlacedWork, nowMs: number): void {
    if (!this.#placed.delete(work)) return;
    work.leftMs = nowMs;
    this.#recentlyLeft.push(work);
  }

  /**
   * @param load The engine's report.
   * @param nowMs When it was received.
   */
  report(load: EngineLoad, nowMs: number): void {
    const atMs = nowMs - load.ageMs;
    this.#recentlyLeft = this.#recentlyLeft.filter((work) =>
      work.leftMs > nowMs - REPORT_MAX_AGE_MS
    );
    let count = 0;
    let tokens = 0;
    for (const work of [...this.#placed, ...this.#recentlyLeft]) {
      if (work.placedMs > atMs || work.leftMs <= atMs) continue;
      count++;
      if (work.firstPieceMs > atMs) tokens += work.uncachedTokens;
    }
    this.#foreignCount = Math.max(0, load.running + load.waiting - count);
    this.#foreignTokens = Math.max(0, load.prefillTokensQueued - tokens);
    this.#reportUntilMs = atMs + REPORT_MAX_AGE_MS;
  }

  /** Forgets reports, after the engine came back empty. */
  reset(): void {
    this.#foreignCount = 0;
    this.#foreignTokens = 0;
    this.#reportUntilMs = -Infinity;
  }
}
