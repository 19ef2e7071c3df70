/** Which servers a request is tried at, in what order. */
import { createHash } from "node:crypto";
import type { Clock } from "../base/mod.ts";
import { digestKey, shardOf } from "../journal/mod.ts";
import type {
  PlacementRequest,
  Policy,
  ServerOffer,
} from "../placement/mod.ts";
import { topRows } from "../placement/rendezvous.ts";
import {
  type AskRequest,
  type Refusal,
  RefusalCode,
} from "../wire/gen/cicadahitch.ts";
import type { Asker, AskOutcome } from "./ask.ts";
import type { DemandMeter } from "../planner/mod.ts";
import type { Caller } from "./caller.ts";
import type { Members, ServerMember } from "./members.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { Route, Target } from "./run_request.ts";
import type { EntryTuning } from "./tuning.ts";
import type { VersionMemory } from "./version_memory.ts";

/** What all routes need. */
export interface RouteOptions {
  asker: Asker;
  ask: AskRequest;
  members: Members;
  policy: Policy;
  budget: RetryBudget;
  clock: Clock;
  tuning: EntryTuning;
  pool: string;
  requestId: string;
  team: string;
}

/** What a model request's route needs besides. */
export interface OfferRouteOptions extends RouteOptions {
  caller: Caller;
  placement: PlacementRequest;
  versions: VersionMemory;
  /** Told of requests for a model that nobody has. */
  demand: DemandMeter;
}

/** Servers that are asked for other weights. */
const MAX_FALLBACK = 8;

type Offered = ServerOffer<ServerMember> & {
  agentIncarnation: string;
  runId: string;
};

/**
 * Asks candidates for offers and takes the best; then the next best; then asks others. Where none has
 * the weights version that the branch names, another version serves until one has loaded it.
 */
export class OfferRoute implements Route {
  readonly refusals: Refusal[] = [];
  readonly #options: OfferRouteOptions;
  readonly #excludedIds = new Set<string>();
  readonly #silentIds = new Set<string>();
  readonly #offerOf = new Map<string, Offered>();
  #offers: Offered[] = [];
  /** Servers that have the model in other versions, or not at all. */
  #lacking: ServerMember[] = [];
  #takesAnyVersion: boolean;
  #rounds = 0;
  #tries = 0;

  private constructor(options: OfferRouteOptions) {
    this.#options = options;
    this.#takesAnyVersion = options.versions.isMissing(options.ask);
  }

  /**
   * @param options The request and who may take it.
   * @returns A route that has asked nobody.
   */
  static create(options: OfferRouteOptions): OfferRoute {
    return new OfferRoute(options);
  }

  async next(): Promise<Target | undefined> {
    const { caller } = this.#options;
    while (!caller.signal.aborted) {
      if (!await this.#prepareTry()) return await this.#fallBack();
      const best = this.#takeBest();
      if (best) return best;
    }
    return undefined;
  }

  placed({ runId, member }: Target): void {
    const offered = this.#offerOf.get(runId + member.id);
    if (!offered) return;
    this.#options.policy.learn({
      kind: "placed",
      request: this.#options.placement,
      memberId: member.id,
      offer: offered.offer,
    });
  }

  /** An agent that made an offer had the branch; if it lacks it now, it is another process. */
  again(): undefined {}

  /** @returns False when no more may be tried. */
  async #prepareTry(): Promise<boolean> {
    const { budget, team, tuning } = this.#options;
    if (this.#tries++ > 0 && !budget.spend(team)) return false;
    if (this.#offers.length > 0) return true;
    return this.#rounds < tuning.maxRounds && await this.#askRound();
  }

  /** A version that no server has yet must not cut its model off: another one serves. */
  async #fallBack(): Promise<Target | undefined> {
    const { versions, ask } = this.#options;
    const lacking = this.#lacking.slice(0, MAX_FALLBACK);
    if (lacking.length === 0) return undefined;
    if (this.#takesAnyVersion) return this.#noteUnserved();
    if (this.refusals.every(isNotLoaded)) versions.noteMissing(ask);
    this.#takesAnyVersion = true;
    await this.#ask(lacking);
    return this.#takeBest() ?? this.#noteUnserved();
  }

  #noteUnserved(): undefined {
    this.#options.demand.refused(this.#options.ask);
  }

  /** @returns False when nobody is left to ask. */
  async #askRound(): Promise<boolean> {
    const candidates = this.#candidates();
    if (candidates.length === 0) return false;
    for (const { id } of candidates) this.#excludedIds.add(id);
    await this.#ask(candidates);
    return true;
  }

  async #ask(candidates: ServerMember[]): Promise<void> {
    const { asker, ask, caller, requestId, tuning } = this.#options;
    const runId = `${requestId}.${++this.#rounds}`;
    const weightsVersion = this.#takesAnyVersion ? "" : ask.weightsVersion;
    const { holdMs } = tuning;
    const deadlineMs = Math.ceil(caller.leftMs);
    const outcomes = await asker.askAll(
      candidates,
      { ...ask, runId, deadlineMs, holdMs, weightsVersion },
    );
    for (const outcome of outcomes) this.#note(outcome, runId);
  }

  #candidates(): ServerMember[] {
    const { members, policy, pool, placement } = this.#options;
    const request = { ...placement, excludedIds: this.#excludedIds };
    const found = policy.candidates(request, members.pool(pool));
    if (found.length > 0 || this.#silentIds.size === 0) return found;
    // Silent ones may answer on a fresh connection.
    for (const id of this.#silentIds) this.#excludedIds.delete(id);
    this.#silentIds.clear();
    return policy.candidates(request, members.pool(pool));
  }

  #note(outcome: AskOutcome, runId: string): void {
    switch (outcome.kind) {
      case "offer": {
        const { member, offer, agentIncarnation } = outcome;
        const offered = { member, offer, agentIncarnation, runId };
        this.#offers.push(offered);
        this.#offerOf.set(runId + member.id, offered);
        if (this.#isExact(offered)) {
          this.#options.versions.noteOffered(this.#options.ask);
        }
        return;
      }
      case "refused":
        this.refusals.push(outcome.refusal);
        if (isNotLoaded(outcome.refusal)) this.#lacking.push(outcome.member);
        return;
      case "failed":
        this.#silentIds.add(outcome.member.id);
    }
  }

  #takeBest(): Target | undefined {
    const { policy, placement } = this.#options;
    const exact = this.#offers.filter((offered) => this.#isExact(offered));
    const offers = exact.length > 0 ? exact : this.#offers;
    const best = policy.choose(placement, offers) as Offered | undefined;
    if (!best) return undefined;
    this.#offers = this.#offers.filter((offered) => offered !== best);
    const { member, offer, agentIncarnation, runId } = best;
    const { holdId, weightsVersion } = offer;
    return { member, holdId, weightsVersion, agentIncarnation, runId };
  }

  #isExact({ offer }: Offered): boolean {
    return offer.weightsVersion === this.#options.ask.weightsVersion;
  }
}

