/** Which requests replaced weights may still begin, and what that costs them. */
import type { WeightsLimits } from "./wanted_weights.ts";

/** An answer on weights that were replaced longer ago is worth a fifth less. */
const OLD_WEIGHTS_FROM_MS = 1300;
/** Price of that, against waiting. */
const OLD_WEIGHTS_MS = 250;
/** Price of weights that must soon begin no request any more. */
const STALE_WEIGHTS_MS = 4000;
/** Few answers take longer than this multiple of the mean. */
const OUTPUT_FACTOR = 1.25;
/**
 * Where a first token takes long, the others do, too: they wait for the same prompts to be read. In
 * this multiple of the time to the first one an answer that meets them has caught up. An engine
 * that is told to end an answer has worked for nothing: mean worth of eight overloaded days 0.557
 * to 0.569 without this and 0.600 with it.
 */
const QUEUE_FACTOR = 5;

/** What is known of a model's replaced weights, and of a request that may begin on them. */
export interface ReplacedWeights {
  /** Time since a version was replaced; 0 if it wasn't. */
  replacedForMs(weightsVersion: number): number;
  weightsLimits: WeightsLimits;
}

/** What an engine's weights mean for a request. */
export interface WeighedWeights {
  /** Time in which they may be used at all; left out: no end. */
  leftMs?: number;
  maySend: boolean;
  /** Against waiting. */
  priceMs: number;
}

/**
 * @param weights Ages and limits.
 * @param options The engine's version, and times that the request is expected to take there.
 * @returns Whether the request may be sent there, and its price.
 */
export function weighReplaced(
  { replacedForMs, weightsLimits }: ReplacedWeights,
  { version, expectedMs, outputMs }: {
    version: number;
    expectedMs: number;
    outputMs: number;
  },
): WeighedWeights {
  const ageMs = replacedForMs(version);
  if (ageMs <= 0) return { maySend: true, priceMs: 0 };
  const { beginUntilMs, retiredFromMs } = weightsLimits;
  const leftMs = beginUntilMs - ageMs;
  const beginsInTime = expectedMs < retiredFromMs - ageMs;
  const answerMs = expectedMs * QUEUE_FACTOR + outputMs * OUTPUT_FACTOR;
  return {
    leftMs,
    // The engine is told to end then, so that it begins nothing late if nobody is left to say so.
    maySend: beginsInTime && answerMs < leftMs,
    priceMs: agePriceMs(ageMs, weightsLimits),
  };
}

function agePriceMs(ageMs: number, { staleFromMs }: WeightsLimits): number {
  if (ageMs >= staleFromMs) return STALE_WEIGHTS_MS;
  return ageMs >= OLD_WEIGHTS_FROM_MS ? OLD_WEIGHTS_MS : 0;
}
