/**
 * Models how an entry dispatches requests in virtual time. It runs the real placement policies and
 * simulates the round trips to agents. Policies other than `offers` don't ask agents for offers;
 * they send the request directly to their first candidate.
 */
import type { Clock } from "../base/mod.ts";
import {
  type MemberTable,
  type Policy,
  PolicyName,
  type ServerOffer,
} from "../placement/mod.ts";
import {
  AskReply,
  AskRequest,
  type Offer,
  Priority,
  type Refusal,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import type { RequestPlan } from "./workload.ts";
import type { RunResult, Worker } from "./worker.ts";

/** Outcome and timings of one request, as its caller observes them. */
export interface RequestRecord {
  plan: RequestPlan;
  outcome: "answered" | "refused" | "failed";
  /** Time to first token; Infinity when no first token arrived. */
  ttftMs: number;
  /** Longest retry delay that any refusal gave; 0 without refusals. */
  retryAfterMs: number;
  rounds: number;
  asks: number;
  controlBytes: number;
}

/** Settings of an {@link EntryModel}. */
export interface EntryModelOptions {
  clock: Clock;
  policy: Policy;
  zoneRttMs: Record<string, number>;
  tableOf: (pool: string) => MemberTable<Worker>;
  /** How long an agent reserves capacity for an unused offer. */
  holdMs: number;
  /** When false, every request is sent with normal priority. */
  hasPriority: boolean;
  /** When false, requests are sent to agents without a deadline. */
  hasDeadline: boolean;
  /** Replaces the policy; chooses a server from the exact cache and queue state. */
  oracle?: (
    ask: AskRequest,
    plan: RequestPlan,
    tried: ReadonlySet<string>,
  ) => Worker | undefined;
}

const MAX_ROUNDS = 4;
const ASK_TIMEOUT_MS = 250;
const PRIORITIES = {
  urgent: Priority.URGENT,
  normal: Priority.NORMAL,
  batch: Priority.BATCH,
} as const;
const NO_OFFER: Offer = {
  holdId: "",
  matchedTokens: 0,
  recomputeTokens: 0,
  expectedTtftMs: 0,
  queueMs: 0,
  engineIncarnation: "",
  weightsVersion: "",
  running: 0,
  waiting: 0,
};

/** Simulates one entry. */
export class EntryModel {
  readonly policy: Policy;
  readonly #options: EntryModelOptions;

  private constructor(options: EntryModelOptions) {
    this.policy = options.policy;
    this.#options = options;
  }

  /**
   * @param options The policy and the simulated environment.
   * @returns An entry without any placement history.
   */
  static create(options: EntryModelOptions): EntryModel {
    return new EntryModel(options);
  }

  /**
   * Places a request and runs it, retrying on other servers for up to {@link MAX_ROUNDS} rounds.
   *
   * @param plan The request.
   * @param runId Prefix of the run ids of its rounds.
   * @returns The outcome and timings of the request.
   */
  async serve(plan: RequestPlan, runId: string): Promise<RequestRecord> {
    const startMs = this.#options.clock.nowMs();
    const record = createRecord(plan);
    const tried = new Set<string>();
    for (; record.rounds < MAX_ROUNDS; record.rounds++) {
      const ask = this.#buildAskRequest(
        plan,
        `${runId}-${record.rounds}`,
        startMs,
      );
      const chosen = await this.#choose(ask, record, tried);
      if (chosen === "none") break;
      if (!chosen) continue;
      const result = await this.#run(ask, chosen, { record, startMs });
      if (!this.#isFinal(result, chosen, record)) {
        tried.add(chosen.member.id);
        continue;
      }
      return record;
    }
    record.outcome = "refused";
    return record;
  }

  /** @returns The chosen server; undefined if all candidates refused; "none" if none is left. */
  async #choose(
    ask: AskRequest,
    record: RequestRecord,
    tried: Set<string>,
  ): Promise<ServerOffer<Worker> | "none" | undefined> {
    const { policy } = this;
    const { oracle } = this.#options;
    if (oracle) {
      const member = oracle(ask, record.plan, tried);
      return member ? { member, offer: NO_OFFER } : "none";
    }
    const table = this.#options.tableOf(record.plan.class.pool);
    const request = { ...record.plan.prompt.request, excludedIds: tried };
    const candidates = policy.candidates(request, table);
    if (candidates.length === 0) return "none";
    if (policy.name !== PolicyName.Offers) {
      return { member: candidates[0]!, offer: NO_OFFER };
    }
    const answers = await Promise.all(
      candidates.map((member) => this.#ask(member, ask, record)),
    );
    const offers = answers.filter((answer) => answer !== undefined);
    for (const member of candidates) {
      if (!offers.some((offer) => offer.member === member)) {
        tried.add(member.id);
      }
    }
    return policy.choose(request, offers);
  }

  async #ask(
    member: Worker,
    ask: AskRequest,
    record: RequestRecord,
  ): Promise<ServerOffer<Worker> | undefined> {
    const { clock, zoneRttMs } = this.#options;
    const oneWayMs = zoneRttMs[member.zone]! / 2;
    await clock.sleep(oneWayMs);
    const reply = member.ask(ask);
    record.asks++;
    record.controlBytes += AskRequest.encode(ask).finish().length;
    record.controlBytes += AskReply.encode(reply).finish().length;
    await clock.sleep(Math.min(oneWayMs, ASK_TIMEOUT_MS));
    const { verdict } = reply;
    if (verdict?.$case === "offer") return { member, offer: verdict.value };
    if (verdict) this.#recordRefusal(member, verdict.value, record);
    return undefined;
  }

  async #run(
    ask: AskRequest,
    { member, offer }: ServerOffer<Worker>,
    { record, startMs }: { record: RequestRecord; startMs: number },
  ): Promise<RunResult> {
    const { clock, zoneRttMs } = this.#options;
    const oneWayMs = zoneRttMs[member.zone]! / 2;
    const { request } = record.plan.prompt;
    this.policy.recordObservation({
      kind: "placed",
      request,
      memberId: member.id,
      offer,
    });
    await clock.sleep(oneWayMs);
    return await member.run(ask, offer.holdId, {
      onFirstPiece: () => {
        record.ttftMs = clock.nowMs() + oneWayMs - startMs;
        this.policy.recordObservation({
          kind: "answered",
          memberId: member.id,
        });
      },
    });
  }

  /** @returns False when the request may be retried on another server. */
  #isFinal(
    result: RunResult,
    { member }: ServerOffer<Worker>,
    record: RequestRecord,
  ): boolean {
    if (result.kind === "refused") {
      this.#recordRefusal(member, result.refusal, record);
      return false;
    }
    if (result.end.outcome === RunOutcome.DONE) {
      record.outcome = "answered";
      return true;
    }
    this.policy.recordObservation({ kind: "failed", memberId: member.id });
    record.outcome = "failed";
    // Without output, a retry is safe: the caller saw nothing, and the engine has dropped the run.
    return result.wasStarted;
  }

  #recordRefusal(
    member: Worker,
    refusal: Refusal,
    record: RequestRecord,
  ): void {
    const { retryAfterMs } = refusal;
    record.retryAfterMs = Math.max(record.retryAfterMs, retryAfterMs);
    this.policy.recordObservation({
      kind: "refused",
      memberId: member.id,
      retryAfterMs,
    });
  }

  #buildAskRequest(
    plan: RequestPlan,
    runId: string,
    startMs: number,
  ): AskRequest {
    const { scope, prompt } = plan;
    const elapsedMs = this.#options.clock.nowMs() - startMs;
    const remainingMs = Math.max(
      1,
      Math.ceil(plan.class.deadlineMs - elapsedMs),
    );
    return AskRequest.fromPartial({
      ...scope,
      runId,
      chain: prompt.request.points,
      promptTokens: prompt.request.promptTokens,
      maxTokens: plan.class.outputTokens,
      priority: this.#options.hasPriority
        ? PRIORITIES[plan.class.priority]
        : Priority.NORMAL,
      deadlineMs: this.#options.hasDeadline ? remainingMs : 0,
      holdMs: this.#options.holdMs,
      configVersion: 1000n,
    });
  }
}

function createRecord(plan: RequestPlan): RequestRecord {
  return {
    plan,
    outcome: "refused",
    ttftMs: Infinity,
    retryAfterMs: 0,
    rounds: 0,
    asks: 0,
    controlBytes: 0,
  };
}
