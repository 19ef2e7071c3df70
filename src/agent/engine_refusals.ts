/** Refusals that come from the engine's state or answers. */
import type { EngineFailure } from "../backends/engine.ts";
import { type Refusal, RefusalCode } from "../wire/gen/cicadahitch.ts";
import { refuse } from "./refusals.ts";
import { describeFailure } from "./run.ts";

/** An answer of an engine that does not serve the model. */
export const STATUS_NOT_FOUND = 404;
const DOWN_RETRY_MS = 1000;

/** @returns The refusal while the engine is down. */
export function refuseDown(): Refusal {
  return refuse(RefusalCode.SERVER_DOWN, "The engine does not answer", {
    retryAfterMs: DOWN_RETRY_MS,
  });
}

/** @returns The refusal of a model that the engine does not have. */
export function refuseNotLoaded(): Refusal {
  return refuse(RefusalCode.MODEL_NOT_LOADED, "The model is not loaded");
}

/**
 * @param failure The engine's answer.
 * @returns Whose fault it is: the caller's, or load.
 */
export function refuseRejected(
  failure: Extract<EngineFailure, { kind: "rejected" }>,
): Refusal {
  const isBusy = failure.status === 429 || failure.status === 503;
  if (failure.status === STATUS_NOT_FOUND) return refuseNotLoaded();
  const isCallers = failure.status >= 400 && failure.status < 500 && !isBusy;
  if (isCallers) return refuse(RefusalCode.INVALID, failure.body);
  return refuse(RefusalCode.OVERLOADED, describeFailure(failure), {
    retryAfterMs: DOWN_RETRY_MS,
  });
}
