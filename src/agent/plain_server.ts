/** Forwards calls to the agent's plain service. */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  type ClaimAnswer,
  type ClaimEnd,
  type ClaimRef,
  type ClaimRefusal,
  type ClaimRequest,
  type ClaimsJournal,
  type ClaimTicket,
  digestKey,
} from "../journal/mod.ts";
import {
  type AskRequest,
  type Offer,
  type PlainCall,
  type Refusal,
  RefusalCode,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import { AnswerCache } from "./answer_cache.ts";
import type { PlainService } from "../backends/service.ts";
import { refuse } from "./refusals.ts";
import type { Relay } from "./relay.ts";
import { describeFailure, type Run, RunState } from "./run.ts";

/** Settings of a service in the team's branch. */
export interface ServiceSettings {
  timeoutMs: number;
  retryWindowMs: number;
  whenStoreDown: "refuse" | "memory";
}

/** Options of {@link PlainServer}. */
export interface PlainServerOptions {
  service: PlainService;
  clock: Clock;
  /** Returns the claims journal; without it, at-most-once calls are refused. */
  journal: () => ClaimsJournal | undefined;
  relay: Relay;
}

/** A call to serve, its run and the service's settings. */
export interface PlainTask {
  run: Run;
  call: PlainCall;
  settings: ServiceSettings;
}

const MAX_CALLS_IN_FLIGHT = 256;
const OVERLOAD_RETRY_AFTER_MS = 500;
const NO_STATUS = 0;

/** Forwards calls to one plain service and keeps the answers of at-most-once calls. */
export class PlainServer {
  readonly answers: AnswerCache;
  readonly #options: PlainServerOptions;
  #callsInFlight = 0;

  private constructor(options: PlainServerOptions) {
    this.#options = options;
    this.answers = AnswerCache.create({ clock: options.clock });
  }

  /**
   * @param options The service, the journal and the relay.
   * @returns A server without calls in flight.
   */
  static create(options: PlainServerOptions): PlainServer {
    return new PlainServer(options);
  }

  get callCount(): number {
    return this.#callsInFlight;
  }

  /** @returns An offer, or why a call would be refused. */
  offer(): Result<Offer, Refusal> {
    const refusal = this.#refuseIfFull();
    if (refusal) return Result.err(refusal);
    return Result.ok({
      holdId: "",
      matchedTokens: 0,
      recomputeTokens: 0,
      expectedTtftMs: 0,
      queueMs: 0,
      engineIncarnation: "",
      weightsVersion: "",
      running: this.#callsInFlight,
      waiting: 0,
    });
  }

  /** @returns Why a call is refused; undefined if it was admitted and counted. */
  admit(): Refusal | undefined {
    const refusal = this.#refuseIfFull();
    if (!refusal) this.#callsInFlight++;
    return refusal;
  }

  /** @param task An admitted call. */
  async serve(task: PlainTask): Promise<void> {
    try {
      if (task.run.isAtMostOnce) await this.#serveAtMostOnce(task);
      else await this.#forward(task);
    } finally {
      this.#callsInFlight--;
    }
  }

  async #serveAtMostOnce(task: PlainTask): Promise<void> {
    const journal = this.#options.journal();
    if (!journal) {
      const message = "No key-value service is set, so nothing can be claimed";
      return task.run.refuse(refuse(RefusalCode.STORE_DOWN, message));
    }
    const request = claimRequest(task);
    const answer = await journal.claim(request);
    if (answer.isErr) return endRefusedClaim(task.run, answer.error);
    await this.#handleClaimAnswer(task, request, answer.value);
  }

  async #handleClaimAnswer(
    task: PlainTask,
    ref: ClaimRef,
    answer: ClaimAnswer,
  ): Promise<void> {
    switch (answer.kind) {
      case "granted":
        return await this.#forwardClaimed(task, answer.ticket);
      case "running": {
        const message = "An earlier run has this key, and its answer is gone";
        return task.run.end(RunOutcome.UNKNOWN, message);
      }
      case "elsewhere":
        return await this.#relay(task, ref, answer);
      case "ended":
        return endLikeEarlierRun(task.run, answer.end);
    }
  }

  async #forwardClaimed(task: PlainTask, ticket: ClaimTicket): Promise<void> {
    const { run } = task;
    if (
      run.signal.aborted || isPastDeadline(run, this.#options.clock.nowMs())
    ) {
      ticket.end({ kind: "not_run" });
      const message = "Cancelled before it was passed on";
      return run.refuse(refuse(RefusalCode.CANCELLED, message));
    }
    if (!ticket.begin()) {
      ticket.end({ kind: "not_run" });
      const message = "The claim is too old to be used";
      return run.refuse(refuse(RefusalCode.STORE_DOWN, message));
    }
    await this.#forward(task);
    ticket.end(claimEndOf(run));
  }

  async #relay(
    { run, call }: PlainTask,
    ref: ClaimRef,
    { claimant }: Extract<ClaimAnswer, { kind: "elsewhere" }>,
  ): Promise<void> {
    const end = await this.#options.relay.copy(run, { call, claimant });
    if (end) this.#options.journal()?.recordEnd(ref, end);
  }

  async #forward({ run, call, settings }: PlainTask): Promise<void> {
    run.state = RunState.Running;
    const timeout = AbortSignal.timeout(settings.timeoutMs);
    const signal = run.isAtMostOnce
      ? timeout
      : AbortSignal.any([timeout, run.signal]);
    const { output } = run;
    for await (const part of this.#options.service.run(call, signal)) {
      if (part.isErr) return endFailedCall(run, part.error);
      switch (part.value.kind) {
        case "head":
          output.setHead(part.value);
          break;
        case "piece":
          output.append(part.value.data);
          while (!output.hasRoom && !signal.aborted) {
            await waitForRoom(run, signal);
          }
          break;
        case "end":
          return run.end(RunOutcome.DONE, "");
      }
    }
    run.end(RunOutcome.UNKNOWN, "The service's answer has no end");
  }

  #refuseIfFull(): Refusal | undefined {
    if (this.#callsInFlight < MAX_CALLS_IN_FLIGHT) return undefined;
    return refuse(RefusalCode.OVERLOADED, "Too many calls are under way", {
      retryAfterMs: OVERLOAD_RETRY_AFTER_MS,
    });
  }
}

