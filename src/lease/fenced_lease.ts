/**
 * A lease in the key-value service with a fencing number.
 *
 * The fencing number is the store revision at which the lease's key was created. The store's
 * revision rises with every commit to any key and survives deletions and outages, so a later holder
 * always has a higher number. The holder counts its lease time from just before it sent its last
 * successful renewal, so its lease never expires later than the store's.
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  encodeNextHolder,
  type LastHolder,
  type LastHolderOptions,
  readJson,
  readLastHolder,
} from "./last_holder.ts";
import { fencingNumberOf, type StorePosition } from "../store/position.ts";
import type {
  Expectation,
  KeyValueEntry,
  KeyValueStore,
  StoreFailure,
  StoreLease,
  Write,
} from "../store/store.ts";

/** Fraction of the TTL that the holder leaves unused, to allow for clocks with different rates. */
const CLOCK_DRIFT_MARGIN = 0.1;
/** Renewals sent per TTL. */
const RENEWALS_PER_TTL = 3;
/** Initial and maximum backoff after a failed renewal. */
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 2000;
/** Largest fraction by which a wait is shortened at random. */
const MAX_JITTER = 0.2;

/** Settings of a {@link FencedLease}. */
export interface FencedLeaseOptions {
  /** Key of the lease in the store. */
  key: string;
  /** Id of the process that acquires the lease. */
  holderId: string;
  ttlMs: number;
  clock: Clock;
  /** Returns a number from 0 to 1; tests pass a seeded generator. */
  random?: () => number;
  /** Record of the last holder; omitted where the previous holder doesn't matter. */
  lastHolder?: LastHolderOptions;
}

/** Why a lease was not acquired. */
export type AcquireFailure =
  | { kind: "held"; holderId: string; fencingNumber: bigint }
  /**
   * The caller's copy of the last holder's record is outdated: another process has held the lease.
   */
  | { kind: "outdated" }
  | { kind: "store"; failure: StoreFailure };

/** State of a lease as seen by its holder. */
export interface LeaseState {
  key: string;
  holderId: string;
  fencingNumber: bigint;
  validForMs: number;
  lost: boolean;
  /** Calls made to the store for this lease, by kind. */
  calls: LeaseCalls;
}

/** Numbers of calls to the store. */
export interface LeaseCalls {
  acquire: number;
  renew: number;
  release: number;
}

/** One reading of the monotonic clock and the wall clock. */
interface ClockReading {
  nowMs: number;
  wallMs: number;
}

/** Outcome of the write that claims the lease's key. */
type ClaimResult =
  | { kind: "taken"; position: StorePosition }
  | { kind: "refused"; failure: AcquireFailure };

/** A lease acquired by this process. */
export class FencedLease {
  /** Position at which this process created the lease's key. */
  readonly position: StorePosition;
  readonly fencingNumber: bigint;
  readonly #store: KeyValueStore;
  readonly #options: FencedLeaseOptions;
  readonly #leaseId: bigint;
  readonly #calls: LeaseCalls;
  #validFrom: ClockReading;
  #validityMs: number;
  #lost = false;

  private constructor(
    store: KeyValueStore,
    options: FencedLeaseOptions,
    held: {
      position: StorePosition;
      granted: StoreLease;
      sentAt: ClockReading;
      calls: number;
    },
  ) {
    this.#store = store;
    this.#options = options;
    this.position = held.position;
    this.fencingNumber = fencingNumberOf(held.position);
    this.#leaseId = held.granted.leaseId;
    this.#validFrom = held.sentAt;
    this.#validityMs = usableMs(held.granted.ttlMs);
    this.#calls = { acquire: held.calls, renew: 0, release: 0 };
  }

  /**
   * Tries once to acquire the lease: reads the key and, if it is free, gets a store lease and
   * commits.
   *
   * @param store The store that keeps the lease.
   * @param options Key, holder id and TTL.
   * @returns The lease, or its current holder, or the store's failure.
   */
  static async acquire(
    store: KeyValueStore,
    options: FencedLeaseOptions,
  ): Promise<Result<FencedLease, AcquireFailure>> {
    const found = await store.get(options.key);
    if (found.isErr) return storeFailure(found.error);
    if (found.value) return Result.err(heldByOther(found.value));
    const sentAt = readClocks(options.clock);
    const granted = await store.grantLease(options.ttlMs);
    if (granted.isErr) return storeFailure(granted.error);
    const claim = await claimKey(store, options, granted.value.leaseId);
    if (claim.kind === "refused") {
      // Revoking the store lease prevents a commit still in flight from taking effect.
      await store.revokeLease(granted.value.leaseId);
      return Result.err(claim.failure);
    }
    const { position } = claim;
    const held = { position, granted: granted.value, sentAt, calls: 3 };
    return Result.ok(new FencedLease(store, options, held));
  }

  /** The previous holder, if `lastHolder` was given and its record can be read. */
  get previous(): LastHolder | undefined {
    const known = this.#options.lastHolder?.known;
    return known && readLastHolder(known.value);
  }

  /** True once the lease was released, or the store has reported it as expired. */
  get lost(): boolean {
    return this.#lost;
  }

