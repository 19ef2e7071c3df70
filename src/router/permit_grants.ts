/** Grants permits for the rate-limited servers that this entry is responsible for. */
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { EntryMembers } from "./entry_members.ts";
import { CallerKind, PermitBucket } from "./permit_bucket.ts";
import { type PermitRequest, PermitRequestKind } from "./permit_message.ts";
import { type RateStatement, StatedRate } from "./rate_statement.ts";

/** Requests for permits that all entries together should send per second, for one server. */
const BASE_REQUESTS_PER_S = 20;
/** Additional requests per second and permit per second, so that few permits wait for a taker. */
const REQUESTS_PER_PERMIT = 2;
/** An entry counts as an asker for this multiple of the longest pause, and at least this long. */
const ASKER_TTL_PAUSES = 1.5;
const MIN_ASKER_TTL_MS = 1000;
/** Shortest pause. */
const MIN_PAUSE_MS = 20;
/** Permits of a server that nobody asked about for this long are dropped. */
const IDLE_TTL_MS = 60_000;
/** Decisions that are kept in case a request is repeated because its reply was lost. */
const MAX_KEPT_DECISIONS = 1000;

/** Decision on a request for a permit. */
export type PermitVerdict =
  | { kind: "granted" }
  /**
   * `waitMs`: until a permit is free; `pauseMs`: how long the asker should not ask again, but for the
   * `holders` of reservations.
   */
  | { kind: "denied"; waitMs: number; pauseMs: number; holders: string[] }
  /** The server takes any number of requests; it said so this long ago. */
  | { kind: "unlimited"; ageMs: number };

/** A request for a permit, as far as it matters for the decision. */
export type PermitTask = Pick<
  PermitRequest,
  "kind" | "caller" | "maxWaitMs" | "sequence"
>;

/** A request for a permit, and what this entry knows of the server's rate. */
export interface GrantTask {
  /** Address of the entry that asks. */
  address: string;
  request: PermitTask;
  rate: RateStatement;
}

/** Dependencies of {@link PermitGrants}. */
export interface PermitGrantsOptions {
  clock: Clock;
  random: () => number;
  members: Pick<EntryMembers, "heardShare">;
}

interface Grant {
  bucket: PermitBucket;
  /** Rate that the server takes; this entry's part of it is smaller while it doesn't hear all. */
  perSecond: number;
  /** When each entry last asked, in the order of these times. */
  askedAtMs: Map<string, number>;
  granted: number;
  denied: number;
}

