/** How far estimates of a time were from the actual times. */

/** Weight of the newest sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;
/** Assumed deviation of estimates until there are samples, as a share of the estimate. */
const INITIAL_DEVIATION = 0.5;

/** Moving averages of actual times, as multiples of the estimates. */
export class ForecastError {
  readonly #minMs: number;
  #ratio = 1;
  #deviation = INITIAL_DEVIATION;

  private constructor(minMs: number) {
    this.#minMs = minMs;
  }

  /**
   * @param minMs Shortest estimate that counts; the error of shorter ones says nothing about longer ones.
   * @returns Averages without samples, by which estimates are right on average.
   */
  static create(minMs: number): ForecastError {
    return new ForecastError(minMs);
  }

  /**
   * @param expectedMs An estimate.
   * @param actualMs What it turned out to be; ignored if it has no end.
   */
  record(expectedMs: number, actualMs: number): void {
    if (expectedMs < this.#minMs || !Number.isFinite(actualMs)) return;
    const ratio = actualMs / expectedMs;
    const error = Math.abs(ratio - this.#ratio);
    this.#ratio += SAMPLE_WEIGHT * (ratio - this.#ratio);
    this.#deviation += SAMPLE_WEIGHT * (error - this.#deviation);
  }

  /**
   * @param expectedMs An estimate.
   * @returns Mean of the times that turn out for such estimates.
   */
  meanMs(expectedMs: number): number {
    return expectedMs * this.#ratio;
  }

  /**
   * @param expectedMs An estimate.
   * @returns Time that few exceed: a mean deviation above the mean.
   */
  slowMs(expectedMs: number): number {
    return expectedMs * (this.#ratio + this.#deviation);
  }

  /**
   * @param expectedMs An estimate.
   * @returns Time that most exceed: a mean deviation below the mean.
   */
  fastMs(expectedMs: number): number {
    return expectedMs * Math.max(0, this.#ratio - this.#deviation);
  }
}
