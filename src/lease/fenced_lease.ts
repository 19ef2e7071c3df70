/**
 * A lease in the key-value service with a fencing number.
 *
 * The fencing number stands for the store position at which the lease's key was created. The store's
 * revision rises with every commit to any key and survives deletions and outages, and a store that
 * was restored from an older copy names a new era, so a later holder always has a higher number. The
 * holder counts its lease time from just before it sent its last successful renewal, so its lease
 * never expires later than the store's. A lease belongs to one era.
 */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  type AcquireFailure,
  type Claim,
  claimKey,
  createClaim,
  deleteClaim,
  heldByOther,
} from "./_claim.ts";
import {
  type LastHolder,
  type LastHolderOptions,
  readLastHolder,
} from "./last_holder.ts";
import { fencingNumberOf, type StorePosition } from "../store/position.ts";
import type {
  KeyValueStore,
  StoreFailure,
  StoreLease,
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
  /** Newest era of the store that this process knows; omitted for a store that names none. */
  knownEra?(): number;
  /** Record of the last holder; omitted where the previous holder doesn't matter. */
  lastHolder?: LastHolderOptions;
}

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

/** A lease acquired by this process. */
export class FencedLease {
  /** Position at which this process created the lease's key. */
  readonly position: StorePosition;
  readonly fencingNumber: bigint;
  readonly #store: KeyValueStore;
  readonly #options: FencedLeaseOptions;
  readonly #leaseId: bigint;
  readonly #claim: Claim;
  readonly #calls: LeaseCalls;
  #validFrom: ClockReading;
  #validityMs: number;
  #lost = false;
  /** Newest era that an answer to this lease's calls named. */
  #answeredEra: number;

  private constructor(
    store: KeyValueStore,
    options: FencedLeaseOptions,
    held: {
      position: StorePosition;
      fencingNumber: bigint;
      claim: Claim;
      granted: StoreLease;
      sentAt: ClockReading;
      calls: number;
    },
  ) {
    this.#store = store;
    this.#options = options;
    this.position = held.position;
    this.fencingNumber = held.fencingNumber;
    this.#answeredEra = held.position.era;
    this.#leaseId = held.granted.leaseId;
    this.#claim = held.claim;
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
    const { leaseId, era } = granted.value;
    const claim = createClaim(options.key, options.holderId);
    const claimed = await claimKey(store, claim, { ...options, leaseId });
    if (claimed.kind === "refused") {
      const { failure } = claimed;
      // Revoking the store lease prevents a commit still in flight from taking effect.
      if (isEraChange(failure) || knownEraOf(options) > era) {
        await deleteClaim(store, claim);
      } else await store.revokeLease(leaseId);
      return Result.err(failure);
    }
    const { position } = claimed;
    if (position.era !== era) {
      // The key may be attached to the lease of another process.
      await deleteClaim(store, claim);
      const newEra = Math.max(position.era, era);
      return storeFailure({
        kind: "era_changed",
        era: newEra,
        mayHaveEffect: false,
      });
    }
    const number = fencingNumberOf(position);
    if (number.isErr) {
      await store.revokeLease(leaseId);
      return Result.err(number.error);
    }
    const held = {
      position,
      fencingNumber: number.value,
      claim,
      granted: granted.value,
      sentAt,
      calls: 3,
    };
    return Result.ok(new FencedLease(store, options, held));
  }

  /** The previous holder, if `lastHolder` was given and its record can be read. */
  get previous(): LastHolder | undefined {
    const known = this.#options.lastHolder?.known;
    return known && readLastHolder(known.value);
  }

  /**
   * True once the lease was released, the store has reported it as expired, or the store was restored
   * since: its key may be gone although a renewal succeeds.
   */
  get lost(): boolean {
    return this.#lost || this.isOfEarlierEra;
  }

  /** Whether the store is known to have been restored since the lease was acquired. */
  get isOfEarlierEra(): boolean {
    return this.newestEra > this.position.era;
  }

  /** Newest era of the store that this process is known to have heard of. */
  get newestEra(): number {
    return Math.max(knownEraOf(this.#options), this.#answeredEra);
  }

  /** Whether the lease was held up to now, apart from a restore of the store. */
  get isHeldInItsEra(): boolean {
    return !this.#lost && this.#validForMs() > 0;
  }

  /**
   * Checks the remaining validity; call it right before each order is sent.
   *
   * @param ms Maximum duration of the order.
   * @returns Whether the lease is certain to be held for that long.
   */
  isHeldFor(ms: number): boolean {
    return !this.lost && this.#validForMs() >= ms;
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
    if (renewed.isErr) {
      const { error } = renewed;
      if (error.kind === "era_changed") this.#learnEra(error.era);
      return this.lost ? Result.ok(false) : Result.err(error);
    }
    this.#learnEra(renewed.value.era);
    if (this.isOfEarlierEra) return Result.ok(false);
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
    while (!signal.aborted && !this.lost) {
      await this.#options.clock.sleep(waitMs, signal);
      if (signal.aborted || this.lost) return;
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
    if (!this.isOfEarlierEra) return this.#store.revokeLease(this.#leaseId);
    return deleteClaim(this.#store, this.#claim);
  }

  /** @returns The state, for state dumps. */
  state(): LeaseState {
    const { key, holderId } = this.#options;
    return {
      key,
      holderId,
      fencingNumber: this.fencingNumber,
      validForMs: Math.max(0, this.#validForMs()),
      lost: this.lost,
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

  #learnEra(era: number): void {
    this.#answeredEra = Math.max(this.#answeredEra, era);
  }

  #jitter(ms: number): number {
    const random = this.#options.random ?? Math.random;
    return ms * (1 - MAX_JITTER * random());
  }
}

function knownEraOf(options: FencedLeaseOptions): number {
  return options.knownEra?.() ?? 0;
}

function isEraChange(failure: AcquireFailure): boolean {
  return failure.kind === "store" && failure.failure.kind === "era_changed";
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