/** Permits by incarnation key of the server. */
export class PermitGrants {
  readonly #options: PermitGrantsOptions;
  readonly #grants = new Map<string, Grant>();
  /** Rates of servers that this entry doesn't know yet, as other entries told. */
  readonly #unknownRates = new Map<string, StatedRate>();
  /** Decisions by address and sequence of the request. */
  readonly #decisions = LRUMap.create<string, PermitVerdict>(
    MAX_KEPT_DECISIONS,
  );

  private constructor(options: PermitGrantsOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock and entries.
   * @returns An object that has granted nothing yet.
   */
  static create(options: PermitGrantsOptions): PermitGrants {
    return new PermitGrants(options);
  }

  /**
   * @param key Incarnation key of a server that this entry doesn't know.
   * @param reported What another entry knows of its rate.
   * @returns The newest statement.
   */
  rateOfUnknown(key: string, reported: RateStatement): RateStatement {
    const rate = this.#unknownRates.get(key) ?? StatedRate.create();
    rate.merge(reported);
    this.#unknownRates.set(key, rate);
    return rate.statement ?? reported;
  }

  /**
   * Decides on a request for a permit. A repeated request gets the same decision.
   *
   * @param key Incarnation key of the server.
   * @param task The request, and the server's rate.
   * @returns The decision; a granted permit is used up.
   */
  decide(key: string, task: GrantTask): PermitVerdict {
    const requestKey = `${task.address} ${task.request.sequence}`;
    const kept = this.#decisions.get(requestKey);
    if (kept) return kept;
    const verdict = this.#decideNew(key, task);
    this.#decisions.set(requestKey, verdict);
    return verdict;
  }

  #decideNew(
    key: string,
    { address, request, rate }: GrantTask,
  ): PermitVerdict {
    const nowMs = this.#options.clock.nowMs();
    const { perSecond, atMs } = rate;
    if (perSecond === undefined) {
      this.#grants.delete(key);
      return { kind: "unlimited", ageMs: Math.max(0, nowMs - atMs) };
    }
    const grant = this.#grantOf(key, perSecond, nowMs);
    this.#recordAsker(grant, address, nowMs);
    const { kind, caller, maxWaitMs } = request;
    switch (kind) {
      case PermitRequestKind.reservation: {
        const { holder } = caller;
        return this.#denied(grant, {
          waitMs: grant.bucket.reserve(holder, maxWaitMs, nowMs),
          nowMs,
        });
      }
      case PermitRequestKind.permit: {
        const verdict = grant.bucket.take(caller, nowMs);
        if (verdict.kind === "denied") {
          grant.denied++;
          const { kind, holder } = caller;
          // The entry keeps asking for a stream that has begun, which must not wait behind all others.
          if (
            kind === CallerKind.stream && !grant.bucket.hasReservation(holder)
          ) grant.bucket.reserve(holder, Infinity, nowMs);
          return this.#denied(grant, { waitMs: verdict.waitMs, nowMs });
        }
        grant.granted++;
        return verdict;
      }
    }
  }

  /** @param key Incarnation key of a server whose permit was not used. */
  giveBack(key: string): void {
    this.#grants.get(key)?.bucket.giveBack(this.#options.clock.nowMs());
  }

  /** @returns Permits granted and denied by server, for state dumps. */
  state(): unknown {
    return Object.fromEntries(
      [...this.#grants].map(([key, grant]) => {
        const { perSecond, granted, denied, askedAtMs } = grant;
        return [key, { perSecond, granted, denied, askers: askedAtMs.size }];
      }),
    );
  }

  #grantOf(key: string, perSecond: number, nowMs: number): Grant {
    const part = perSecond * this.#options.members.heardShare(nowMs);
    let grant = this.#grants.get(key);
    if (!grant) {
      this.#dropIdle(nowMs);
      grant = {
        bucket: PermitBucket.create(part, nowMs),
        perSecond,
        askedAtMs: new Map(),
        granted: 0,
        denied: 0,
      };
      this.#grants.set(key, grant);
    }
    grant.perSecond = perSecond;
    grant.bucket.setRate(part, nowMs);
    return grant;
  }

  /** Tells entries to ask at different times, later the more of them ask. */
  #denied(
    { bucket, perSecond, askedAtMs }: Grant,
    { waitMs, nowMs }: { waitMs: number; nowMs: number },
  ): PermitVerdict {
    const longestMs = pauseSpreadMs(askedAtMs.size, perSecond);
    const spreadMs = longestMs * this.#options.random();
    const pauseMs = Math.max(MIN_PAUSE_MS, spreadMs);
    const holders = bucket.holdersUntil(nowMs + pauseMs);
    return { kind: "denied", waitMs, pauseMs, holders };
  }

  #recordAsker(
    { askedAtMs, perSecond }: Grant,
    address: string,
    nowMs: number,
  ): void {
    // Moves the entry to the end, so that the first ones are those that asked longest ago.
    askedAtMs.delete(address);
    askedAtMs.set(address, nowMs);
    for (const [other, atMs] of askedAtMs) {
      const pauseMs = pauseSpreadMs(askedAtMs.size, perSecond);
      const ttlMs = Math.max(MIN_ASKER_TTL_MS, ASKER_TTL_PAUSES * pauseMs);
      if (nowMs - atMs <= ttlMs) break;
      askedAtMs.delete(other);
    }
  }

  #dropIdle(nowMs: number): void {
    for (const [key, { askedAtMs }] of this.#grants) {
      const lastMs = [...askedAtMs.values()].at(-1) ?? -Infinity;
      if (nowMs - lastMs <= IDLE_TTL_MS) continue;
      this.#grants.delete(key);
      this.#unknownRates.delete(key);
    }
  }
}

/** Longest pause by which this many entries together keep to the wanted rate of requests. */
function pauseSpreadMs(askerCount: number, perSecond: number): number {
  const requestsPerS = BASE_REQUESTS_PER_S + REQUESTS_PER_PERMIT * perSecond;
  return askerCount / requestsPerS * 1000;
}
