/** Rates of the engines of one service, learned from the answers of all its servers. */
import {
  type EngineRates,
  expectedTtftMs,
  INITIAL_RATES,
  type RateSample,
} from "./engine_rates.ts";
import { ServerPace } from "./server_pace.ts";

/** Parameters: base TTFT, delay per running request, time per token. */
const PARAMETERS = 3;
/** Initial variance of the logarithm of each parameter: the constants are right within about 20%. */
const START_VARIANCE = 0.04;
/**
 * Variance towards which those of parameters grow that samples tell little about, and its bound. The
 * estimator would otherwise forget without limit what a steady load doesn't show.
 */
const MAX_VARIANCE = 1;
/** Variance of the logarithm of one sample. */
const SAMPLE_VARIANCE = 0.09;
/** Part of the way to {@link MAX_VARIANCE} per sample; the estimate then averages over some 20. */
const FORGETTING = 2e-4;
/** The same while samples agree that the rates are wrong. */
const FAST_FORGETTING = 0.2;
/**
 * Weight of the constants at each sample, relative to the variances: parameters that samples tell little
 * about return to them. Without it, the time per token drifted to 2.7 times the constant in 100,000
 * requests of equal size.
 */
const CONSTANTS_WEIGHT = 1e-2;
/** Largest residual of a sample, as a logarithm: an outlier counts as 1.5 times too slow. */
const MAX_RESIDUAL = 0.4;
/** Weight of the newest sample in the mean of the residuals. */
const AGREEMENT_WEIGHT = 1 / 16;
/**
 * Samples agree that the rates are wrong above this mean of their residuals, in parts of
 * {@link MAX_RESIDUAL}; one outlier in seven makes 0.15.
 */
const AGREEMENT = 0.6;
/** Bounds of each parameter, as a logarithm of its ratio to the constant. */
const MAX_LOG_RATIO = Math.log(50);
/** Interval at which the median of the paces is computed. */
const MEDIAN_INTERVAL_MS = 500;
/** Paces with fewer recent samples of this entry don't count for the median. */
const MIN_MEDIAN_WEIGHT = 0.5;
/** Most recently sampled paces of which the median is computed; bounds the time to sort them. */
const MAX_MEDIAN_PACES = 256;
/** Below this number of paces, the median may be the pace of a single slow server. */
const MIN_REFERENCE_PACES = 3;
/** Least time that counts, as times are compared by ratio. */
const MIN_TTFT_MS = 0.1;

/**
 * Recursive least squares on logarithms: an extended Kalman filter whose state is the logarithm of each
 * parameter's ratio to its constant, so that rates stay positive, and engines ten times slower and
 * faster are learned alike. Samples are compared at the pace of their server relative to the median
 * one, as slower servers get shorter queues and would distort the rates.
 */
export class ServiceRates implements EngineRates {
  #tokensPerMs = INITIAL_RATES.tokensPerMs;
  #baseMs = INITIAL_RATES.baseMs;
  #runningMs = INITIAL_RATES.runningMs;
  readonly #logRatios = new Float64Array(PARAMETERS);
  readonly #variances = new Float64Array(PARAMETERS * PARAMETERS);
  /** Scratch space: derivatives of the logarithm of the expected time, and their products. */
  readonly #shares = new Float64Array(PARAMETERS);
  readonly #products = new Float64Array(PARAMETERS);
  #agreement = 0;
  #samples = 0;
  /** Paces with recent samples of this entry, the last sampled one last. */
  readonly #paces = new Set<ServerPace>();
  #medianFactor = 1;
  #medianPaces = 0;
  #medianAtMs = -Infinity;

  private constructor() {
    for (let i = 0; i < PARAMETERS; i++) {
      this.#variances[i * PARAMETERS + i] = START_VARIANCE;
    }
  }

  /** @returns The constants, of which samples have contradicted none. */
  static create(): ServiceRates {
    return new ServiceRates();
  }

  get tokensPerMs(): number {
    return this.#tokensPerMs;
  }

  get baseMs(): number {
    return this.#baseMs;
  }

  get runningMs(): number {
    return this.#runningMs;
  }

