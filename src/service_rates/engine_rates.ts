/** Time to the first token of an engine as a linear function of its load. */

/** Rates of an engine. */
export interface EngineRates {
  /** Prompt tokens that it prefills per ms. */
  readonly tokensPerMs: number;
  /** Time to first token of a fully cached prompt at an idle engine. */
  readonly baseMs: number;
  /** Delay of the first token per running request, which lengthens every decode step until then. */
  readonly runningMs: number;
}

/** What an engine has to do before it can start an answer. */
export interface EngineWork {
  /** Prompt tokens of other requests that wait for their first token. */
  queuedTokens: number;
  /** Prompt tokens of the request itself that are not cached. */
  uncachedTokens: number;
  /** Requests in flight. */
  running: number;
}

/** One answer: the work when its request was sent, and how long it took to start. */
export interface RateSample extends EngineWork {
  ttftMs: number;
}

/** Initial estimates; the slowness or the learned rates of servers correct them. */
export const INITIAL_RATES: EngineRates = {
  tokensPerMs: 80,
  baseMs: 45,
  runningMs: 5,
};

/**
 * @param rates Rates of an engine.
 * @param work What it has to do first.
 * @returns Expected time to the first token.
 */
export function expectedTtftMs(rates: EngineRates, work: EngineWork): number {
  return rates.baseMs + rates.runningMs * work.running +
    (work.queuedTokens + work.uncachedTokens) / rates.tokensPerMs;
}
