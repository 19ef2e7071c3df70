/** The lease under which weights are rolled: which entry gives orders, and from when on. */
import type { Clock, Logger } from "../base/mod.ts";
import { FencedLease, readLastHolder } from "../lease/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";

/** Key of the lease. */
export const ROLL_LEASE_KEY = "cicadahitch/weights-roll";
/** Key of who took the lease last; it outlives the lease. */
export const LAST_ROLL_KEY = "cicadahitch/last-weights-roll";
/** Time of the lease: a holder that is gone is followed within it and the turn's time. */
const LEASE_MS = 1500;
/** Beyond the time in which two holders may not take turns. */
const TURN_MARGIN_MS = 200;
/** Only the last holder may order without a wait, so it takes a lease that is free before others. */
const HEAD_START_MS = 100;
/** Entries that see the lease free wait up to this long, so that one asks first. */
const ACQUIRE_SPREAD_MS = 60;
/** In a rolling restart the youngest process lives longest, so the older ones wait longer. */
const AGE_SPREAD_MS = 300;
const OLD_AGE_MS = 30_000;
/** What a {@link RollLease} works with. */
export interface RollLeaseOptions {
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  holderId: string;
  /** Holders may not take turns within this time. */
  turnMs: number;
  random: () => number;
  /** Whether engines refuse an order with a lower fencing number than one they have seen. */
  enginesCheckFences: boolean;
  /** Whether the store's copy shows the lease as held. */
  isLeaseHeld(): boolean;
  /** What the store's copy has at {@link LAST_ROLL_KEY}. */
  lastHolder(): KeyValueEntry | undefined;
}

/** Takes the lease when it is free, and keeps it. */
export class RollLease {
  readonly #options: RollLeaseOptions;
  readonly #startedAtMs: number;
  #lease: FencedLease | undefined;
  #notBeforeMs = 0;
  #isRetiring = false;

  private constructor(options: RollLeaseOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /**
   * @param options Store, and who asks.
   * @returns A lease that is not held.
   */
  static create(options: RollLeaseOptions): RollLease {
    return new RollLease(options);
  }

  /** The lease, once the turn of the holder before is over. */
  get current(): FencedLease | undefined {
    return this.#mayOrder() ? this.#lease : undefined;
  }

  /** The lease while this entry holds it, also before it may give orders. */
  get held(): FencedLease | undefined {
    return this.isHeld ? this.#lease : undefined;
  }

  /** Whether this entry holds the lease. */
  get isHeld(): boolean {
    return this.#lease?.isHeldFor(0) ?? false;
  }

  /**
   * @param ms How long it takes until an order is given.
   * @returns Whether orders may be given from now on, and the lease lasts that long.
   */
  allowsOrdersFor(ms: number): boolean {
    return this.current?.isHeldFor(ms) ?? false;
  }

  /** Takes the lease no more; one that is held is kept. */
  retire(): void {
    this.#isRetiring = true;
  }

  /**
   * Tries once to take the lease if it is free.
   *
   * @param signal Ends the renewals, too.
   */
  async tryToTake(signal: AbortSignal): Promise<void> {
    const { clock, random, store, holderId, isLeaseHeld, lastHolder } =
      this.#options;
    if (this.#isRetiring || isLeaseHeld()) return;
    await clock.sleep(this.#waitMs(), signal);
    if (signal.aborted || this.#isRetiring || isLeaseHeld()) return;
    const acquired = await FencedLease.acquire(store, {
      key: ROLL_LEASE_KEY,
      holderId,
      ttlMs: LEASE_MS,
      clock,
      random,
      lastHolder: { key: LAST_ROLL_KEY, known: lastHolder() },
    });
    if (acquired.isErr) {
      await clock.sleep(LEASE_MS / 3, signal);
      return;
    }
    this.#use(acquired.value);
    void this.#keep(acquired.value, signal);
  }

  /** Another holder has a higher number, or the work ends; this one is not used again. */
  async giveUp(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    await lease?.release();
  }

  #mayOrder(): boolean {
    return this.#options.clock.nowMs() >= this.#notBeforeMs;
  }

  #waitMs(): number {
    const { clock, random, holderId, lastHolder } = this.#options;
    const last = lastHolder();
    if (last && readLastHolder(last.value)?.holderId === holderId) return 0;
    const age = Math.min(1, (clock.nowMs() - this.#startedAtMs) / OLD_AGE_MS);
    return (last ? HEAD_START_MS : 0) + random() * ACQUIRE_SPREAD_MS +
      age * AGE_SPREAD_MS;
  }

  #use(lease: FencedLease): void {
    const { clock, log } = this.#options;
    this.#lease = lease;
    const waitMs = this.#turnMs;
    this.#notBeforeMs = clock.nowMs() + waitMs;
    log.info({
      event: "roll_lease_taken",
      fencingNumber: String(lease.fencingNumber),
      before: lease.previous?.holderId,
      waitMs: Math.round(waitMs),
    });
  }

  /**
   * Another holder may have given an order just before its lease ended. Engines that check fences
   * refuse it once they have seen a newer one, and the records of orders say which engines have to
   * be spared for how long; where fences are not checked, all are spared for a whole turn.
   */
  get #turnMs(): number {
    const { turnMs, enginesCheckFences } = this.#options;
    return enginesCheckFences ? 0 : turnMs + TURN_MARGIN_MS;
  }

  async #keep(lease: FencedLease, signal: AbortSignal): Promise<void> {
    await lease.keepRenewed(signal);
    if (signal.aborted) return;
    this.#options.log.warn({ event: "roll_lease_lost" });
    if (this.#lease === lease) this.#lease = undefined;
  }
}
