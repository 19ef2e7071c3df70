/** Load reports with a fixed delay, like those of a real engine. */
import type { SchedulerLoad } from "./_engine_scheduler.ts";

interface Sample {
  atMs: number;
  load: SchedulerLoad;
}

/** A load report and its age. */
export interface AgedLoad {
  load: SchedulerLoad;
  ageMs: number;
}

/** Records load samples to report the load of a fixed time ago. */
export class LoadHistory {
  readonly #lagMs: number;
  #samples: Sample[] = [];

  private constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /**
   * @param lagMs Age of the reported load.
   * @returns An empty history.
   */
  static create(lagMs: number): LoadHistory {
    return new LoadHistory(lagMs);
  }

  /**
   * Adds a sample.
   *
   * @param load The current load.
   */
  record(load: SchedulerLoad): void {
    const nowMs = performance.now();
    this.#samples.push({ atMs: nowMs, load });
    this.#dropStale(nowMs);
  }

  /**
   * @param current The current load, reported if there are no samples.
   * @returns The load `lagMs` ago; idle if all samples are newer.
   */
  report(current: SchedulerLoad): AgedLoad {
    const nowMs = performance.now();
    this.#dropStale(nowMs);
    const first = this.#samples[0];
    if (!first) return { load: current, ageMs: 0 };
    if (first.atMs > nowMs - this.#lagMs) {
      return { load: IDLE_LOAD, ageMs: this.#lagMs };
    }
    return { load: first.load, ageMs: this.#lagMs };
  }

  /** Drops all samples before the newest one that is at least `lagMs` old. */
  #dropStale(nowMs: number): void {
    const samples = this.#samples;
    let staleCount = 0;
    while (
      staleCount + 1 < samples.length &&
      samples[staleCount + 1]!.atMs <= nowMs - this.#lagMs
    ) staleCount++;
    if (staleCount > 0) samples.splice(0, staleCount);
  }
}

const IDLE_LOAD: SchedulerLoad = {
  running: 0,
  waiting: 0,
  prefillTokensQueued: 0,
};