/**
 * @param ask The request, for its team, workspace and run id.
 * @param call An at-most-once call.
 * @returns Digest of the idempotency key, or of the run id if the caller gave no key.
 */
export function keyDigestOf(ask: AskRequest, call: PlainCall): Uint8Array {
  const { team, workspace, runId } = ask;
  const idempotencyKey = call.idempotencyKey || `run:${runId}`;
  return digestKey({ team, workspace, service: call.service, idempotencyKey });
}

function claimRequest({ run, call, settings }: PlainTask): ClaimRequest {
  return {
    team: run.ask.team,
    service: call.service,
    keyDigest: keyDigestOf(run.ask, call),
    runId: run.runId,
    fingerprint: call.fingerprint,
    settings,
  };
}

function endRefusedClaim(run: Run, refusal: ClaimRefusal): void {
  switch (refusal.kind) {
    case "not_run": {
      const { retryAfterMs } = refusal;
      const message = `The claim was not written: ${refusal.cause}`;
      return run.refuse(
        refuse(RefusalCode.STORE_DOWN, message, { retryAfterMs }),
      );
    }
    case "redirect":
      return run.refuse({
        ...refuse(RefusalCode.OVERLOADED, "Another agent keeps these claims"),
        tryAddress: refusal.address,
      });
    case "key_reused":
      return run.refuse(refuseReused());
    case "unknown": {
      const message = "An earlier call may have used this key";
      return run.end(RunOutcome.UNKNOWN, message);
    }
  }
}

/** @returns The refusal for an idempotency key that was reused for another request. */
export function refuseReused(): Refusal {
  const message = "The idempotency key was used for another request";
  return refuse(RefusalCode.KEY_REUSED, message);
}

function endLikeEarlierRun(run: Run, end: ClaimEnd): void {
  switch (end.kind) {
    case "done": {
      const message = `It was done with status ${end.status}`;
      return run.end(RunOutcome.ANSWER_GONE, message);
    }
    case "failed":
      return run.end(RunOutcome.UNKNOWN, "It was passed on and broke");
    case "not_run": {
      const message = "It was not run; try again";
      return run.refuse(refuse(RefusalCode.CANCELLED, message));
    }
  }
}

function endFailedCall(
  run: Run,
  failure: Parameters<typeof describeFailure>[0],
): void {
  const message = describeFailure(failure);
  if (failure.kind === "unreachable") {
    return run.refuse(refuse(RefusalCode.SERVER_DOWN, message));
  }
  run.end(RunOutcome.UNKNOWN, message);
}

function claimEndOf(run: Run): ClaimEnd {
  const { ending, head } = run.output;
  if (ending?.kind === "refused") return { kind: "not_run" };
  const status = head?.status ?? NO_STATUS;
  const isDone = ending?.end.outcome === RunOutcome.DONE;
  return { kind: isDone ? "done" : "failed", status };
}

function isPastDeadline(run: Run, nowMs: number): boolean {
  return nowMs > run.deadlineAtMs;
}

async function waitForRoom(run: Run, signal: AbortSignal): Promise<void> {
  const wake = () => run.output.wake();
  signal.addEventListener("abort", wake, { once: true });
  await run.output.waitForRoom();
  signal.removeEventListener("abort", wake);
}
