/** Starts run attempts, each at one agent, and feeds their progress into placement and membership. */
import type { Clock } from "../base/mod.ts";
import type { Policy } from "../placement/mod.ts";
import type { AskRequest } from "../wire/gen/cicadahitch.ts";
import type { ChannelPool } from "../wire/mod.ts";
import type { AttemptObserver } from "./forward_run.ts";
import type { Members } from "./members.ts";
import type { DispatchReport, RunRequest, Target } from "./run_request.ts";
import { RunStream } from "./run_stream.ts";
import type { EntryTuning } from "./tuning.ts";

/** Dependencies and settings of {@link Attempts}. */
export interface AttemptsOptions {
  channels: ChannelPool;
  members: Members;
  policy: Policy;
  clock: Clock;
  tuning: EntryTuning;
}

/** One attempt to run a request at one agent. */
export interface Attempt {
  target: Target;
  stream: RunStream;
  sentAtMs: number;
  firstPieceAtMs: number | undefined;
}

/** Starts and observes run attempts. */
export class Attempts {
  readonly #options: AttemptsOptions;

  private constructor(options: AttemptsOptions) {
    this.#options = options;
  }

  /**
   * @param options Dependencies and settings.
   * @returns An instance that has started no attempt.
   */
  static create(options: AttemptsOptions): Attempts {
    return new Attempts(options);
  }

  /**
   * Opens a stream to an agent and sends it the request.
   *
   * @param request The request to run.
   * @param target The server to run it at.
   * @param report Its attempt count and address are updated.
   * @returns The attempt, which the agent has not confirmed yet.
   */
  start(
    request: RunRequest,
    target: Target,
    report: DispatchReport,
  ): Attempt {
    report.attempts++;
    report.address = target.member.address;
    const sentAtMs = this.#options.clock.nowMs();
    const stream = this.#open(request, target, report.attempts);
    return { target, stream, sentAtMs, firstPieceAtMs: undefined };
  }

  /**
   * @param request The request that is run.
   * @param attempt The attempt to observe.
   * @returns An observer that records the agent's incarnation, the placement and the first piece.
   */
  observe(request: RunRequest, attempt: Attempt): AttemptObserver {
    const { policy, clock, members } = this.#options;
    const { target } = attempt;
    const memberId = target.member.id;
    return {
      onStarted: ({ agentIncarnation }) => {
        members.recordIncarnation(memberId, agentIncarnation);
        request.route.recordStarted(target);
        request.onStarted();
      },
      onPieces: () => {
        if (attempt.firstPieceAtMs !== undefined) return;
        attempt.firstPieceAtMs = clock.nowMs();
        policy.recordObservation({ kind: "answered", memberId });
        request.onFirstPiece();
      },
    };
  }

  #open(request: RunRequest, target: Target, attempt: number): RunStream {
    const { channels, clock, tuning } = this.#options;
    const { member, agentIncarnation } = target;
    const deadlineMs = Math.ceil(request.caller.leftMs);
    return RunStream.create({
      channels,
      clock,
      address: member.address,
      start: {
        ask: {
          ...request.ask,
          ...versionOf(target),
          runId: target.runId,
          deadlineMs,
        },
        holdId: target.holdId,
        attempt,
        nextSeq: 0,
        attachOnly: false,
        call: request.call,
        windowPieces: request.windowPieces,
      },
      agentIncarnation,
      progressMs: tuning.progressMs,
      probeMs: tuning.probeMs,
      cancelTimeoutMs: tuning.cancelTimeoutMs,
      signal: request.caller.signal,
    });
  }
}

/** Pins the run to the weights version that the agent offered, if it offered one. */
function versionOf({ weightsVersion }: Target): Partial<AskRequest> {
  return weightsVersion === undefined ? {} : { weightsVersion };
}