  /**
   * Checks the remaining validity; call it right before each order is sent.
   *
   * @param ms Maximum duration of the order.
   * @returns Whether the lease is certain to be held for that long.
   */
  isHeldFor(ms: number): boolean {
    return !this.#lost && this.#validForMs() >= ms;
  }

  /**
   * Renews the lease once.
   *
   * @returns Whether the lease is still held, or the failure if the store did not answer.
   */
  async renew(): Promise<Result<boolean, StoreFailure>> {
    const sentAt = readClocks(this.#options.clock);
    this.#calls.renew++;
    const renewed = await this.#store.renewLease(this.#leaseId);
    if (renewed.isErr) return Result.err(renewed.error);
    if (renewed.value.ttlMs <= 0) this.#lost = true;
    if (this.#lost) return Result.ok(false);
    this.#validFrom = sentAt;
    this.#validityMs = usableMs(renewed.value.ttlMs);
    return Result.ok(true);
  }

  /**
   * Renews the lease periodically until it is lost or expired, or the signal is aborted.
   *
   * @param signal Stops the renewals without releasing the lease.
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
   * Releases the lease; from this call on it does not count as held.
   *
   * @returns Success once the store has revoked the lease; after a failure it expires in the store.
   */
  release(): Promise<Result<void, StoreFailure>> {
    this.#lost = true;
    this.#calls.release++;
    return this.#store.revokeLease(this.#leaseId);
  }

  /** @returns The state, for state dumps. */
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

  /**
   * Uses the larger elapsed time of the two clocks, as the monotonic clock stops while the instance
   * is suspended.
   */
  #validForMs(): number {
    const { nowMs, wallMs } = readClocks(this.#options.clock);
    const elapsedMs = Math.max(
      nowMs - this.#validFrom.nowMs,
      wallMs - this.#validFrom.wallMs,
    );
    return this.#validityMs - elapsedMs;
  }

  #jitter(ms: number): number {
    const random = this.#options.random ?? Math.random;
    return ms * (1 - MAX_JITTER * random());
  }
}

async function claimKey(
  store: KeyValueStore,
  options: FencedLeaseOptions,
  leaseId: bigint,
): Promise<ClaimResult> {
  const { key, holderId, lastHolder, clock } = options;
  const text = JSON.stringify({ holderId, claimId: randomUUID() });
  const value = new TextEncoder().encode(text);
  const expect: Expectation[] = [{ key, modPosition: undefined }];
  const writes: Write[] = [{ kind: "put", key, value, leaseId }];
  if (lastHolder) {
    const modPosition = lastHolder.known?.modPosition;
    expect.push({ key: lastHolder.key, modPosition });
    const last = encodeNextHolder(lastHolder.known, { holderId, clock });
    writes.push({ kind: "put", key: lastHolder.key, value: last });
  }
  const outcome = await store.commit(expect, writes);
  if (outcome.isErr) {
    if (outcome.error.kind !== "effect_unknown") {
      return refusedByStore(outcome.error);
    }
    return readBack(store, {
      key,
      writtenText: text,
      commitFailure: outcome.error,
    });
  }
  if (outcome.value.kind === "committed") {
    return { kind: "taken", position: outcome.value.position };
  }
  const current = outcome.value.current.find((entry) => entry.key === key);
  if (current) return { kind: "refused", failure: heldByOther(current) };
  if (lastHolder) return { kind: "refused", failure: { kind: "outdated" } };
  return refusedByStore({
    kind: "unavailable",
    message: "Commit conflict without a conflicting key",
  });
}

/** A commit of the lease's key that may or may not have taken effect. */
interface UnconfirmedClaim {
  key: string;
  writtenText: string;
  commitFailure: StoreFailure;
}

/**
 * Determines the outcome of a commit whose answer was lost, by the claim id in the stored value.
 */
async function readBack(
  store: KeyValueStore,
  claim: UnconfirmedClaim,
): Promise<ClaimResult> {
  const found = await store.get(claim.key);
  if (found.isErr) return refusedByStore(found.error);
  if (!found.value) return refusedByStore(claim.commitFailure);
  if (new TextDecoder().decode(found.value.value) === claim.writtenText) {
    return { kind: "taken", position: found.value.createPosition };
  }
  return { kind: "refused", failure: heldByOther(found.value) };
}

function heldByOther(entry: KeyValueEntry): AcquireFailure {
  return {
    kind: "held",
    holderId: readHolderId(entry.value),
    fencingNumber: fencingNumberOf(entry.createPosition),
  };
}

function readHolderId(value: Uint8Array): string {
  const holderId = readJson(value)["holderId"];
  return typeof holderId === "string" ? holderId : "";
}

function refusedByStore(failure: StoreFailure): ClaimResult {
  return { kind: "refused", failure: { kind: "store", failure } };
}

function storeFailure(
  failure: StoreFailure,
): Result<FencedLease, AcquireFailure> {
  return Result.err({ kind: "store", failure });
}

function readClocks(clock: Clock): ClockReading {
  return { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
}

/** @returns The part of the TTL that the holder relies on. */
function usableMs(ttlMs: number): number {
  return ttlMs * (1 - CLOCK_DRIFT_MARGIN);
}
