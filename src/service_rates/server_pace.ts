/** How much slower or faster one server is than the rates of its service. */

/** Sum of samples of a pace that one entry tells the others. */
export interface PaceSums {
  /** Geometric mean of the samples. */
  factor: number;
  count: number;
  /** Mean age of the samples. */
  ageMs: number;
}

/** Half-life of the weight of a sample. With 1 s, a change shows within 1 to 2 s. */
const HALF_LIFE_MS = 1000;
/**
 * Weight, in samples, of the assumption that the server has the rates of its service. Samples older
 * than a few half-lives weigh less than this, so that a server that was slow gets requests again.
 */
const PRIOR_WEIGHT = 1;
/** Weight, in samples, of the factor with which a pace starts. */
const START_WEIGHT = 4;
/** Bounds of the factor. */
const MAX_FACTOR = 20;
const MAX_LOG = Math.log(MAX_FACTOR);
/**
 * A sample counts as at most this many times the current factor, or this part of it: of seven samples
 * of equal weight, one outlier changes the factor by at most 14%.
 */
const MAX_STEP_LOG = Math.log(2.5);
/** Limit for the samples in one row of another entry; more than an entry sends between datagrams. */
const MAX_ROW_COUNT = 100;
/** Time for which a computed factor is reused, as it is read for each server at each choice. */
const REUSE_MS = 10;

/** Time factor of one incarnation of one server, from the samples of all entries. */
export class ServerPace {
  /** Sums over all samples, decayed up to `#atMs`. */
  #logSum: number;
  #weight = START_WEIGHT;
  #atMs: number | undefined;
  /** Sums over this entry's samples since {@link ServerPace.takeNews}. */
  #newCount = 0;
  #newLogSum = 0;
  #newAtMsSum = 0;
  #factor: number;
  #factorAtMs = -Infinity;

  private constructor(startFactor: number) {
    this.#logSum = Math.log(startFactor) * (START_WEIGHT + PRIOR_WEIGHT);
    this.#factor = startFactor;
  }

  /**
   * @param startFactor Factor until there are samples, from 1 / 20 to 20.
   * @returns A pace without samples.
   */
  static create(startFactor = 1): ServerPace {
    return new ServerPace(startFactor);
  }

  /** Whether there are samples that the other entries were not told. */
  get hasNews(): boolean {
    return this.#newCount > 0;
  }

  /**
   * @param nowMs Current time.
   * @returns Time that the server takes, as a multiple of the time by its service's rates.
   */
  factor(nowMs: number): number {
    if (nowMs - this.#factorAtMs >= REUSE_MS) {
      this.#factor = Math.exp(this.#logFactor(nowMs));
      this.#factorAtMs = nowMs;
    }
    return this.#factor;
  }

  /**
   * @param nowMs Current time.
   * @returns Number of samples, decayed by age.
   */
  weight(nowMs: number): number {
    this.#decay(nowMs);
    return this.#weight;
  }

  /**
   * Adds a sample of this entry.
   *
   * @param ratio Actual time as a multiple of the time by the service's rates.
   * @param nowMs Current time.
   */
  record(ratio: number, nowMs: number): void {
    const log = this.#bounded(Math.log(ratio), nowMs);
    this.#add(log, 1);
    this.#newCount++;
    this.#newLogSum += log;
    this.#newAtMsSum += nowMs;
  }

  /**
   * Adds samples of another entry.
   *
   * @param sums Their sums.
   * @param nowMs Current time.
   */
  merge({ factor, count, ageMs }: PaceSums, nowMs: number): void {
    const log = this.#bounded(Math.log(factor), nowMs);
    const weight = Math.min(MAX_ROW_COUNT, count) *
      0.5 ** (ageMs / HALF_LIFE_MS);
    this.#add(log, weight);
  }

  /**
   * @param nowMs Current time.
   * @returns This entry's samples since the last call; undefined if there are none.
   */
  takeNews(nowMs: number): PaceSums | undefined {
    const count = this.#newCount;
    if (count === 0) return undefined;
    const factor = Math.exp(this.#newLogSum / count);
    const ageMs = Math.max(0, nowMs - this.#newAtMsSum / count);
    this.#newCount = 0;
    this.#newLogSum = 0;
    this.#newAtMsSum = 0;
    return { factor, count, ageMs };
  }

  #bounded(log: number, nowMs: number): number {
    const current = this.#logFactor(nowMs);
    const near = clamp(log, current - MAX_STEP_LOG, current + MAX_STEP_LOG);
    return clamp(near, -MAX_LOG, MAX_LOG);
  }

  #add(log: number, weight: number): void {
    this.#logSum += weight * log;
    this.#weight += weight;
    this.#factorAtMs = -Infinity;
  }

  #logFactor(nowMs: number): number {
    this.#decay(nowMs);
    return this.#logSum / (this.#weight + PRIOR_WEIGHT);
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - (this.#atMs ?? nowMs);
    this.#atMs = nowMs;
    if (elapsedMs <= 0) return;
    const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.#logSum *= kept;
    this.#weight *= kept;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
