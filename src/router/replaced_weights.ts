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
 * Price of an engine that may end the answer when its weights are too old: the stream then goes on
 * at another, behind a pause in which its prompt is read again. Refused instead, one caller in
 * fifty was not served while new weights came (0.903 of all served, and 0.925 with this price).
 */
const CUT_MS = 2000;

/** What is known of a model's replaced weights, and of a request that may begin on them. */
export interface ReplacedWeights {
  /** Time since a version was replaced; 0 if it wasn't. */
  replacedForMs(weightsVersion: number): number;
  weightsLimits: WeightsLimits;
  /** Whether a stream that its engine ends may go on at another. */
  isResumable: boolean;
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
  { replacedForMs, weightsLimits, isResumable }: ReplacedWeights,
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
  const mayBeCut = expectedMs + outputMs * OUTPUT_FACTOR >= leftMs;
  const beginsInTime = expectedMs < retiredFromMs - ageMs;
  return {
    leftMs,
    maySend: beginsInTime && (isResumable || !mayBeCut),
    priceMs: agePriceMs(ageMs, weightsLimits) + (mayBeCut ? CUT_MS : 0),
  };
}

function agePriceMs(ageMs: number, { staleFromMs }: WeightsLimits): number {
  if (ageMs >= staleFromMs) return STALE_WEIGHTS_MS;
  return ageMs >= OLD_WEIGHTS_FROM_MS ? OLD_WEIGHTS_MS : 0;
}
