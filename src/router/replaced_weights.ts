/** Decides whether a request may still start on replaced weights, and at which penalty. */
import type { WeightsLimits } from "./wanted_weights.ts";

/** Penalty for weights on which soon no request may start. */
const STALE_WEIGHTS_PENALTY_MS = 4000;
/** Multiple of the mean output time that few answers exceed. */
const OUTPUT_FACTOR = 1.25;
/**
 * Multiple of the time to first token after which an answer has caught up with delays. If the first
 * token is slow, later ones are slow too, because they wait for the same prefills. An engine that
 * has to end an answer when its weights expire has worked for nothing.
 */
const QUEUE_FACTOR = 5;

/** How long each version of a model's weights has been replaced, and the age limits. */
export interface ReplacedWeights {
  /** Time since a version was replaced; 0 if it is current. */
  replacedForMs(weightsVersion: number): number;
  weightsLimits: WeightsLimits;
}

/** Whether and at which penalty a request may use an engine's weights. */
export interface WeightsAssessment {
  /** Time left in which an answer may start on the weights; undefined if there is no limit. */
  leftMs?: number;
  maySend: boolean;
  /** Penalty in equivalent waiting time. */
  penaltyMs: number;
}

/**
 * @param weights Ages and limits.
 * @param options The engine's version, and the request's expected time to first token and output
 *   time.
 * @returns Whether the request may be sent to the engine, and the penalty.
 */
export function assessWeights(
  { replacedForMs, weightsLimits }: ReplacedWeights,
  { version, expectedMs, outputMs }: {
    version: number;
    expectedMs: number;
    outputMs: number;
  },
): WeightsAssessment {
  const ageMs = replacedForMs(version);
  if (ageMs <= 0) return { maySend: true, penaltyMs: 0 };
  const { beginUntilMs, retiredFromMs } = weightsLimits;
  const leftMs = beginUntilMs - ageMs;
  const startsInTime = expectedMs < retiredFromMs - ageMs;
  const answerMs = expectedMs * QUEUE_FACTOR + outputMs * OUTPUT_FACTOR;
  return {
    leftMs,
    // The engine gets this time as its deadline, so that it starts nothing late even if no entry is
    // left to cancel the request.
    maySend: startsInTime && answerMs < leftMs,
    penaltyMs: agePenaltyMs(ageMs, weightsLimits),
  };
}

function agePenaltyMs(ageMs: number, { staleFromMs }: WeightsLimits): number {
  return ageMs >= staleFromMs ? STALE_WEIGHTS_PENALTY_MS : 0;
}
