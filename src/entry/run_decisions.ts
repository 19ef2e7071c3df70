/**
 * Rules for when a run ends and when its request may be run again. A run belongs to its agent and
 * outlives connections, so it ends only when
 *
 * - its agent sends an end or a refusal, or the answer comes from a different process;
 * - its agent's address refuses connections, since the process that had the run has ended;
 * - its caller disconnects or its deadline passes.
 *
 * Neither an unresponsive agent nor the list of instances, which lags, ends a run: the entry keeps
 * reattaching while the caller waits. If the caller has received nothing and the request may be run
 * again, another agent may take it over; the first run is kept until the other agent has started it.
 */
import type { RunEnd } from "../wire/gen/cicadahitch.ts";
import { Execution, type RequestFailure } from "./errors.ts";
import type { RunLoss } from "./run_events.ts";
import { Rerun, type RunRequest, type Target } from "./run_request.ts";

/** The next step after an attempt. */
export type Decision =
  | { kind: "done"; end: RunEnd }
  /** The agent did not run the request: try another server. */
  | { kind: "elsewhere" }
  /** The agent lacked the team's branch and has it now: try the same server once more. */
  | { kind: "again"; target: Target }
  /** The run failed or was lost, and the request may be run again. */
  | { kind: "rerun"; failure: RequestFailure }
  | { kind: "failed"; failure: RequestFailure };

/** How to handle a run whose agent does not respond. */
export const SilenceAction = {
  /** Keep reattaching. */
  Wait: "wait",
  /** Cancel the run at its agent; without an answer, the run continues. */
  Withdraw: "withdraw",
  /** Let another agent take the request over. */
  TakeOver: "relieve",
} as const;
/** One of {@link SilenceAction}. */
export type SilenceAction = (typeof SilenceAction)[keyof typeof SilenceAction];

/** A run whose agent does not respond. */
export interface SilentRun {
  /** Consecutive timeouts and broken connections without an answer from the agent. */
  silences: number;
  /** Maximum number of silences while the only action is {@link SilenceAction.Wait}. */
  maxAttaches: number;
  /** Whether the agent has confirmed that the run was started. */
  hasStarted: boolean;
  /** Whether the platform lists the instance as gone. */
  isGone: boolean;
}

/**
 * @param request The request.
 * @param run Its run, whose agent does not respond.
 * @returns How to handle the run.
 */
export function decideOnSilence(
  { sink, rerun }: RunRequest,
  { silences, maxAttaches, hasStarted, isGone }: SilentRun,
): SilenceAction {
  if (sink.isCommitted || rerun === Rerun.Never) return SilenceAction.Wait;
  if (silences <= maxAttaches && !isGone) return SilenceAction.Wait;
  if (rerun === Rerun.Always || isGone) return SilenceAction.TakeOver;
  return hasStarted ? SilenceAction.Wait : SilenceAction.Withdraw;
}

/**
 * @param request The request whose run was lost.
 * @param failure The failure to report if the request is not run again.
 * @param loss Whether the agent process that had the run has ended.
 * @returns Whether to try another server, run the request again, or fail.
 */
export function decideOnLoss(
  request: RunRequest,
  failure: RequestFailure,
  { agentGone }: Pick<RunLoss, "agentGone">,
): Decision {
  const isUnsent = failure.execution === Execution.NotRun;
  if (isUnsent && !request.sink.isCommitted) return { kind: "elsewhere" };
  const isOver = agentGone || failure.execution === Execution.Ran;
  return decideOnRerun(request, failure, { isOver });
}

/**
 * @param request The request that was run.
 * @param failure The failure to report if the request is not run again.
 * @param options Whether the run is known to have ended.
 * @returns Whether to run the request again or fail.
 */
export function decideOnRerun(
  request: RunRequest,
  failure: RequestFailure,
  { isOver }: { isOver: boolean },
): Decision {
  const mayRerun = request.rerun === Rerun.Always ||
    (request.rerun === Rerun.WhenOver && isOver);
  const kind = mayRerun && !request.sink.isCommitted ? "rerun" : "failed";
  return { kind, failure };
}
