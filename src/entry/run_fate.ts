/**
 * Who may end a run, and when. A run belongs to its agent and outlives connections, so it ends only
 *
 * - when its agent says so: an end, a refusal, or an answer from another process;
 * - when its agent's address refuses connections, as the process that had it is gone;
 * - when its caller is gone or out of time.
 *
 * Silence ends nothing, and neither does the list of instances, which lags: a silent run is attached
 * to again for as long as its caller waits. Where nothing has been passed on and the request may be
 * run again, another agent may take it over meanwhile; the silent run is kept until one has.
 */
import type { RunEnd } from "../wire/gen/cicadahitch.ts";
import { Execution, type RequestFailure } from "./errors.ts";
import type { RunLoss } from "./run_events.ts";
import { Rerun, type RunRequest, type Target } from "./run_request.ts";

/** What to do after an attempt. */
export type Verdict =
  | { kind: "done"; end: RunEnd }
  /** Not run here: another server may take it. */
  | { kind: "elsewhere" }
  /** It lacked the branch and has it now. */
  | { kind: "again"; target: Target }
  /** It ran, came to nothing, and may be run again. */
  | { kind: "rerun"; failure: RequestFailure }
  | { kind: "failed"; failure: RequestFailure };

/** What to do about a run whose agent is silent. */
export const SilenceMove = {
  /** Go on attaching. */
  Wait: "wait",
  /** Ask the agent by a cancellation; the run goes on unless it answers. */
  Withdraw: "withdraw",
  /** Let another agent take the request over. */
  Relieve: "relieve",
} as const;
/** One of {@link SilenceMove}. */
export type SilenceMove = (typeof SilenceMove)[keyof typeof SilenceMove];

/** A run whose agent is silent. */
export interface SilentRun {
  /** Attaches in a row that brought no word. */
  silences: number;
  /** Silences before anything but waiting is considered. */
  maxAttaches: number;
  /** The agent said that the run was started. */
  hasStarted: boolean;
  /** The platform says that the instance is gone. */
  isGone: boolean;
}

/**
 * @param request What is run.
 * @param run Its run, whose agent is silent.
 * @returns What to do about it.
 */
export function judgeSilence(
  { sink, rerun }: RunRequest,
  { silences, maxAttaches, hasStarted, isGone }: SilentRun,
): SilenceMove {
  if (sink.isCommitted || rerun === Rerun.Never) return SilenceMove.Wait;
  if (silences <= maxAttaches && !isGone) return SilenceMove.Wait;
  if (rerun === Rerun.Always || isGone) return SilenceMove.Relieve;
  return hasStarted ? SilenceMove.Wait : SilenceMove.Withdraw;
}

/**
 * @param request What was run.
 * @param failure What to tell its caller.
 * @param loss How its run was lost.
 * @returns Whether it may be run again.
 */
export function judgeLoss(
  request: RunRequest,
  failure: RequestFailure,
  { agentGone }: Pick<RunLoss, "agentGone">,
): Verdict {
  const isUnsent = failure.execution === Execution.NotRun;
  if (isUnsent && !request.sink.isCommitted) return { kind: "elsewhere" };
  const isOver = agentGone || failure.execution === Execution.Ran;
  return judgeRerun(request, failure, { isOver });
}

/**
 * @param request What was run.
 * @param failure What to tell its caller.
 * @param options Whether its run is known to be over.
 * @returns Whether it may be run again.
 */
export function judgeRerun(
  request: RunRequest,
  failure: RequestFailure,
  { isOver }: { isOver: boolean },
): Verdict {
  const mayRerun = request.rerun === Rerun.Always ||
    (request.rerun === Rerun.WhenOver && isOver);
  const kind = mayRerun && !request.sink.isCommitted ? "rerun" : "failed";
  return { kind, failure };
}
