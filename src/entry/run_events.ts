/** What a run at an agent says to the entry. */
import type {
  Refusal,
  RunEnd,
  RunHead,
  RunStarted,
} from "../wire/gen/cicadahitch.ts";
import type { Execution } from "./errors.ts";

/** Why a run's answer can't be had. */
export const LossReason = {
  /** The caller's signal was aborted. */
  Aborted: "aborted",
  /** The request never left. */
  Unreachable: "unreachable",
  /** The agent's address refuses connections. */
  Gone: "gone",
  /** The agent answered a cancellation and nothing else. */
  Withdrawn: "withdrawn",
  /** The agent ended the run with a count that its pieces don't have. */
  Incomplete: "incomplete",
  /** The agent no longer knows the run, or answers as another process. */
  Forgotten: "forgotten",
} as const;
/** One of {@link LossReason}. */
export type LossReason = (typeof LossReason)[keyof typeof LossReason];

/** A run whose answer can't be had. */
export interface RunLoss {
  reason: LossReason;
  execution: Execution;
  /** The agent process that had the run is known to be gone. */
  agentGone: boolean;
  message: string;
}

/** What a run says. */
export type RunEvent =
  | { kind: "started"; started: RunStarted }
  | { kind: "head"; head: RunHead }
  /** The next pieces, in order, none left out. */
  | { kind: "pieces"; data: Buffer[] }
  /** All pieces have been given. */
  | { kind: "end"; end: RunEnd }
  /** Not run here, and never will be. */
  | { kind: "refused"; refusal: Refusal }
  | { kind: "lost"; loss: RunLoss }
  /** The agent said nothing, and the run has been attached to again. */
  | { kind: "silent"; silences: number };
