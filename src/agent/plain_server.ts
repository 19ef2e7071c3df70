/** Serves calls of the plain service beside the agent. */
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
import { KeptAnswers } from "./kept_answers.ts";
import type { PlainService } from "../backends/service.ts";
import { refuse } from "./refusals.ts";
import type { Relay } from "./relay.ts";
import { describeFailure, type Run, RunState } from "./run.ts";

/** What the team's branch says about a service. */
export interface ServiceSettings {
  timeoutMs: number;
  retryWindowMs: number;
  whenStoreDown: "refuse" | "memory";
}

/** What {@link PlainServer} is made from. */
export interface PlainServerOptions {
  service: PlainService;
  clock: Clock;
  /** The journal; undefined: calls that may not be repeated are refused. */
  journal: () => ClaimsJournal | undefined;
  relay: Relay;
}

/** A call to serve. */
export interface PlainWork {
  run: Run;
  call: PlainCall;
  settings: ServiceSettings;
}

const MAX_CALLS = 256;
const BUSY_RETRY_MS = 500;
const NO_STATUS = 0;

/** The service and its answers. */
export class PlainServer {
  readonly answers: KeptAnswers;
  readonly #options: PlainServerOptions;
  #calls = 0;

  private constructor(options: PlainServerOptions) {
    this.#options = options;
    this.answers = KeptAnswers.create({ clock: options.clock });
  }

  /**
   * @param options Service, journal and relay.
   * @returns A server without calls.
   */
  static create(options: PlainServerOptions): PlainServer {
    return new PlainServer(options);
  }

  get callCount(): number {
    return this.#calls;
  }

  /** @returns What a call can expect. */
  offer(): Result<Offer, Refusal> {
    const refusal = this.#refuseBusy();
    if (refusal) return Result.err(refusal);
    return Result.ok({
      holdId: "",
      matchedTokens: 0,
      recomputeTokens: 0,
      expectedTtftMs: 0,
      queueMs: 0,
      engineIncarnation: "",
      weightsVersion: "",
      running: this.#calls,
      waiting: 0,
    });
  }

  /** @returns Why no further call is taken now; undefined: it is. */
  admit(): Refusal | undefined {
    const refusal = this.#refuseBusy();
    if (!refusal) this.#calls++;
    return refusal;
  }

  /** @param work A call that was admitted. */
  async serve(work: PlainWork): Promise<void> {
    try {
      if (work.run.isAtMostOnce) await this.#serveOnce(work);
      else await this.#pass(work);
    } finally {
      this.#calls--;
    }
  }

  async #serveOnce(work: PlainWork): Promise<void> {
    const journal = this.#options.journal();
    if (!journal) {
      const message = "No key-value service is set, so nothing can be claimed";
      return work.run.refuse(refuse(RefusalCode.STORE_DOWN, message));
    }
    const request = claimRequest(work);
    const answer = await journal.claim(request);
    if (answer.isErr) return endUnclaimed(work.run, answer.error);
    await this.#follow(work, request, answer.value);
  }

  async #follow(
    work: PlainWork,
    ref: ClaimRef,
    answer: ClaimAnswer,
  ): Promise<void> {
    switch (answer.kind) {
      case "granted":
        return await this.#passClaimed(work, answer.ticket);
      case "running": {
        const message = "An earlier run has this key, and its answer is gone";
        return work.run.end(RunOutcome.UNKNOWN, message);
      }
      case "elsewhere":
        return await this.#relay(work, ref, answer);
      case "ended":
        return endAsEarlier(work.run, answer.end);
    }
  }

  async #passClaimed(work: PlainWork, ticket: ClaimTicket): Promise<void> {
    const { run } = work;
    if (run.signal.aborted || isPast(run, this.#options.clock.nowMs())) {
      ticket.end({ kind: "not_run" });
      const message = "Cancelled before it was passed on";
      return run.refuse(refuse(RefusalCode.CANCELLED, message));
    }
    if (!ticket.begin()) {
      ticket.end({ kind: "not_run" });
      const message = "The claim is too old to be used";
      return run.refuse(refuse(RefusalCode.STORE_DOWN, message));
    }
    await this.#pass(work);
    ticket.end(claimEndOf(run));
  }

  async #relay(
    { run, call }: PlainWork,
    ref: ClaimRef,
    { claimant }: Extract<ClaimAnswer, { kind: "elsewhere" }>,
  ): Promise<void> {
    const end = await this.#options.relay.copy(run, { call, claimant });
    if (end) this.#options.journal()?.resolve(ref, end);
  }

  async #pass({ run, call, settings }: PlainWork): Promise<void> {
    run.state = RunState.Running;
    const timeout = AbortSignal.timeout(settings.timeoutMs);
    const signal = run.isAtMostOnce
      ? timeout
      : AbortSignal.any([timeout, run.signal]);
    const { output } = run;
    for await (const step of this.#options.service.run(call, signal)) {
      if (step.isErr) return endBroken(run, step.error);
      switch (step.value.kind) {
        case "head":
          output.setHead(step.value);
          break;
        case "piece":
          output.append(step.value.data);
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

  #refuseBusy(): Refusal | undefined {
    if (this.#calls < MAX_CALLS) return undefined;
    return refuse(RefusalCode.OVERLOADED, "Too many calls are under way", {
      retryAfterMs: BUSY_RETRY_MS,
    });
  }
}

/**
 * @param ask Team and workspace.
 * @param call A call that may not be repeated.
 * @returns Digest of its key; the run id stands in where the caller gave none.
 */
export function keyDigestOf(ask: AskRequest, call: PlainCall): Uint8Array {
  const { team, workspace, runId } = ask;
  const idempotencyKey = call.idempotencyKey || `run:${runId}`;
  return digestKey({ team, workspace, service: call.service, idempotencyKey });
}

function claimRequest({ run, call, settings }: PlainWork): ClaimRequest {
  return {
    team: run.ask.team,
    service: call.service,
    keyDigest: keyDigestOf(run.ask, call),
    runId: run.runId,
    fingerprint: call.fingerprint,
    settings,
  };
}

function endUnclaimed(run: Run, refusal: ClaimRefusal): void {
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

/** @returns A key came back with another request. */
export function refuseReused(): Refusal {
  const message = "The idempotency key was used for another request";
  return refuse(RefusalCode.KEY_REUSED, message);
}

function endAsEarlier(run: Run, end: ClaimEnd): void {
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

function endBroken(
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

function isPast(run: Run, nowMs: number): boolean {
  return nowMs > run.deadlineAtMs;
}

async function waitForRoom(run: Run, signal: AbortSignal): Promise<void> {
  const wake = () => run.output.wake();
  signal.addEventListener("abort", wake, { once: true });
  await run.output.waitForRoom();
  signal.removeEventListener("abort", wake);
}
