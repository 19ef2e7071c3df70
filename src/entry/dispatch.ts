/** The life of a request between its checks and its answer: choose, run, and when to go elsewhere. */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import type { Policy } from "../placement/mod.ts";
import type { ChannelPool } from "../wire/mod.ts";
import {
  type AskRequest,
  type Refusal,
  RefusalCode,
  type RunEnd,
  RunOutcome,
  type StartRun,
} from "../wire/gen/cicadahitch.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { AgentConfig } from "./ask.ts";
import { passOn } from "./attempt.ts";
import { AbortCause, type Caller } from "./caller.ts";
import { Execution, notRun, type RequestFailure } from "./errors.ts";
import {
  endFailure,
  finalFailure,
  isFinalRefusal,
  lossFailure,
  refusedByAll,
} from "./failures.ts";
import type { Members, ServerMember } from "./members.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RunSuspects, SuspectedCall } from "./run_suspects.ts";
import { RunStream } from "./run_stream.ts";
import type { EntryTuning } from "./tuning.ts";

/** What a dispatcher works with. */
export interface DispatcherOptions {
  channels: ChannelPool;
  members: Members;
  policy: Policy;
  config: AgentConfig;
  budget: RetryBudget;
  suspects: RunSuspects;
  clock: Clock;
  random: () => number;
  tuning: EntryTuning;
}

/** When a request that may have run may be run again. */
export const Rerun = {
  Never: "never",
  /** When its first run is known to be over, or its agent process to be gone. */
  WhenOver: "when_over",
  Always: "always",
} as const;
/** One of {@link Rerun}. */
export type Rerun = (typeof Rerun)[keyof typeof Rerun];

/** A server to try next, chosen by a {@link Route}. */
export interface Target {
  member: ServerMember;
  /** Empty: no place is held. */
  holdId: string;
  /** Weights that were offered; left out: none were. */
  weightsVersion?: string;
  agentIncarnation: string;
  runId: string;
}

/** Chooses the servers of one request, one after the other. */
export interface Route {
  /** @returns The next server to try; undefined: none is left. */
  next(): Promise<Target | undefined>;
  /** Refusals heard while choosing. */
  readonly refusals: Refusal[];
  /** A target took the request. */
  placed(target: Target): void;
  /**
   * @param target A server that lacked the team's branch and has it now.
   * @returns The same server once more; undefined: it was tried again already.
   */
  again(target: Target): Target | undefined;
}

/** One request, ready to be run. */
export interface RunRequest {
  requestId: string;
  ask: AskRequest;
  call: NonNullable<StartRun["call"]>;
  route: Route;
  caller: Caller;
  sink: AnswerSink;
  rerun: Rerun;
  /** The caller gave a key that makes a repeat recognisable. */
  hasIdempotencyKey: boolean;
  windowPieces: number;
  /** Retries as a share of first tries. */
  retryShare: number;
  onStarted: () => void;
  onFirstPiece: () => void;
}

/** How a request was served. */
export interface DispatchReport {
  attempts: number;
  reattaches: number;
  address: string;
}

/** Runs after the first one that a request may have because that one came to nothing. */
const MAX_RERUNS = 1;

/** What to do after an attempt. */
type Verdict =
  | { kind: "done"; end: RunEnd }
  /** Not run here: another server may take it. */
  | { kind: "elsewhere" }
  /** It lacked the branch and has it now. */
  | { kind: "again"; target: Target }
  /** It ran, came to nothing, and may be run again. */
  | { kind: "rerun"; failure: RequestFailure }
  | { kind: "failed"; failure: RequestFailure };

