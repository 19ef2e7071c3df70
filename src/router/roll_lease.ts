/** The lease of the weights roll, which decides which entry may order engines, and from when on. */
import type { Clock, Logger } from "../base/mod.ts";
import {
  type AcquireFailure,
  encodeNextHolder,
  FencedLease,
  readLastHolder,
} from "../lease/mod.ts";
import { formatPosition } from "../store/position.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";

/** Store key of the lease. */
export const ROLL_LEASE_KEY = "cicadahitch/weights-roll";
/** Store key of the last holder's id, which outlives the lease. */
export const LAST_ROLL_KEY = "cicadahitch/last-weights-roll";
/** Lease TTL. A lost holder is replaced within this time plus the wait before the first order. */
const LEASE_TTL_MS = 1500;
/** Added to the minimum time between orders of two different holders. */
const TURN_MARGIN_MS = 200;
/** Delay that gives the last holder priority: it reacquires a free lease before other entries. */
const HEAD_START_MS = 100;
/** Random delay before an entry acquires a free lease, so that one entry is first. */
const ACQUIRE_JITTER_MS = 60;
/**
 * Additional delay of processes of age {@link OLD_AGE_MS} or more; younger ones wait proportionally
 * less. In a rolling restart the youngest process will live longest, so it should get the lease.
 */
const MAX_AGE_DELAY_MS = 300;
const OLD_AGE_MS = 30_000;

/** Dependencies of a {@link RollLease}. */
export interface RollLeaseOptions {
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  holderId: string;
  /** Minimum time between orders of two different holders to one engine. */
  turnMs: number;
  random: () => number;
  /** Whether engines refuse an order with a lower fencing number than one they have seen. */
  enginesCheckFences: boolean;
  /** Whether the lease is held according to the local replica of the store. */
  isLeaseHeld(): boolean;
  /** Newest era of the store that this entry knows. */
  knownEra(): number;
  /** The value of {@link LAST_ROLL_KEY} in the local replica of the store. */
  lastHolder(): KeyValueEntry | undefined;
}

/** Acquires the lease when it is free, and keeps it renewed. */
export class RollLease {
  readonly #options: RollLeaseOptions;
  readonly #startedAtMs: number;
  #lease: FencedLease | undefined;
  #ordersFromMs = 0;
  #isAcquiringStopped = false;
  #hasLoggedPosition = false;
  /** Newest era of the store that was noticed, and when. */
  #era = 0;
  #eraNoticedAtMs = -Infinity;
  /** Whether this entry held the lease until it noticed the era, so that no other gave orders. */
  #wasHolder = false;
  /** Earliest time of the next attempt to record the settled era. */
  #settleFromMs = -Infinity;

