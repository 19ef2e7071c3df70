/** The life of a request between its checks and its answer: choose, run, and when to go elsewhere. */
import { Result } from "true-myth";
import {
  type Refusal,
  RefusalCode,
  type RunEnd,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import type { AgentConfig } from "./ask.ts";
import { type AttemptOutcome, passOn } from "./attempt.ts";
import { type Attempt, Attempts, type AttemptsOptions } from "./attempts.ts";
import { AbortCause } from "./caller.ts";
import { Execution, notRun, type RequestFailure } from "./errors.ts";
import {
  endFailure,
  finalFailure,
  isFinalRefusal,
  lossFailure,
  refusedByAll,
} from "./failures.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RunLoss } from "./run_events.ts";
import {
  judgeLoss,
  judgeRerun,
  judgeSilence,
  SilenceMove,
  type Verdict,
} from "./run_fate.ts";
import type { DispatchReport, RunRequest, Target } from "./run_request.ts";
import type { RunSuspects, SuspectedCall } from "./run_suspects.ts";

/** What a dispatcher works with. */
export interface DispatcherOptions extends AttemptsOptions {
  config: AgentConfig;
  budget: RetryBudget;
  suspects: RunSuspects;
  random: () => number;
}

/** Runs after the first one that a request may have because that one came to nothing. */
const MAX_RERUNS = 1;
const SILENT_MESSAGE = "The agent does not answer";

/** What a request has come to so far. */
interface Progress {
  report: DispatchReport;
  reruns: number;
}

/** Runs requests. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #attempts: Attempts;

  private constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#attempts = Attempts.create(options);
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
    const progress: Progress = { report, reruns: 0 };
    let earlier: RequestFailure | undefined;
    let again: Target | undefined;
    while (!request.caller.signal.aborted) {
      const target: Target | undefined = again ?? await route.next();
      again = undefined;
      if (!target) break;
      const refusal = this.#options.suspects.refusalOf(callOf(request));
      if (refusal) return Result.err(withEarlier(refusal, earlier));
      const verdict = await this.#attempt(request, target, progress);
      if (verdict.kind === "done") return Result.ok(verdict.end);
      if (verdict.kind === "failed") {
        return Result.err(withEarlier(verdict.failure, earlier));
      }
      if (verdict.kind === "again") again = verdict.target;
      if (verdict.kind !== "rerun") continue;
      earlier = withEarlier(verdict.failure, earlier);
      if (++progress.reruns > MAX_RERUNS) break;
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
    progress: Progress,
  ): Promise<Verdict> {
    let attempt = this.#attempts.begin(request, target, progress.report);
    for (;;) {
      const observer = this.#attempts.observe(request, attempt);
      const outcome = await passOn(attempt.stream, request.sink, observer);
      if (outcome.kind !== "silent") {
        progress.report.reattaches += attempt.stream.reattaches;
        return await this.#judge(request, attempt, outcome);
      }
      switch (this.#judgeSilence(request, attempt, outcome.silences)) {
        case SilenceMove.Wait:
          break;
        case SilenceMove.Withdraw: {
          const loss = await attempt.stream.withdraw(SILENT_MESSAGE);
          if (loss) return this.#judgeLost(request, attempt, loss);
          break;
        }
        case SilenceMove.Relieve:
          attempt = await this.#relieve(request, attempt, progress) ?? attempt;
      }
    }
  }

  async #judge(
    request: RunRequest,
    attempt: Attempt,
    outcome: Exclude<AttemptOutcome, { kind: "silent" }>,
  ): Promise<Verdict> {
    const { target, sentAtMs, firstPieceAtMs } = attempt;
    const memberId = target.member.id;
    switch (outcome.kind) {
      case "refused":
        return await this.#judgeRefusal(request, target, outcome.refusal);
      case "ended": {
        const { end } = outcome;
        const run = { memberId, end, sentAtMs, firstPieceAtMs };
        this.#options.suspects.ended(callOf(request), run);
        return this.#judgeEnd(request, memberId, end);
      }
      case "lost":
        return this.#judgeLost(request, attempt, outcome.loss);
    }
  }

  #judgeLost(
    request: RunRequest,
    { target }: Attempt,
    loss: RunLoss,
  ): Verdict {
    const { policy, members } = this.#options;
    const memberId = target.member.id;
    const { cause } = request.caller;
    if (!cause) policy.learn({ kind: "failed", memberId });
    const failure = lossFailure(loss, cause);
    if (cause) return { kind: "failed", failure };
    const agentGone = loss.agentGone || members.isGone(memberId);
    return judgeLoss(request, failure, { agentGone });
  }

  #judgeSilence(
    request: RunRequest,
    { target, stream }: Attempt,
    silences: number,
  ): SilenceMove {
    return judgeSilence(request, {
      silences,
      maxAttaches: this.#options.tuning.maxAttaches,
      hasStarted: stream.hasStarted,
      isGone: this.#options.members.isGone(target.member.id),
    });
  }

  /**
   * Looks for an agent that takes a request over from a silent one, whose run is kept until another
   * has started it.
   */
  async #relieve(
    request: RunRequest,
    silent: Attempt,
    progress: Progress,
  ): Promise<Attempt | undefined> {
    const { policy } = this.#options;
    const { report } = progress;
    while (progress.reruns < MAX_RERUNS && !request.caller.signal.aborted) {
      if (this.#options.suspects.refusalOf(callOf(request))) return undefined;
      const target = await request.route.next();
      if (!target) return undefined;
      const relief = this.#attempts.begin(request, target, report);
      const event = await relief.stream.next();
      switch (event.kind) {
        case "refused":
          await this.#judgeRefusal(request, target, event.refusal);
          continue;
        case "lost":
          policy.learn({ kind: "failed", memberId: target.member.id });
          if (event.loss.execution === Execution.NotRun) continue;
          progress.reruns++;
          return undefined;
        case "started":
          progress.reruns++;
          break;
        default:
          progress.reruns++;
          await relief.stream.abandon(SILENT_MESSAGE);
          return undefined;
      }
      if (silent.stream.hasMessage) {
        await relief.stream.abandon("Another agent goes on with it");
        return undefined;
      }
      report.reattaches += silent.stream.reattaches;
      policy.learn({ kind: "failed", memberId: silent.target.member.id });
      void silent.stream.abandon("Another agent has taken it over");
      this.#attempts.observe(request, relief).onStarted(event.started);
      request.sink.reset();
      return relief;
    }
    return undefined;
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
    return judgeRerun(request, failure, { isOver });
  }
}

function callOf({ ask, call }: RunRequest): SuspectedCall {
  return { team: ask.team, workspace: ask.workspace, call };
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