/** Runs requests. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  private constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * @param options What it works with.
   * @returns A dispatcher.
   */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /**
   * Runs a request; its pieces go to its sink, its end or failure is returned.
   *
   * @param request What to run.
   * @param report Filled in on the way.
   * @returns The end of a run that is done, or what to tell the caller.
   */
  async run(
    request: RunRequest,
    report: DispatchReport,
  ): Promise<Result<RunEnd, RequestFailure>> {
    const { route, ask } = request;
    this.#options.budget.earn(ask.team, request.retryShare);
    let earlier: RequestFailure | undefined;
    let reruns = 0;
    let again: Target | undefined;
    while (!request.caller.signal.aborted) {
      const target: Target | undefined = again ?? await route.next();
      again = undefined;
      if (!target) break;
      const refusal = this.#options.suspects.refusalOf(callOf(request));
      if (refusal) return Result.err(withEarlier(refusal, earlier));
      report.attempts++;
      report.address = target.member.address;
      const verdict = await this.#attempt(request, target, report);
      if (verdict.kind === "done") return Result.ok(verdict.end);
      if (verdict.kind === "failed") {
        return Result.err(withEarlier(verdict.failure, earlier));
      }
      if (verdict.kind === "again") again = verdict.target;
      if (verdict.kind !== "rerun") continue;
      earlier = withEarlier(verdict.failure, earlier);
      if (++reruns > MAX_RERUNS) break;
      request.sink.reset();
    }
    const { cause } = request.caller;
    if (cause) return Result.err(withEarlier(givenUp(cause), earlier));
    if (earlier) return Result.err(earlier);
    return Result.err(refusedByAll(route.refusals, this.#options.random));
  }

  async #attempt(
    request: RunRequest,
    target: Target,
    report: DispatchReport,
  ): Promise<Verdict> {
    const { policy, clock, suspects } = this.#options;
    const memberId = target.member.id;
    const sentAtMs = clock.nowMs();
    let firstPieceAtMs: number | undefined;
    const stream = this.#open(request, target, report.attempts);
    const outcome = await passOn(stream, request.sink, {
      onStarted: ({ agentIncarnation }) => {
        this.#options.members.noteIncarnation(memberId, agentIncarnation);
        request.route.placed(target);
        request.onStarted();
      },
      onFirstPiece: () => {
        firstPieceAtMs = clock.nowMs();
        policy.learn({ kind: "answered", memberId });
        request.onFirstPiece();
      },
    });
    report.reattaches += stream.reattaches;
    switch (outcome.kind) {
      case "refused":
        return this.#judgeRefusal(request, target, outcome.refusal);
      case "ended": {
        const { end } = outcome;
        const run = { memberId, end, sentAtMs, firstPieceAtMs };
        suspects.ended(callOf(request), run);
        return this.#judgeEnd(request, memberId, end);
      }
      case "lost": {
        const { cause } = request.caller;
        if (!cause) policy.learn({ kind: "failed", memberId });
        const failure = lossFailure(outcome.loss, cause);
        if (cause) return { kind: "failed", failure };
        return judgeLoss(request, failure, outcome.loss.agentGone);
      }
    }
  }

  #open(request: RunRequest, target: Target, attempt: number): RunStream {
    const { channels, clock, tuning, members } = this.#options;
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
      maxAttaches: tuning.maxAttaches,
      cancelTimeoutMs: tuning.cancelTimeoutMs,
      signal: request.caller.signal,
      isGone: () => members.isGone(member.id),
    });
  }

  async #judgeRefusal(
    request: RunRequest,
    target: Target,
    refusal: Refusal,
  ): Promise<Verdict> {
    if (refusal.code === RefusalCode.STALE_CONFIG) {
      const again = await this.#giveBranch(request, target);
      if (again) return { kind: "again", target: again };
    }
    const memberId = target.member.id;
    const { retryAfterMs } = refusal;
    if (refusal.code === RefusalCode.LEAVING) {
      this.#options.members.markLeaving(memberId);
    }
    this.#options.policy.learn({ kind: "refused", memberId, retryAfterMs });
    request.route.refusals.push(refusal);
    if (!isFinalRefusal(refusal, request.hasIdempotencyKey)) {
      return { kind: "elsewhere" };
    }
    const failure = finalFailure(refusal, this.#options.random);
    return { kind: "failed", failure };
  }

  async #giveBranch(
    { ask, route }: RunRequest,
    target: Target,
  ): Promise<Target | undefined> {
    const { address } = target.member;
    const isHeld = await this.#options.config.push(address, ask.team);
    return isHeld ? route.again(target) : undefined;
  }

  #judgeEnd(request: RunRequest, memberId: string, end: RunEnd): Verdict {
    const failure = endFailure(end);
    if (!failure) {
      this.#options.suspects.answered(callOf(request));
      return { kind: "done", end };
    }
    const isBroken = end.outcome === RunOutcome.FAILED ||
      end.outcome === RunOutcome.UNKNOWN;
    if (!isBroken) return { kind: "failed", failure };
    this.#options.policy.learn({ kind: "failed", memberId });
    const isOver = end.outcome === RunOutcome.FAILED;
    return judgeRerun(request, failure, isOver);
  }
}

function callOf({ ask, call }: RunRequest): SuspectedCall {
  return { team: ask.team, workspace: ask.workspace, call };
}

/** A run is for the weights that were offered. */
function versionOf({ weightsVersion }: Target): Partial<AskRequest> {
  return weightsVersion === undefined ? {} : { weightsVersion };
}

function judgeLoss(
  request: RunRequest,
  failure: RequestFailure,
  agentGone: boolean,
): Verdict {
  const isUnsent = failure.execution === Execution.NotRun;
  if (isUnsent && !request.sink.isCommitted) return { kind: "elsewhere" };
  const isOver = agentGone || failure.execution === Execution.Ran;
  return judgeRerun(request, failure, isOver);
}

function judgeRerun(
  request: RunRequest,
  failure: RequestFailure,
  isOver: boolean,
): Verdict {
  const mayRerun = request.rerun === Rerun.Always ||
    (request.rerun === Rerun.WhenOver && isOver);
  const kind = mayRerun && !request.sink.isCommitted ? "rerun" : "failed";
  return { kind, failure };
}

/** A request that ran earlier has run, whatever became of its last attempt. */
function withEarlier(
  failure: RequestFailure,
  earlier: RequestFailure | undefined,
): RequestFailure {
  if (!earlier || failure.execution === Execution.Unknown) return failure;
  if (earlier.execution === Execution.NotRun) return failure;
  return { ...failure, execution: earlier.execution };
}

function givenUp(cause: AbortCause): RequestFailure {
  const code = cause === AbortCause.Deadline
    ? "deadline_exceeded"
    : "client_gone";
  return notRun(code, "The request was given up before it was run");
}
