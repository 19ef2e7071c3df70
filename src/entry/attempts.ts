/** Runs of requests at one agent each: how they are begun, and what is learned from their progress. */
import type { Clock } from "../base/mod.ts";
import type { Policy } from "../placement/mod.ts";
import type { AskRequest } from "../wire/gen/cicadahitch.ts";
import type { ChannelPool } from "../wire/mod.ts";
import type { AttemptObserver } from "./attempt.ts";
import type { Members } from "./members.ts";
import type { DispatchReport, RunRequest, Target } from "./run_request.ts";
import { RunStream } from "./run_stream.ts";
import type { EntryTuning } from "./tuning.ts";

/** What an {@link Attempts} works with. */
export interface AttemptsOptions {
  channels: ChannelPool;
  members: Members;
  policy: Policy;
  clock: Clock;
  tuning: EntryTuning;
}

/** A run at one agent. */
export interface Attempt {
  target: Target;
  stream: RunStream;
  sentAtMs: number;
  firstPieceAtMs: number | undefined;
}

/** Begins runs. */
export class Attempts {
  readonly #options: AttemptsOptions;

  private constructor(options: AttemptsOptions) {
    this.#options = options;
  }

  /**
   * @param options What it works with.
   * @returns Nothing is begun yet.
   */
  static create(options: AttemptsOptions): Attempts {
    return new Attempts(options);
  }

  /**
   * @param request What to run.
   * @param target Where.
   * @param report Filled in.
   * @returns A run that is on its way to its agent.
   */
  begin(
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
   * @param request What is run.
   * @param attempt Its run.
   * @returns Learns from the run's progress.
   */
  observe(request: RunRequest, attempt: Attempt): AttemptObserver {
    const { policy, clock, members } = this.#options;
    const { target } = attempt;
    const memberId = target.member.id;
    return {
      onStarted: ({ agentIncarnation }) => {
        members.noteIncarnation(memberId, agentIncarnation);
        request.route.placed(target);
        request.onStarted();
      },
      onPieces: () => {
        if (attempt.firstPieceAtMs !== undefined) return;
        attempt.firstPieceAtMs = clock.nowMs();
        policy.learn({ kind: "answered", memberId });
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

/** A run is for the weights that were offered. */
function versionOf({ weightsVersion }: Target): Partial<AskRequest> {
  return weightsVersion === undefined ? {} : { weightsVersion };
}
