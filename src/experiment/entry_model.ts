/**
 * An entry's dispatch in virtual time: the library's policy, with round trips to agents. Policies
 * that don't ask send their request straight to the server that they name.
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

/** What came of a request, as its caller sees it. */
export interface RequestRecord {
  plan: RequestPlan;
  outcome: "answered" | "refused" | "failed";
  /** Infinity: no first token came. */
  ttftMs: number;
  /** Only of refusals. */
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
  /** How long agents hold a place for an offer. */
  holdMs: number;
  /** False: every request has the same priority. */
  hasPriority: boolean;
  /** False: agents don't hear of deadlines. */
  hasDeadline: boolean;
  /** Chooses instead of the policy, knowing everything. */
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

/** One entry. */
export class EntryModel {
  readonly policy: Policy;
  readonly #options: EntryModelOptions;

  private constructor(options: EntryModelOptions) {
    this.policy = options.policy;
    this.#options = options;
  }

  /**
   * @param options Policy and surroundings.
   * @returns An entry that has seen nothing yet.
   */
  static create(options: EntryModelOptions): EntryModel {
    return new EntryModel(options);
  }

  /**
   * @param plan A request.
   * @param runId Its id.
   * @returns What came of it.
   */
  async serve(plan: RequestPlan, runId: string): Promise<RequestRecord> {
    const startMs = this.#options.clock.nowMs();
    const record = newRecord(plan);
    const tried = new Set<string>();
    for (; record.rounds < MAX_ROUNDS; record.rounds++) {
      const ask = this.#askOf(plan, `${runId}-${record.rounds}`, startMs);
      const chosen = await this.#choose(ask, record, tried);
      if (chosen === "none") break;
      if (!chosen) continue;
      const result = await this.#run(ask, chosen, { record, startMs });
      if (!this.#isOver(result, chosen, record)) {
        tried.add(chosen.member.id);
        continue;
      }
      return record;
    }
    record.outcome = "refused";
    return record;
  }

  /** @returns A server, undefined when all candidates refused, "none" when none is left. */
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
    const halfMs = zoneRttMs[member.zone]! / 2;
    await clock.sleep(halfMs);
    const reply = member.ask(ask);
    record.asks++;
    record.controlBytes += AskRequest.encode(ask).finish().length;
    record.controlBytes += AskReply.encode(reply).finish().length;
    await clock.sleep(Math.min(halfMs, ASK_TIMEOUT_MS));
    const { verdict } = reply;
    if (verdict?.$case === "offer") return { member, offer: verdict.value };
    if (verdict) this.#noteRefusal(member, verdict.value, record);
    return undefined;
  }

  async #run(
    ask: AskRequest,
    { member, offer }: ServerOffer<Worker>,
    { record, startMs }: { record: RequestRecord; startMs: number },
  ): Promise<RunResult> {
    const { clock, zoneRttMs } = this.#options;
    const halfMs = zoneRttMs[member.zone]! / 2;
    const { request } = record.plan.prompt;
    this.policy.recordObservation({
      kind: "placed",
      request,
      memberId: member.id,
      offer,
    });
    await clock.sleep(halfMs);
    return await member.run(ask, offer.holdId, {
      onFirstPiece: () => {
        record.ttftMs = clock.nowMs() + halfMs - startMs;
        this.policy.recordObservation({
          kind: "answered",
          memberId: member.id,
        });
      },
    });
  }

  /** @returns False when the request may go elsewhere. */
  #isOver(
    result: RunResult,
    { member }: ServerOffer<Worker>,
    record: RequestRecord,
  ): boolean {
    if (result.kind === "refused") {
      this.#noteRefusal(member, result.refusal, record);
      return false;
    }
    if (result.end.outcome === RunOutcome.DONE) {
      record.outcome = "answered";
      return true;
    }
    this.policy.recordObservation({ kind: "failed", memberId: member.id });
    record.outcome = "failed";
    // Nothing reached the caller, and the engine has dropped it.
    return result.wasStarted;
  }

  #noteRefusal(member: Worker, refusal: Refusal, record: RequestRecord): void {
    const { retryAfterMs } = refusal;
    record.retryAfterMs = Math.max(record.retryAfterMs, retryAfterMs);
    this.policy.recordObservation({
      kind: "refused",
      memberId: member.id,
      retryAfterMs,
    });
  }

  #askOf(plan: RequestPlan, runId: string, startMs: number): AskRequest {
    const { scope, prompt } = plan;
    const passedMs = this.#options.clock.nowMs() - startMs;
    const leftMs = Math.max(1, Math.ceil(plan.class.deadlineMs - passedMs));
    return AskRequest.fromPartial({
      ...scope,
      runId,
      chain: prompt.request.points,
      promptTokens: prompt.request.promptTokens,
      maxTokens: plan.class.outputTokens,
      priority: this.#options.hasPriority
        ? PRIORITIES[plan.class.priority]
        : Priority.NORMAL,
      deadlineMs: this.#options.hasDeadline ? leftMs : 0,
      holdMs: this.#options.holdMs,
      configVersion: 1000n,
    });
  }
}

function newRecord(plan: RequestPlan): RequestRecord {
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
