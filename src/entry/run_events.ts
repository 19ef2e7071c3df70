/** Events that the entry receives from a run at an agent. */
import type {
  Refusal,
  RunEnd,
  RunHead,
  RunStarted,
} from "../wire/gen/cicadahitch.ts";
import type { Execution } from "./errors.ts";

/** Why a run's answer can't be obtained. */
export const LossReason = {
  /** The caller's signal was aborted. */
  Aborted: "aborted",
  /** The request was never sent. */
  Unreachable: "unreachable",
  /** The agent's address refuses connections. */
  Gone: "gone",
  /** The agent did not respond, except to a cancellation. */
  Withdrawn: "withdrawn",
  /** The piece count in the run's end does not match the received pieces. */
  Incomplete: "incomplete",
  /** The agent no longer knows the run, or is a different process now. */
  Forgotten: "forgotten",
} as const;
/** One of {@link LossReason}. */
export type LossReason = (typeof LossReason)[keyof typeof LossReason];

/** A run whose answer can't be obtained. */
export interface RunLoss {
  reason: LossReason;
  execution: Execution;
  /** Whether the agent process that had the run is known to have ended. */
  agentGone: boolean;
  message: string;
}

/** An event of a run. */
export type RunEvent =
  | { kind: "started"; started: RunStarted }
  | { kind: "head"; head: RunHead }
  /** The next pieces, in order and without gaps. */
  | { kind: "pieces"; data: Buffer[] }
  /** The run has ended; all pieces were delivered before. */
  | { kind: "end"; end: RunEnd }
  /** The agent has not run the request and never will. */
  | { kind: "refused"; refusal: Refusal }
  | { kind: "lost"; loss: RunLoss }
  /** The agent did not respond in time, and the run was reattached. */
  | { kind: "silent"; silences: number };