function isNotLoaded({ code }: Refusal): boolean {
  return code === RefusalCode.MODEL_NOT_LOADED;
}

/** What a plain call's route needs besides. */
export interface PlainRouteOptions extends RouteOptions {
  workspace: string;
  service: string;
  /** Empty: any server will do. */
  idempotencyKey: string;
}

const NO_PREFIX: PlacementRequest = {
  levels: [],
  points: [],
  promptTokens: 0,
  recomputePriceMs: 0,
};

/**
 * Servers of a plain service, without asking. Calls with the same key go to the owner of the key's
 * shard, whichever entry they come to.
 */
export class PlainRoute implements Route {
  readonly refusals: Refusal[] = [];
  readonly #options: PlainRouteOptions;
  readonly #excludedIds = new Set<string>();
  #tries = 0;
  #isRepeated = false;

  private constructor(options: PlainRouteOptions) {
    this.#options = options;
  }

  /**
   * @param options The call and who may take it.
   * @returns A route that has tried nobody.
   */
  static create(options: PlainRouteOptions): PlainRoute {
    return new PlainRoute(options);
  }

  async next(): Promise<Target | undefined> {
    const { budget, team, members } = this.#options;
    for (;;) {
      if (this.#tries > 0 && !budget.spend(team)) return undefined;
      const member = this.#named() ?? this.#choose();
      if (!member) return undefined;
      this.#excludedIds.add(member.id);
      const runId = `${this.#options.requestId}.${++this.#tries}`;
      const agentIncarnation = members.incarnationOf(member.id) ||
        await this.#introduce(member, runId);
      if (agentIncarnation === undefined) continue;
      return { member, holdId: "", agentIncarnation, runId };
    }
  }

  placed(): void {}

  again(target: Target): Target | undefined {
    if (this.#isRepeated) return undefined;
    this.#isRepeated = true;
    return { ...target, runId: `${this.#options.requestId}.${++this.#tries}` };
  }

  /**
   * Asks an agent that this entry hasn't heard of. Without its incarnation, nothing that it says of a
   * lost call could be relied on.
   */
  async #introduce(
    member: ServerMember,
    runId: string,
  ): Promise<string | undefined> {
    const { asker, ask } = this.#options;
    const outcome = await asker.askOne(member, { ...ask, runId });
    if (outcome.kind === "offer") return outcome.agentIncarnation;
    if (outcome.kind === "refused") this.refusals.push(outcome.refusal);
    return undefined;
  }

  /** The server that the last refusal named. */
  #named(): ServerMember | undefined {
    const { members, pool } = this.#options;
    const address = this.refusals.at(-1)?.tryAddress;
    if (!address) return undefined;
    return members.pool(pool).members.find((member) =>
      member.address === address && !this.#excludedIds.has(member.id)
    );
  }

  #choose(): ServerMember | undefined {
    const { members, policy, pool, idempotencyKey } = this.#options;
    const table = members.pool(pool);
    if (idempotencyKey === "") {
      const request = { ...NO_PREFIX, excludedIds: this.#excludedIds };
      return policy.candidates(request, table)[0];
    }
    const count = this.#excludedIds.size + 1;
    const rows = topRows(table.idHashes, this.#ownerKey(), { count });
    return rows.map((row) => table.members[row]!)
      .find(({ id }) => !this.#excludedIds.has(id));
  }

  #ownerKey(): bigint {
    const { team, workspace, service, idempotencyKey } = this.#options;
    const scope = { team, workspace, service, idempotencyKey };
    const shard = shardOf(digestKey(scope));
    const name = JSON.stringify([team, service, shard]);
    return createHash("sha256").update(name).digest().readBigUInt64LE(0);
  }
}
