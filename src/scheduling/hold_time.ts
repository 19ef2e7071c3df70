/** Moving averages of the time and size of admitted requests. */

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.05;
/** Part of the times that are slow. */
const SLOW_PART = 0.05;
/** Initial estimate of a slow time, as a multiple of the mean. */
const INITIAL_SLOW_FACTOR = 1.5;
/** Change of the slow time by a sample, as a share of it. */
const SLOW_STEP = 0.2;

/** Time that admitted requests of a service hold their room. */
export class HoldTime {
  #meanMs: number;
  #slowMs: number;
  #meanUnits = 1;
  #isFirst = true;

  private constructor(initialMs: number) {
    this.#meanMs = initialMs;
    this.#slowMs = initialMs * INITIAL_SLOW_FACTOR;
  }

  /**
   * @param initialMs Estimate until there are samples.
   * @returns Averages without samples.
   */
  static create(initialMs: number): HoldTime {
    return new HoldTime(initialMs);
  }

  /** Mean time that a request stays admitted. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Time that few requests exceed; servers of different speeds make the times far from normal. */
  get slowMs(): number {
    return Math.max(this.#meanMs, this.#slowMs);
  }

  /** Mean size of a request. */
  get meanUnits(): number {
    return this.#meanUnits;
  }

  /** @param units Size of a request that was offered. */
  offered(units: number): void {
    if (this.#isFirst) this.#meanUnits = units;
    this.#isFirst = false;
    this.#meanUnits += SAMPLE_WEIGHT * (units - this.#meanUnits);
  }

  /** @param ms Time that a request stayed admitted. */
  ended(ms: number): void {
    this.#meanMs += SAMPLE_WEIGHT * (ms - this.#meanMs);
    // Steps up and down are in balance where the slow part of the times is above.
    const step = ms > this.#slowMs ? 1 - SLOW_PART : -SLOW_PART;
    this.#slowMs += SLOW_STEP * this.#slowMs * step;
  }
}
