/** Results of starting a run, or attaching to one, with a connection's first message. */
import {
  type Refusal,
  type RunEnd,
  type RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import type { Attachment } from "./attachment.ts";

/** Result of a start. */
export type OpenResult =
  | { kind: "attached"; attachment: Attachment }
  | { kind: "refused"; refusal: Refusal }
  /** The run is known or may have run, but its output can't be read. */
  | { kind: "gone"; end: RunEnd };

/**
 * @param refusal The refusal.
 * @returns The result of a refused start.
 */
export function refused(refusal: Refusal): OpenResult {
  return { kind: "refused", refusal };
}

/**
 * @param outcome Outcome of the run.
 * @param message Readable description.
 * @returns The result of a start whose run has no readable output.
 */
export function gone(outcome: RunOutcome, message: string): OpenResult {
  const end: RunEnd = {
    outcome,
    pieceCount: 0,
    message,
    promptTokens: 0,
    completionTokens: 0,
    cachedTokens: 0,
  };
  return { kind: "gone", end };
}