  /** @returns The pace of a new server: the median of the service's. */
  createPace(): ServerPace {
    return ServerPace.create((nowMs) => this.#median(nowMs));
  }

  /** @param pace Pace of a server that was removed or has restarted. */
  remove(pace: ServerPace): void {
    if (this.#paces.delete(pace)) this.#medianAtMs = -Infinity;
  }

  /**
   * Entries exchange factors relative to this one, which cancels a uniform difference of their rates,
   * e.g. to those of an entry that has just started.
   *
   * @param nowMs Current time.
   * @returns The median pace by this entry's own samples; 1 if they are of too few servers.
   */
  referenceFactor(nowMs: number): number {
    const median = this.#median(nowMs);
    return this.#medianPaces < MIN_REFERENCE_PACES ? 1 : median;
  }

  /**
   * Learns from an answer that this entry received.
   *
   * @param sample The answer.
   * @param options Its server's pace, and the current time.
   */
  record(
    sample: RateSample,
    { pace, nowMs }: { pace: ServerPace; nowMs: number },
  ): void {
    const ratio = Math.max(MIN_TTFT_MS, sample.ttftMs) /
      expectedTtftMs(this, sample);
    if (!Number.isFinite(ratio) || ratio <= 0) return;
    const relativePace = pace.factor(nowMs) / this.#median(nowMs);
    pace.record(ratio, nowMs);
    this.#update(sample, Math.log(ratio / relativePace));
    this.#paces.delete(pace);
    this.#paces.add(pace);
    if (this.#paces.size <= MAX_MEDIAN_PACES) return;
    const [oldest] = this.#paces;
    this.#paces.delete(oldest!);
  }

  #median(nowMs: number): number {
    if (nowMs - this.#medianAtMs < MEDIAN_INTERVAL_MS) {
      return this.#medianFactor;
    }
    this.#medianAtMs = nowMs;
    const factors: number[] = [];
    for (const pace of this.#paces) {
      const { factor, weight } = pace.ownSamples(nowMs);
      if (weight < MIN_MEDIAN_WEIGHT) this.#paces.delete(pace);
      else factors.push(factor);
    }
    this.#medianPaces = factors.length;
    this.#medianFactor = medianOf(factors);
    return this.#medianFactor;
  }

  /** @returns The rates for state dumps. */
  state(): unknown {
    return {
      tokensPerMs: round(this.#tokensPerMs),
      baseMs: round(this.#baseMs),
      runningMs: round(this.#runningMs),
      medianPace: round(this.#medianFactor),
      samples: this.#samples,
    };
  }

  #update(sample: RateSample, logError: number): void {
    const residual = clamp(logError, MAX_RESIDUAL);
    this.#agreement += AGREEMENT_WEIGHT *
      (residual / MAX_RESIDUAL - this.#agreement);
    const expectedMs = expectedTtftMs(this, sample);
    const shares = this.#shares;
    shares[0] = this.#baseMs / expectedMs;
    shares[1] = this.#runningMs * sample.running / expectedMs;
    shares[2] = 1 - shares[0]! - shares[1]!;
    this.#pullToConstants();
    const variance = this.#multiply() + SAMPLE_VARIANCE;
    for (let i = 0; i < PARAMETERS; i++) {
      const gain = this.#products[i]! / variance;
      const log = this.#logRatios[i]! + gain * residual;
      this.#logRatios[i] = clamp(log, MAX_LOG_RATIO);
    }
    this.#updateVariances(variance);
    this.#samples++;
    const [base, running, token] = this.#logRatios;
    this.#baseMs = INITIAL_RATES.baseMs * Math.exp(base!);
    this.#runningMs = INITIAL_RATES.runningMs * Math.exp(running!);
    this.#tokensPerMs = INITIAL_RATES.tokensPerMs * Math.exp(-token!);
  }

  #pullToConstants(): void {
    const logs = this.#logRatios;
    const [base, running, token] = logs;
    for (let i = 0; i < PARAMETERS; i++) {
      const row = i * PARAMETERS;
      const pull = this.#variances[row]! * base! +
        this.#variances[row + 1]! * running! +
        this.#variances[row + 2]! * token!;
      logs[i] = logs[i]! - CONSTANTS_WEIGHT * pull;
    }
  }

  /** Multiplies the covariance by the shares; returns the variance of the expected time. */
  #multiply(): number {
    let total = 0;
    for (let i = 0; i < PARAMETERS; i++) {
      let product = 0;
      for (let j = 0; j < PARAMETERS; j++) {
        product += this.#variances[i * PARAMETERS + j]! * this.#shares[j]!;
      }
      this.#products[i] = product;
      total += product * this.#shares[i]!;
    }
    return total;
  }

  #updateVariances(variance: number): void {
    const isWrong = Math.abs(this.#agreement) > AGREEMENT;
    const forgetting = isWrong ? FAST_FORGETTING : FORGETTING;
    for (let i = 0; i < PARAMETERS; i++) {
      for (let j = 0; j < PARAMETERS; j++) {
        const at = i * PARAMETERS + j;
        const learned = this.#variances[at]! -
          this.#products[i]! * this.#products[j]! / variance;
        const target = i === j ? MAX_VARIANCE : 0;
        this.#variances[at] = learned + forgetting * (target - learned);
      }
    }
  }
}

function medianOf(values: number[]): number {
  if (values.length === 0) return 1;
  values.sort((a, b) => a - b);
  const middle = values.length >> 1;
  const upper = values[middle]!;
  return values.length % 2 === 1 ? upper : (values[middle - 1]! + upper) / 2;
}

function clamp(value: number, bound: number): number {
  return Math.min(bound, Math.max(-bound, value));
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