  private constructor(options: RollLeaseOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /**
   * @param options Store and holder.
   * @returns A lease that is not held.
   */
  static create(options: RollLeaseOptions): RollLease {
    return new RollLease(options);
  }

  /** The lease, once this entry may give orders under it. */
  get current(): FencedLease | undefined {
    return this.#mayOrder() ? this.#lease : undefined;
  }

  /** The lease while this entry holds it, even if it may not give orders yet. */
  get held(): FencedLease | undefined {
    return this.isHeld ? this.#lease : undefined;
  }

  /** Whether this entry holds the lease. */
  get isHeld(): boolean {
    return this.#lease?.isHeldFor(0) ?? false;
  }

  /**
   * @param ms Time until an order is sent.
   * @returns Whether orders may be given now and the lease is valid for that time.
   */
  allowsOrdersFor(ms: number): boolean {
    return this.current?.isHeldFor(ms) ?? false;
  }

  /** Stops acquiring the lease; a lease that is held is kept. */
  stopAcquiring(): void {
    this.#isAcquiringStopped = true;
  }

  /**
   * Tries once to acquire the lease if it is free.
   *
   * @param signal Aborts the attempt, and later the renewals.
   */
  async tryAcquire(signal: AbortSignal): Promise<void> {
    const { clock, random, store, holderId, isLeaseHeld } = this.#options;
    const { lastHolder, knownEra } = this.#options;
    await this.#releaseEarlierEra();
    this.#noticeEra(knownEra());
    if (this.#isAcquiringStopped || isLeaseHeld()) return;
    await clock.sleep(this.#acquireDelayMs(), signal);
    if (signal.aborted || this.#isAcquiringStopped || isLeaseHeld()) return;
    const acquired = await FencedLease.acquire(store, {
      key: ROLL_LEASE_KEY,
      holderId,
      ttlMs: LEASE_TTL_MS,
      clock,
      random,
      knownEra,
      lastHolder: {
        key: LAST_ROLL_KEY,
        known: lastHolder(),
        settledEra: this.#settledEra(),
      },
    });
    if (acquired.isErr) {
      this.#logFailure(acquired.error);
      await clock.sleep(LEASE_TTL_MS / 3, signal);
      return;
    }
    this.#activate(acquired.value);
    void this.#renewUntilLost(acquired.value, signal);
  }

  /** Logs once that the store's positions are too high: no entry can order engines then. */
  #logFailure(failure: AcquireFailure): void {
    if (failure.kind !== "no_fencing_number" || this.#hasLoggedPosition) return;
    this.#hasLoggedPosition = true;
    const position = formatPosition(failure.position);
    this.#options.log.error({ event: "no_fencing_number", position });
  }

  /** Releases the lease, because another holder has a higher fencing number or the work ends. */
  async giveUp(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    await lease?.release();
  }

  /**
   * Records that no order records of the era are missing any more, so that later holders don't wait
   * for them; call it regularly while the lease is held.
   */
  async settleEra(): Promise<void> {
    const { store, clock, lastHolder } = this.#options;
    const [lease, known] = [this.held, lastHolder()];
    if (!lease || !known || clock.nowMs() < this.#settleFromMs) return;
    const last = readLastHolder(known.value);
    const settledEra = this.#settledEra();
    if (last?.holderId !== this.#options.holderId) return;
    if (last.settledEra >= settledEra) return;
    // The replica shows the record some time after it was written; after a failure it never does.
    this.#settleFromMs = clock.nowMs() + LEASE_TTL_MS;
    const value = encodeNextHolder(
      { key: LAST_ROLL_KEY, known, settledEra },
      this.#options,
    );
    await store.commit([
      { key: ROLL_LEASE_KEY, modPosition: lease.position },
      { key: LAST_ROLL_KEY, modPosition: known.modPosition },
    ], [{ kind: "put", key: LAST_ROLL_KEY, value }]);
  }

  /** Gives up a lease that was acquired before the store was restored. */
  async #releaseEarlierEra(): Promise<void> {
    const lease = this.#lease;
    if (!lease?.isOfEarlierEra) return;
    const wasHolder = lease.isHeldInItsEra;
    this.#noticeEra(lease.newestEra, { wasHolder });
    this.#options.log.info({
      event: "roll_lease_of_earlier_era",
      leaseEra: lease.position.era,
      era: lease.newestEra,
      wasHolder,
    });
    await this.giveUp();
  }

  #noticeEra(era: number, { wasHolder } = { wasHolder: false }): void {
    if (era <= this.#era) return;
    this.#era = era;
    this.#eraNoticedAtMs = this.#options.clock.nowMs();
    this.#wasHolder = wasHolder;
  }

  /**
   * Newest era of which no order record that still counts is missing: a restore may have lost records
   * of orders that were given just before it.
   */
  #settledEra(): number {
    const { clock, turnMs, lastHolder } = this.#options;
    const last = lastHolder();
    const recorded = (last && readLastHolder(last.value)?.settledEra) ?? 0;
    const untilMs = this.#eraNoticedAtMs + turnMs + TURN_MARGIN_MS;
    return clock.nowMs() >= untilMs ? this.#era : recorded;
  }

  #mayOrder(): boolean {
    return this.#options.clock.nowMs() >= this.#ordersFromMs;
  }

  #acquireDelayMs(): number {
    const { clock, random, holderId, lastHolder } = this.#options;
    const last = lastHolder();
    if (last && readLastHolder(last.value)?.holderId === holderId) return 0;
    const age = Math.min(1, (clock.nowMs() - this.#startedAtMs) / OLD_AGE_MS);
    return (last ? HEAD_START_MS : 0) + random() * ACQUIRE_JITTER_MS +
      age * MAX_AGE_DELAY_MS;
  }

  #activate(lease: FencedLease): void {
    const { clock, log } = this.#options;
    this.#lease = lease;
    this.#noticeEra(lease.position.era);
    const waitMs = Math.max(this.#orderDelayMs, this.#eraDelayMs(lease));
    this.#ordersFromMs = clock.nowMs() + waitMs;
    log.info({
      event: "roll_lease_taken",
      fencingNumber: String(lease.fencingNumber),
      before: lease.previous?.holderId,
      waitMs: Math.round(waitMs),
    });
  }

  /**
   * Time from acquiring the lease to the first order. The previous holder may have sent an order
   * just before its lease ended. Engines that check fencing numbers reject such an order once they
   * have seen a newer one, and the order records list the engines that may not be ordered yet. If
   * fencing numbers are not checked, all engines have to wait.
   */
  get #orderDelayMs(): number {
    const { turnMs, enginesCheckFences } = this.#options;
    return enginesCheckFences ? 0 : turnMs + TURN_MARGIN_MS;
  }

  /** Time until orders whose records were lost in a restore of the store are old enough. */
  #eraDelayMs({ previous, position }: FencedLease): number {
    const { clock, turnMs } = this.#options;
    if (this.#wasHolder || position.era === 0) return 0;
    if (previous && previous.settledEra >= position.era) return 0;
    const untilMs = this.#eraNoticedAtMs + turnMs + TURN_MARGIN_MS;
    return Math.max(0, untilMs - clock.nowMs());
  }

  async #renewUntilLost(
    lease: FencedLease,
    signal: AbortSignal,
  ): Promise<void> {
    await lease.keepRenewed(signal);
    if (signal.aborted) return;
    this.#options.log.warn({ event: "roll_lease_lost" });
    // The next attempt to acquire the lease releases it first.
    if (lease.isOfEarlierEra) return;
    if (this.#lease === lease) this.#lease = undefined;
  }
}
