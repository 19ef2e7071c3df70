/** Enforces the teams' limits at this entry and exchanges limit shares with the other entries. */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import type { BranchSet, ConfigSync } from "../config/mod.ts";
import {
  type Limits,
  ShareExchange,
  type ShareFailure,
  ShareLedger,
  TeamLimiter,
} from "../limits/mod.ts";
import type {
  TeamDemand,
  TeamShare,
  VersionDigest,
} from "../wire/gen/cicadahitch.ts";
import { callUnary, type ChannelPool } from "../wire/mod.ts";
import type { Members } from "./members.ts";

/** Dependencies of {@link TeamShares}. */
export interface TeamSharesOptions {
  instanceId: string;
  branches: BranchSet;
  members: Members;
  channels: ChannelPool;
  clock: Clock;
  random: () => number;
  /** Returns the configuration sync, which is created after this object. */
  sync: () => ConfigSync;
}

const EXCHANGE_TIMEOUT_MS = 1000;

/** The limits of all teams at this entry. */
export class TeamShares {
  readonly limiter: TeamLimiter;
  readonly ledger: ShareLedger;
  readonly #exchange: ShareExchange;
  readonly #options: TeamSharesOptions;

  private constructor(options: TeamSharesOptions) {
    const { clock, members, branches, random } = options;
    const limitsOf = (team: string): Limits | undefined =>
      branches.get(team)?.branch?.limits;
    const entryCount = () => this.#entryIds().length;
    this.#options = options;
    this.limiter = TeamLimiter.create({ clock, random, limitsOf, entryCount });
    this.ledger = ShareLedger.create({
      clock,
      limitsOf,
      entryCount,
      entriesChangedMs: () => members.entriesChangedMs,
    });
    this.#exchange = ShareExchange.create(this.limiter, {
      listEntries: () => this.#entryIds(),
      exchange: (entryId, demands) => this.#send(entryId, demands),
    }, { clock });
  }

  /**
   * @param options Dependencies.
   * @returns Limits without any usage.
   */
  static create(options: TeamSharesOptions): TeamShares {
    return new TeamShares(options);
  }

  /** @param signal Stops the exchange of shares. */
  run(signal: AbortSignal): Promise<void> {
    return this.#exchange.run(signal);
  }

  /**
   * @param asked The digest that another entry sent.
   * @param answer The answer to that digest.
   * @returns The answer with a share for each team whose demand the other entry reported.
   */
  addShares(asked: VersionDigest, answer: VersionDigest): VersionDigest {
    if (!asked.limits) return answer;
    const { demands } = asked.limits;
    const shares = this.ledger.answer(asked.processId, demands);
    return { ...answer, limits: { demands: [], shares } };
  }

  #entryIds(): string[] {
    const { members, instanceId } = this.#options;
    const ids = members.entryIds;
    return ids.includes(instanceId) ? ids : [...ids, instanceId];
  }

  async #send(
    entryId: string,
    demands: TeamDemand[],
  ): Promise<Result<TeamShare[], ShareFailure>> {
    const { members, channels, sync, instanceId } = this.#options;
    const digest = sync().digest();
    if (entryId === instanceId) {
      return Result.ok(this.ledger.answer(digest.processId, demands));
    }
    const address = members.addressOf(entryId);
    if (address === undefined) {
      return Result.err({ kind: "unreachable", message: "The entry is gone" });
    }
    const lease = channels.acquire(address);
    const answer = await callUnary<VersionDigest, VersionDigest>(
      lease.peer.exchange.bind(lease.peer),
      { ...digest, limits: { demands, shares: [] } },
      { timeoutMs: EXCHANGE_TIMEOUT_MS },
    );
    lease.release();
    return answer
      .map(({ limits }) => limits?.shares ?? [])
      .mapErr(({ message }) => ({ kind: "unreachable", message }));
  }
}
