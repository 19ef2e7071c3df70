/** Measures call rates, to compare them with the platform's rate limits. */
import type { Clock } from "../base/mod.ts";

/** Totals for one kind of call. */
export interface CallRate {
  total: number;
  /** Highest number of calls within one clock second. */
  peakPerSecond: number;
}

/** Totals and peaks of a {@link RateMeter}. */
export interface RateReport {
  reads: CallRate;
  writes: CallRate;
  watches: CallRate;
}

const SECOND_MS = 1000;

/** Counts calls per second, separately for reads, writes and watches. */
export class RateMeter {
  readonly #clock: Clock;
  readonly #reads: Counter = createCounter();
  readonly #writes: Counter = createCounter();
  readonly #watches: Counter = createCounter();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock that determines the second of a call.
   * @returns A meter with all counts at zero.
   */
  static create(clock: Clock): RateMeter {
    return new RateMeter(clock);
  }

  /** Counts a read. */
  read(): void {
    this.#count(this.#reads);
  }

  /** Counts a write or a lease call. */
  write(): void {
    this.#count(this.#writes);
  }

  /** Counts the opening of a watch. */
  watch(): void {
    this.#count(this.#watches);
  }

  /** @returns Totals and peaks so far. */
  report(): RateReport {
    return {
      reads: toRate(this.#reads),
      writes: toRate(this.#writes),
      watches: toRate(this.#watches),
    };
  }

  #count(counter: Counter): void {
    const second = Math.floor(this.#clock.nowMs() / SECOND_MS);
    if (second !== counter.second) {
      counter.second = second;
      counter.inSecond = 0;
    }
    counter.total++;
    counter.inSecond++;
    counter.peak = Math.max(counter.peak, counter.inSecond);
  }
}

interface Counter {
  total: number;
  second: number;
  inSecond: number;
  peak: number;
}

function createCounter(): Counter {
  return { total: 0, second: -1, inSecond: 0, peak: 0 };
}

function toRate({ total, peak }: Counter): CallRate {
  return { total, peakPerSecond: peak };
}
