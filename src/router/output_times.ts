/** Expected time from the first token of an answer to the last, learned from complete answers. */

/** Initial estimate of the time per generated token; small models are several times faster. */
const INITIAL_TOKEN_MS = 15;
/** Bounds per token, which limit the effect of a single outlier. */
const TOKEN_MIN_MS = 1;
const TOKEN_MAX_MS = 200;
/** Weight of the newest sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Initial estimate of the tokens per answer; the moving average replaces it after a few answers. */
const INITIAL_OUTPUT_TOKENS = 50;

/** Duration of the answers of one server, or of all servers of one service. */
export class OutputTimes {
  /** Moving averages of the answer time and of the maximum tokens per answer. */
  #answerMs = INITIAL_TOKEN_MS * INITIAL_OUTPUT_TOKENS;
  #answerTokens = INITIAL_OUTPUT_TOKENS;
  #isLearned = false;

  private constructor() {}

  /** @returns Times that no answer has been recorded for. */
  static create(): OutputTimes {
    return new OutputTimes();
  }

  /**
   * @param tokens Maximum number of tokens that a request generates.
   * @returns Expected time from the first token to the last.
   */
  expectedMs(tokens: number): number {
    return tokens * this.#answerMs / this.#answerTokens;
  }

  /**
   * Few requests generate their maximum, so that more than the usual number counts as the usual one.
   *
   * @param tokens Maximum number of tokens that a request generates.
   * @returns Time from the first token to the last by complete answers alone; 0 without any.
   */
  learnedMs(tokens: number): number {
    if (!this.#isLearned) return 0;
    return this.expectedMs(Math.min(tokens, this.#answerTokens));
  }

  /**
   * Updates the moving averages with a complete answer. Answers are weighted by their tokens: short
   * answers wait for the prefill of other prompts between a few tokens, and a plain mean of time
   * per token would make all answers look several times slower.
   *
   * @param tookMs Time from the first token to the last.
   * @param tokens Maximum number of tokens that the answer might have had.
   */
  record(tookMs: number, tokens: number): void {
    if (tokens <= 0) return;
    this.#isLearned = true;
    const sampleMs = Math.min(
      TOKEN_MAX_MS * tokens,
      Math.max(TOKEN_MIN_MS * tokens, tookMs),
    );
    this.#answerMs += SAMPLE_WEIGHT * (sampleMs - this.#answerMs);
    this.#answerTokens += SAMPLE_WEIGHT * (tokens - this.#answerTokens);
  }
}
