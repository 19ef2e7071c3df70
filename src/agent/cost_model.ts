/** Latency model of one engine, initialized from the engine's own rates and updated by its runs. */

/** Measured timing of a completed run. */
export interface RunTiming {
  uncachedTokens: number;
  /** Time from sending the run to the engine to its first piece of output. */
  firstPieceMs: number;
  /** True if no other run was in prefill on the engine when this run was sent. */
  prefilledAlone: boolean;
  outputTokens: number;
  totalMs: number;
}

/** Weight of a new sample in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Prefills shorter than this are not used as samples of the prefill rate. */
const MIN_PREFILL_SAMPLE_TOKENS = 64;
const INITIAL_OUTPUT_TOKENS = 64;
const INITIAL_RUN_MS = 1000;

/** Estimates rates and run times as exponential moving averages. */
export class CostModel {
  #prefillMsPerToken = 0.2;
  #decodeMsPerToken = 20;
  #outputTokens = INITIAL_OUTPUT_TOKENS;
  #runMs = INITIAL_RUN_MS;

  private constructor() {}

  /** @returns A model with default rates. */
  static create(): CostModel {
    return new CostModel();
  }

  get prefillMsPerToken(): number {
    return this.#prefillMsPerToken;
  }

  get decodeMsPerToken(): number {
    return this.#decodeMsPerToken;
  }

  /** Average time from sending a run to the engine to its end. */
  get runMs(): number {
    return this.#runMs;
  }

  /** @param rates Rates that the engine reports when it starts; a rate of 0 is ignored. */
  reset(rates: { prefillMsPerToken: number; decodeMsPerToken: number }): void {
    if (rates.prefillMsPerToken > 0) {
      this.#prefillMsPerToken = rates.prefillMsPerToken;
    }
    if (rates.decodeMsPerToken > 0) {
      this.#decodeMsPerToken = rates.decodeMsPerToken;
      this.#runMs = INITIAL_OUTPUT_TOKENS * rates.decodeMsPerToken;
    }
  }

  /** @param timing Timing of a run that completed successfully. */
  update(timing: RunTiming): void {
    if (
      timing.prefilledAlone &&
      timing.uncachedTokens >= MIN_PREFILL_SAMPLE_TOKENS
    ) {
      const msPerToken = timing.firstPieceMs / timing.uncachedTokens;
      this.#prefillMsPerToken = updateAverage(
        this.#prefillMsPerToken,
        msPerToken,
      );
    }
    if (timing.outputTokens > 1) {
      const decodeMs = timing.totalMs - timing.firstPieceMs;
      const msPerToken = decodeMs / (timing.outputTokens - 1);
      this.#decodeMsPerToken = updateAverage(
        this.#decodeMsPerToken,
        msPerToken,
      );
    }
    this.#outputTokens = updateAverage(this.#outputTokens, timing.outputTokens);
    this.#runMs = updateAverage(this.#runMs, timing.totalMs);
  }

  /**
   * @param maxTokens The request's limit on output tokens; 0 if there is none.
   * @returns Expected time from the first to the last output token.
   */
  outputMs(maxTokens: number): number {
    const tokens = maxTokens > 0
      ? Math.min(maxTokens, this.#outputTokens)
      : this.#outputTokens;
    return tokens * this.#decodeMsPerToken;
  }
}

function updateAverage(average: number, sample: number): number {
  return average + SAMPLE_WEIGHT * (sample - average);
}
