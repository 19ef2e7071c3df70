/**
 * A lease in the key-value service with a fencing number.
 *
 * The fencing number is the store revision at which the lease's key came to exist. The store's
 * revision rises with every commit to any key and outlives deletion and outages, so a later holder
 * always has a higher number. The holder judges its own validity by time since before its last
 * successful renewal was sent, which is never later than the store's own count.
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  type LastHolder,
  type LastHolderOptions,
  nextHolder,
  readJson,
  readLastHolder,
} from "./last_holder.ts";
import type {
  Expectation,
  KeyValueEntry,
  KeyValueStore,
  StoreFailure,
  StoreLease,
  Write,
} from "../store/store.ts";

/** Part of the lease's time that the holder leaves unused, for clocks that run at other rates. */
const CLOCK_RATE_MARGIN = 0.1;
/** Renewals are sent this often within the lease's time. */
const RENEWALS_PER_TTL = 3;
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2000;
const JITTER = 0.2;

/** Settings of a {@link FencedLease}. */
export interface FencedLeaseOptions {
  /** Key of the lease in the store. */
  key: string;
  /** Id of the process that wants it. */
  holderId: string;
  ttlMs: number;
  clock: Clock;
  /** 0 to 1; tests give a seeded one. */
  random?: () => number;
  /** Left out where it doesn't matter who held the lease before. */
  lastHolder?: LastHolderOptions;
}

/** Why a lease was not acquired. */
export type AcquireFailure =
  | { kind: "held"; holderId: string; fencingNumber: bigint }
  /** Another holder came after the last one that is known. */
  | { kind: "outdated" }
  | { kind: "store"; failure: StoreFailure };

/** A lease as its holder sees it. */
export interface LeaseState {
  key: string;
  holderId: string;
  fencingNumber: bigint;
  validForMs: number;
  lost: boolean;
  /** Calls made to the store for this lease, by kind. */
  calls: LeaseCalls;
}

/** Calls to the store. */
export interface LeaseCalls {
  acquire: number;
  renew: number;
  release: number;
}

interface Instant {
  nowMs: number;
  wallMs: number;
}

/** What is known about the write that takes the key. */
type Claim =
  | { kind: "taken"; fencingNumber: bigint }
  | { kind: "refused"; failure: AcquireFailure };

/** A lease that was acquired. */
export class FencedLease {
  readonly fencingNumber: bigint;
  readonly #store: KeyValueStore;
  readonly #options: FencedLeaseOptions;
  readonly #leaseId: bigint;
  readonly #calls: LeaseCalls;
  #validFrom: Instant;
  #validMs: number;
  #lost = false;

  private constructor(
    store: KeyValueStore,
    options: FencedLeaseOptions,
    held: {
      fencingNumber: bigint;
      granted: StoreLease;
      sentAt: Instant;
      calls: number;
    },
  ) {
    this.#store = store;
    this.#options = options;
    this.fencingNumber = held.fencingNumber;
    this.#leaseId = held.granted.leaseId;
    this.#validFrom = held.sentAt;
    this.#validMs = usableMs(held.granted.ttlMs);
    this.#calls = { acquire: held.calls, renew: 0, release: 0 };
  }

  /**
   * Tries once to take the lease: a read, and if the key is free a grant and a commit.
   *
   * @param store Where the lease lives.
   * @param options Key, holder and time.
   * @returns The lease, or who holds it, or why the store gave none.
   */
  static async acquire(
    store: KeyValueStore,
    options: FencedLeaseOptions,
  ): Promise<Result<FencedLease, AcquireFailure>> {
    const found = await store.get(options.key);
    if (found.isErr) return storeFailure(found.error);
    if (found.value) return Result.err(heldBy(found.value));
    const sentAt = instant(options.clock);
    const granted = await store.grantLease(options.ttlMs);
    if (granted.isErr) return storeFailure(granted.error);
    const claim = await takeKey(store, options, granted.value.leaseId);
    if (claim.kind === "refused") {
      // Without its lease a commit that is still on its way can't take effect.
      await store.revokeLease(granted.value.leaseId);
      return Result.err(claim.failure);
    }
    const { fencingNumber } = claim;
    const held = { fencingNumber, granted: granted.value, sentAt, calls: 3 };
    return Result.ok(new FencedLease(store, options, held));
  }

  /** Who held the lease before, where that was asked and is known. */
  get previous(): LastHolder | undefined {
    const known = this.#options.lastHolder?.known;
    return known && readLastHolder(known.value);
  }

  /** True once the store said that the lease is gone, or it was released. */
  get lost(): boolean {
    return this.#lost;
  }

  /**
   * To be asked right before each order.
   *
   * @param ms How long the order takes at most.
   * @returns Whether the lease is certain to be held that long.
   */
  isHeldFor(ms: number): boolean {
    return !this.#lost && this.#validForMs() >= ms;
  }

