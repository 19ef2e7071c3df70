/** Routes: they select the backend servers that a request is tried on, and their order. */
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
import type { MissingVersions } from "./missing_versions.ts";

/** Options of all routes. */
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

/** Options of an {@link OfferRoute}. */
export interface OfferRouteOptions extends RouteOptions {
  caller: Caller;
  placement: PlacementRequest;
  versions: MissingVersions;
  /** Counts requests for models that no server offered to run. */
  demand: DemandMeter;
}

/** Maximum number of servers that are asked to run the request with another weights version. */
const MAX_FALLBACK_SERVERS = 8;

/** A server's offer, with the agent process that made it and the run that it was made for. */
type ReceivedOffer = ServerOffer<ServerMember> & {
  agentIncarnation: string;
  runId: string;
};

/**
 * Route of a model request. Asks candidate servers for offers and returns the best offer, then the
 * next best; when none is left, asks further candidates. If no server has the weights version that
 * the branch names, servers with another version are used until one has loaded it.
 */
export class OfferRoute implements Route {
  readonly refusals: Refusal[] = [];
  readonly #options: OfferRouteOptions;
  readonly #excludedIds = new Set<string>();
  readonly #unresponsiveIds = new Set<string>();
  readonly #offerByRun = new Map<string, ReceivedOffer>();
  #offers: ReceivedOffer[] = [];
  /** Servers that refused because the wanted weights version is not loaded there. */
  #notLoaded: ServerMember[] = [];
  #takesAnyVersion: boolean;
  #rounds = 0;
  #attempts = 0;

  private constructor(options: OfferRouteOptions) {
    this.#options = options;
    this.#takesAnyVersion = options.versions.isMissing(options.ask);
  }

  /**
   * @param options The request and the servers that may run it.
   * @returns A route that has asked no server yet.
   */
  static create(options: OfferRouteOptions): OfferRoute {
    return new OfferRoute(options);
  }

  async next(): Promise<Target | undefined> {
    const { caller } = this.#options;
    while (!caller.signal.aborted) {
      if (!await this.#prepareAttempt()) return await this.#askOtherVersion();
      const best = this.#takeBest();
      if (best) return best;
    }
    return undefined;
  }

  recordStarted({ runId, member }: Target): void {
    const offered = this.#offerByRun.get(runId + member.id);
    if (!offered) return;
    this.#options.policy.recordObservation({
      kind: "placed",
      request: this.#options.placement,
      memberId: member.id,
      offer: offered.offer,
    });
  }

  /**
   * Never repeats an attempt: an agent that made an offer had the branch, so an agent that lacks it
   * now is another process.
   */
  retryTarget(): undefined {}

  /** @returns False when the retry budget or the candidates are exhausted. */
  async #prepareAttempt(): Promise<boolean> {
    const { budget, team, tuning } = this.#options;
    if (this.#attempts++ > 0 && !budget.spend(team)) return false;
    if (this.#offers.length > 0) return true;
    return this.#rounds < tuning.maxRounds && await this.#askRound();
  }

  /**
   * Asks servers for any weights version, so that a model stays available while no server has loaded
   * the version that the branch names.
   */
  async #askOtherVersion(): Promise<Target | undefined> {
    const { versions, ask } = this.#options;
    const lacking = this.#notLoaded.slice(0, MAX_FALLBACK_SERVERS);
    if (lacking.length === 0) return undefined;
    if (this.#takesAnyVersion) return this.#recordUnserved();
    if (this.refusals.every(isNotLoaded)) versions.noteMissing(ask);
    this.#takesAnyVersion = true;
    await this.#ask(lacking);
    return this.#takeBest() ?? this.#recordUnserved();
  }

  #recordUnserved(): undefined {
    this.#options.demand.refused(this.#options.ask);
  }

  /** @returns False when no candidate is left to ask. */
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
    for (const outcome of outcomes) this.#recordOutcome(outcome, runId);
  }

  #candidates(): ServerMember[] {
    const { members, policy, pool, placement } = this.#options;
    const request = { ...placement, excludedIds: this.#excludedIds };
    const found = policy.candidates(request, members.pool(pool));
    if (found.length > 0 || this.#unresponsiveIds.size === 0) return found;
    // Servers that did not answer may do so on a new connection.
    for (const id of this.#unresponsiveIds) this.#excludedIds.delete(id);
    this.#unresponsiveIds.clear();
    return policy.candidates(request, members.pool(pool));
  }

  #recordOutcome(outcome: AskOutcome, runId: string): void {
    switch (outcome.kind) {
      case "offer": {
        const { member, offer, agentIncarnation } = outcome;
        const offered = { member, offer, agentIncarnation, runId };
        this.#offers.push(offered);
        this.#offerByRun.set(runId + member.id, offered);
        if (this.#isExact(offered)) {
          this.#options.versions.noteOffered(this.#options.ask);
        }
        return;
      }
      case "refused":
        this.refusals.push(outcome.refusal);
        if (isNotLoaded(outcome.refusal)) this.#notLoaded.push(outcome.member);
        return;
      case "failed":
        this.#unresponsiveIds.add(outcome.member.id);
    }
  }

  #takeBest(): Target | undefined {
    const { policy, placement } = this.#options;
    const exact = this.#offers.filter((offered) => this.#isExact(offered));
    const offers = exact.length > 0 ? exact : this.#offers;
    const best = policy.choose(placement, offers) as ReceivedOffer | undefined;
    if (!best) return undefined;
    this.#offers = this.#offers.filter((offered) => offered !== best);
    const { member, offer, agentIncarnation, runId } = best;
    const { holdId, weightsVersion } = offer;
    return { member, holdId, weightsVersion, agentIncarnation, runId };
  }

  #isExact({ offer }: ReceivedOffer): boolean {
    return offer.weightsVersion === this.#options.ask.weightsVersion;
  }
}

