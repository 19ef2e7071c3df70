/** Cancels a run at its agent and learns whether it was run. */
import { callUnary, type ChannelLease, isRefused } from "../wire/mod.ts";
import type { CancelReply, CancelRequest } from "../wire/gen/cicadahitch.ts";
import { Execution } from "./errors.ts";

/** What to cancel. */
export interface CancelOptions {
  runId: string;
  /** When the run was issued, so that an agent which never saw it forgets its bar in time. */
  issuedWallMs: bigint | undefined;
  reason: string;
  /** The agent process that was given the run; empty: not known. */
  agentIncarnation: string;
  timeoutMs: number;
}

/** What is known of a run after its cancellation. */
export interface CancelVerdict {
  execution: Execution;
  /** The agent process that was given the run is gone. */
  agentGone: boolean;
  /** The agent answered. */
  answered: boolean;
}

/**
 * Cancels a run. An agent that never saw it bars its id, so that it can't start late.
 *
 * @param lease Channel to the agent.
 * @param options Which run, and who was given it.
 * @returns Whether it was run, and whether the agent still is the same process.
 */
export async function cancelRun(
  lease: ChannelLease,
  options: CancelOptions,
): Promise<CancelVerdict> {
  const cancel = lease.agent.cancel.bind(lease.agent);
  const { runId, reason, issuedWallMs } = options;
  const answer = await callUnary<CancelRequest, CancelReply>(
    cancel,
    { runId, reason, issuedWallMs },
    { timeoutMs: options.timeoutMs },
  );
  return answer.match({
    Ok: (reply) => verdictOf(reply, options.agentIncarnation),
    Err: (failure) => ({
      execution: Execution.Unknown,
      agentGone: isRefused(failure),
      answered: false,
    }),
  });
}

function verdictOf(reply: CancelReply, expected: string): CancelVerdict {
  const isOther = expected !== "" && reply.agentIncarnation !== expected;
  const isSame = expected !== "" && !isOther;
  // An agent that may be another process than the one given the run can't vouch for that one.
  const notRunHere = isSame ? Execution.NotRun : Execution.Unknown;
  return {
    execution: reply.notRun || isOther ? notRunHere : Execution.Ran,
    agentGone: isOther,
    answered: true,
  };
}
