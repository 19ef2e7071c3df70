/** Builds refusals from the engine's state and responses. */
import type { EngineFailure } from "../backends/engine.ts";
import { type Refusal, RefusalCode } from "../wire/gen/cicadahitch.ts";
import { refuse } from "./refusals.ts";
import { describeFailure } from "./run.ts";

/** HTTP status of an engine that does not serve the requested model. */
export const STATUS_NOT_FOUND = 404;
/** Retry delay suggested while the engine is down or busy. */
const DOWN_RETRY_MS = 1000;

/** @returns The refusal of a request while the engine is unreachable. */
export function refuseDown(): Refusal {
  return refuse(RefusalCode.SERVER_DOWN, "The engine does not answer", {
    retryAfterMs: DOWN_RETRY_MS,
  });
}

/** @returns The refusal of a request whose model the engine has not loaded. */
export function refuseNotLoaded(): Refusal {
  return refuse(RefusalCode.MODEL_NOT_LOADED, "The model is not loaded");
}

/**
 * @param failure The engine's error response.
 * @returns `MODEL_NOT_LOADED` for 404, `INVALID` for other 4xx except 429, otherwise `OVERLOADED`.
 */
export function refuseRejected(
  failure: Extract<EngineFailure, { kind: "rejected" }>,
): Refusal {
  const isBusy = failure.status === 429 || failure.status === 503;
  if (failure.status === STATUS_NOT_FOUND) return refuseNotLoaded();
  const isCallerError = failure.status >= 400 && failure.status < 500 &&
    !isBusy;
  if (isCallerError) return refuse(RefusalCode.INVALID, failure.body);
  return refuse(RefusalCode.OVERLOADED, describeFailure(failure), {
    retryAfterMs: DOWN_RETRY_MS,
  });
}
