/** Cancels a run at its agent and determines whether the run was executed. */
import {
  callUnary,
  type ChannelLease,
  isConnectionRefused,
} from "../wire/mod.ts";
import type { CancelReply, CancelRequest } from "../wire/gen/cicadahitch.ts";
import { Execution } from "./errors.ts";

/** The run to cancel. */
export interface CancelOptions {
  runId: string;
  /** When the run was issued; tells an agent that never saw the run how long to block its id. */
  issuedWallMs: bigint | undefined;
  reason: string;
  /** Incarnation of the agent process that the run was sent to; empty if unknown. */
  agentIncarnation: string;
  timeoutMs: number;
}

/** Result of a cancellation. */
export interface CancelResult {
  execution: Execution;
  /** Whether the agent process that the run was sent to is known to have ended. */
  agentGone: boolean;
  /** Whether an agent answered the cancellation. */
  answered: boolean;
}

/**
 * Cancels a run. An agent that never saw the run blocks its id, so that a delayed start message
 * can't start it.
 *
 * @param lease Channel to the agent.
 * @param options The run and the agent process that it was sent to.
 * @returns Whether the run was executed, and whether the agent is still the same process.
 */
export async function cancelRun(
  lease: ChannelLease,
  options: CancelOptions,
): Promise<CancelResult> {
  const cancel = lease.agent.cancel.bind(lease.agent);
  const { runId, reason, issuedWallMs } = options;
  const answer = await callUnary<CancelRequest, CancelReply>(
    cancel,
    { runId, reason, issuedWallMs },
    { timeoutMs: options.timeoutMs },
  );
  return answer.match({
    Ok: (reply) => resultOf(reply, options.agentIncarnation),
    Err: (failure) => ({
      execution: Execution.Unknown,
      agentGone: isConnectionRefused(failure),
      answered: false,
    }),
  });
}

function resultOf(reply: CancelReply, expected: string): CancelResult {
  const isOtherProcess = expected !== "" && reply.agentIncarnation !== expected;
  const isSameProcess = expected !== "" && !isOtherProcess;
  // "Not run" is reliable only from the process that the run was sent to.
  const notRunExecution = isSameProcess ? Execution.NotRun : Execution.Unknown;
  return {
    execution: reply.notRun || isOtherProcess ? notRunExecution : Execution.Ran,
    agentGone: isOtherProcess,
    answered: true,
  };
}