  /**
   * Renews once.
   *
   * @returns Whether it is held; the failure, when the store did not answer.
   */
  async renew(): Promise<Result<boolean, StoreFailure>> {
    const sentAt = instant(this.#options.clock);
    this.#calls.renew++;
    const renewed = await this.#store.renewLease(this.#leaseId);
    if (renewed.isErr) return Result.err(renewed.error);
    if (renewed.value.ttlMs <= 0) this.#lost = true;
    if (this.#lost) return Result.ok(false);
    this.#validFrom = sentAt;
    this.#validMs = usableMs(renewed.value.ttlMs);
    return Result.ok(true);
  }

  /**
   * Renews until the lease is lost, has lapsed, or the signal is aborted.
   *
   * @param signal Ends the renewals; the lease is kept.
   */
  async keepRenewed(signal: AbortSignal): Promise<void> {
    const intervalMs = this.#options.ttlMs / RENEWALS_PER_TTL;
    let waitMs = this.#jitter(intervalMs);
    let retryMs = RETRY_MIN_MS;
    while (!signal.aborted && !this.#lost) {
      await this.#options.clock.sleep(waitMs, signal);
      if (signal.aborted) return;
      const renewed = await this.renew();
      if (renewed.isOk) {
        retryMs = RETRY_MIN_MS;
        waitMs = this.#jitter(intervalMs);
        continue;
      }
      if (this.#validForMs() <= 0) return;
      waitMs = this.#jitter(retryMs);
      retryMs = Math.min(retryMs * 2, RETRY_MAX_MS);
    }
  }

  /**
   * Gives the lease up; from this call on it does not count as held.
   *
   * @returns Whether the store knows; if not, the lease lapses there by itself.
   */
  release(): Promise<Result<void, StoreFailure>> {
    this.#lost = true;
    this.#calls.release++;
    return this.#store.revokeLease(this.#leaseId);
  }

  /** @returns The state, for dumps. */
  state(): LeaseState {
    const { key, holderId } = this.#options;
    return {
      key,
      holderId,
      fencingNumber: this.fencingNumber,
      validForMs: Math.max(0, this.#validForMs()),
      lost: this.#lost,
      calls: { ...this.#calls },
    };
  }

  /** The larger of both clocks' counts: the monotonic one stands still while a machine sleeps. */
  #validForMs(): number {
    const { nowMs, wallMs } = instant(this.#options.clock);
    const elapsedMs = Math.max(
      nowMs - this.#validFrom.nowMs,
      wallMs - this.#validFrom.wallMs,
    );
    return this.#validMs - elapsedMs;
  }

  #jitter(ms: number): number {
    const random = this.#options.random ?? Math.random;
    return ms * (1 - JITTER * random());
  }
}

async function takeKey(
  store: KeyValueStore,
  options: FencedLeaseOptions,
  leaseId: bigint,
): Promise<Claim> {
  const { key, holderId, lastHolder, clock } = options;
  const text = JSON.stringify({ holderId, claimId: randomUUID() });
  const value = new TextEncoder().encode(text);
  const expect: Expectation[] = [{ key, modRevision: 0n }];
  const writes: Write[] = [{ kind: "put", key, value, leaseId }];
  if (lastHolder) {
    const modRevision = lastHolder.known?.modRevision ?? 0n;
    expect.push({ key: lastHolder.key, modRevision });
    const last = nextHolder(lastHolder.known, { holderId, clock });
    writes.push({ kind: "put", key: lastHolder.key, value: last });
  }
  const outcome = await store.commit(expect, writes);
  if (outcome.isErr) {
    if (outcome.error.kind !== "effect_unknown") {
      return refusedBy(outcome.error);
    }
    return readBack(store, { key, text, lost: outcome.error });
  }
  if (outcome.value.kind === "committed") {
    return { kind: "taken", fencingNumber: outcome.value.revision };
  }
  const current = outcome.value.current.find((entry) => entry.key === key);
  if (current) return { kind: "refused", failure: heldBy(current) };
  if (lastHolder) return { kind: "refused", failure: { kind: "outdated" } };
  return refusedBy({ kind: "unavailable", message: "Conflict without a key" });
}

interface LostClaim {
  key: string;
  text: string;
  lost: StoreFailure;
}

/** Settles a commit whose answer was lost: the value's claim id says whose it is. */
async function readBack(
  store: KeyValueStore,
  claim: LostClaim,
): Promise<Claim> {
  const found = await store.get(claim.key);
  if (found.isErr) return refusedBy(found.error);
  if (!found.value) return refusedBy(claim.lost);
  if (new TextDecoder().decode(found.value.value) === claim.text) {
    return { kind: "taken", fencingNumber: found.value.createRevision };
  }
  return { kind: "refused", failure: heldBy(found.value) };
}

function heldBy(entry: KeyValueEntry): AcquireFailure {
  return {
    kind: "held",
    holderId: readHolderId(entry.value),
    fencingNumber: entry.createRevision,
  };
}

function readHolderId(value: Uint8Array): string {
  const holderId = readJson(value)["holderId"];
  return typeof holderId === "string" ? holderId : "";
}

function refusedBy(failure: StoreFailure): Claim {
  return { kind: "refused", failure: { kind: "store", failure } };
}

function storeFailure(
  failure: StoreFailure,
): Result<FencedLease, AcquireFailure> {
  return Result.err({ kind: "store", failure });
}

function instant(clock: Clock): Instant {
  return { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
}

function usableMs(ttlMs: number): number {
  return ttlMs * (1 - CLOCK_RATE_MARGIN);
}