function isNotLoaded({ code }: Refusal): boolean {
  return code === RefusalCode.MODEL_NOT_LOADED;
}

/** Options of a {@link PlainRoute}. */
export interface PlainRouteOptions extends RouteOptions {
  workspace: string;
  service: string;
  /** Empty if the caller sent none; any server may then run the call. */
  idempotencyKey: string;
}

/** Placement of a call without a prompt. */
const NO_PREFIX: PlacementRequest = {
  levels: [],
  points: [],
  promptTokens: 0,
  recomputePriceMs: 0,
};

/**
 * Route of a call to a plain service; servers are not asked for offers. Every entry sends calls with
 * the same idempotency key to the same server, the owner of the key's shard.
 */
export class PlainRoute implements Route {
  readonly refusals: Refusal[] = [];
  readonly #options: PlainRouteOptions;
  readonly #excludedIds = new Set<string>();
  #attempts = 0;
  #wasRetried = false;

  private constructor(options: PlainRouteOptions) {
    this.#options = options;
  }

  /**
   * @param options The call and the servers that may run it.
   * @returns A route that has tried no server yet.
   */
  static create(options: PlainRouteOptions): PlainRoute {
    return new PlainRoute(options);
  }

  async next(): Promise<Target | undefined> {
    const { budget, team, members } = this.#options;
    for (;;) {
      if (this.#attempts > 0 && !budget.spend(team)) return undefined;
      const member = this.#redirectTarget() ?? this.#chooseServer();
      if (!member) return undefined;
      this.#excludedIds.add(member.id);
      const runId = `${this.#options.requestId}.${++this.#attempts}`;
      const agentIncarnation = members.incarnationOf(member.id) ||
        await this.#fetchIncarnation(member, runId);
      if (agentIncarnation === undefined) continue;
      return { member, holdId: "", agentIncarnation, runId };
    }
  }

  recordStarted(): void {}

  retryTarget(target: Target): Target | undefined {
    if (this.#wasRetried) return undefined;
    this.#wasRetried = true;
    return {
      ...target,
      runId: `${this.#options.requestId}.${++this.#attempts}`,
    };
  }

  /**
   * Asks an agent that has not answered this entry before for its incarnation. Without it, the entry
   * could not rely on the agent's later answers about a lost call: they may come from a new process.
   */
  async #fetchIncarnation(
    member: ServerMember,
    runId: string,
  ): Promise<string | undefined> {
    const { asker, ask } = this.#options;
    const outcome = await asker.askOne(member, { ...ask, runId });
    if (outcome.kind === "offer") return outcome.agentIncarnation;
    if (outcome.kind === "refused") this.refusals.push(outcome.refusal);
    return undefined;
  }

  /** @returns The server that the last refusal named, unless it was tried already. */
  #redirectTarget(): ServerMember | undefined {
    const { members, pool } = this.#options;
    const address = this.refusals.at(-1)?.tryAddress;
    if (!address) return undefined;
    return members.pool(pool).members.find((member) =>
      member.address === address && !this.#excludedIds.has(member.id)
    );
  }

  /** @returns The next server: by policy, or by the shard of the idempotency key if there is one. */
  #chooseServer(): ServerMember | undefined {
    const { members, policy, pool, idempotencyKey } = this.#options;
    const table = members.pool(pool);
    if (idempotencyKey === "") {
      const request = { ...NO_PREFIX, excludedIds: this.#excludedIds };
      return policy.candidates(request, table)[0];
    }
    const count = this.#excludedIds.size + 1;
    const rows = topRows(table.idHashes, this.#shardHash(), { count });
    return rows.map((row) => table.members[row]!)
      .find(({ id }) => !this.#excludedIds.has(id));
  }

  /** @returns Hash of the idempotency key's shard, by which rendezvous hashing finds its owner. */
  #shardHash(): bigint {
    const { team, workspace, service, idempotencyKey } = this.#options;
    const scope = { team, workspace, service, idempotencyKey };
    const shard = shardOf(digestKey(scope));
    const name = JSON.stringify([team, service, shard]);
    return createHash("sha256").update(name).digest().readBigUInt64LE(0);
  }
}
