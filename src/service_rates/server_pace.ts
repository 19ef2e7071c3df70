/** How much slower or faster one server is than the rates of its service. */

/** Sum of samples of a pace that one entry sends to the others. */
export interface PaceSums {
  /** Geometric mean of the samples, weighted by age. */
  factor: number;
  /** Number of samples, a whole number. */
  count: number;
  /** Age at which this number of samples has their decayed weight; the mean age would underweight them. */
  ageMs: number;
}

/** Half-life of the weight of a sample. With 1 s, a change shows within 1 to 2 s. */
const HALF_LIFE_MS = 1000;
/**
 * Weight, in samples, of the assumption that the server has the rates of its service. Samples older
 * than a few half-lives weigh less than this, so that a server that was slow gets requests again.
 */
const PRIOR_WEIGHT = 1;
/** Weight of the factor with which a pace starts; it decays like samples. */
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
/** Limit for the total weight, so that rows of many entries can't delay the next change. */
const MAX_WEIGHT = 250;
/** Unsent samples of less decayed weight are dropped. */
const MIN_UNSENT_WEIGHT = 0.05;
/** Unsent samples that would change a pace by less than 2% are left out of datagrams. */
const MIN_CHANGE_LOG = 0.02;
/** Time for which a computed factor is reused, as it is read for each server at each choice. */
const REUSE_MS = 10;

/** Time factor of one incarnation of one server, from the samples of all entries. */
export class ServerPace {
  /** Sums over all samples, decayed up to `#atMs`. */
  #logSum = 0;
  #weight = START_WEIGHT;
  #atMs: number | undefined;
  /** The same over this entry's samples only. */
  #ownLogSum = 0;
  #ownWeight = 0;
  /** The same over this entry's samples since {@link ServerPace.takeUnsentSamples}, and their number. */
  #unsentLogSum = 0;
  #unsentWeight = 0;
  #unsentCount = 0;
  #factor = 1;
  #factorAtMs = -Infinity;
  readonly #startFactor: (nowMs: number) => number;

  private constructor(startFactor: (nowMs: number) => number) {
    this.#startFactor = startFactor;
  }

  /**
   * @param startFactor Returns the factor until there are samples, from 1 / 20 to 20; called once, at
   *   the first use.
   * @returns A pace without samples.
   */
  static create(startFactor: (nowMs: number) => number = () => 1): ServerPace {
    return new ServerPace(startFactor);
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
   * @param nowMs Current time.
   * @returns Mean of this entry's samples, and their decayed number.
   */
  ownSamples(nowMs: number): { factor: number; weight: number } {
    this.#decay(nowMs);
    const weight = this.#ownWeight;
    const factor = weight > 0 ? Math.exp(this.#ownLogSum / weight) : 1;
    return { factor, weight };
  }

  /**
   * @param nowMs Current time.
   * @returns Decayed number of the unsent samples times their logarithmic deviation from the pace
   *   without them: 0 if they change it little, undefined if there are none.
   */
  unsentDeviation(nowMs: number): number | undefined {
    this.#decay(nowMs);
    if (this.#unsentWeight < MIN_UNSENT_WEIGHT) {
      this.#clearUnsent();
      return undefined;
    }
    const weight = this.#weight + PRIOR_WEIGHT;
    const sentWeight = weight - this.#unsentWeight;
    const sentLog = (this.#logSum - this.#unsentLogSum) / sentWeight;
    const deviation = Math.abs(
      this.#unsentLogSum - this.#unsentWeight * sentLog,
    );
    return deviation < MIN_CHANGE_LOG * weight ? 0 : deviation;
  }

  /**
   * Adds a sample of this entry.
   *
   * @param ratio Actual time as a multiple of the time by the service's rates.
   * @param nowMs Current time.
   */
  record(ratio: number, nowMs: number): void {
    const log = this.#bounded(Math.log(ratio), nowMs);
    this.#ownLogSum += log;
    this.#ownWeight++;
    this.#unsentLogSum += log;
    this.#unsentWeight++;
    this.#unsentCount++;
    this.#add(log, 1);
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
  takeUnsentSamples(nowMs: number): PaceSums | undefined {
    this.#decay(nowMs);
    const weight = this.#unsentWeight;
    if (weight < MIN_UNSENT_WEIGHT) return undefined;
    const factor = Math.exp(this.#unsentLogSum / weight);
    const count = Math.min(MAX_ROW_COUNT, this.#unsentCount);
    const ageMs = Math.max(0, HALF_LIFE_MS * Math.log2(count / weight));
    this.#clearUnsent();
    return { factor, count, ageMs };
  }

  #clearUnsent(): void {
    this.#unsentLogSum = 0;
    this.#unsentWeight = 0;
    this.#unsentCount = 0;
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
    if (this.#weight <= MAX_WEIGHT) return;
    const kept = MAX_WEIGHT / this.#weight;
    this.#logSum *= (MAX_WEIGHT + PRIOR_WEIGHT) / (this.#weight + PRIOR_WEIGHT);
    this.#weight = MAX_WEIGHT;
    this.#scaleOwn(kept);
  }

  #logFactor(nowMs: number): number {
    this.#decay(nowMs);
    return this.#logSum / (this.#weight + PRIOR_WEIGHT);
  }

  #decay(nowMs: number): void {
    if (this.#atMs === undefined) {
      this.#logSum = Math.log(this.#startFactor(nowMs)) *
        (START_WEIGHT + PRIOR_WEIGHT);
    }
    const elapsedMs = nowMs - (this.#atMs ?? nowMs);
    this.#atMs = nowMs;
    if (elapsedMs <= 0) return;
    const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.#logSum *= kept;
    this.#weight *= kept;
    this.#scaleOwn(kept);
  }

  #scaleOwn(kept: number): void {
    this.#ownLogSum *= kept;
    this.#ownWeight *= kept;
    this.#unsentLogSum *= kept;
    this.#unsentWeight *= kept;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
