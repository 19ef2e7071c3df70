/** Keeps a {@link StoreMirror} up to date by one watch over all keys. */
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueStore, StoreFailure } from "../store/store.ts";
import type { EraChange, StoreMirror } from "./mirror.ts";
import { StoreContact } from "./store_contact.ts";
import { formatPosition, nextPosition } from "../store/position.ts";

/** Shortest backoff after a failed call. */
const MIN_RETRY_MS = 100;
/**
 * Longest interval from one failed call to the next; it doubles from {@link MIN_RETRY_MS} on, to limit
 * the calls to a failing store. A store that refused calls is reached again within this time of its
 * recovery. Calls to an unresponsive store take longer by themselves, and are followed by the shortest
 * backoff.
 */
const MAX_RETRY_MS = 500;
/** Random fraction of each backoff, so that entries don't retry in step. */
const RETRY_JITTER_RATIO = 0.3;
/**
 * Delay per entry for coalescing changes: each change wakes the watches of all entries, so the delay
 * grows with their number.
 */
const COALESCE_MS_PER_ENTRY = 20;
/**
 * Longest coalescing delay, in heartbeat intervals: together with the wait of a watch it stays below
 * the silence that counts as an outage.
 */
const MAX_COALESCE_INTERVALS = 0.5;

/** Options of a {@link StoreFollower}. */
export interface FollowerOptions {
  store: Pick<KeyValueStore, "list" | "watch">;
  mirror: StoreMirror;
  /** Interval at which servers write their registration. */
  heartbeatMs: number;
  /** Delay before the watch continues after changes, so that the next ones come in one answer. */
  coalesceMs(): number;
  clock: Clock;
  log: Logger;
  /** Random number from 0 to 1. */
  random: () => number;
}

/** Watches the store until it is stopped. */
export class StoreFollower {
  /** Tracks when the store answered, and the outages in which registrations may have lapsed. */
  readonly contact: StoreContact;
  readonly #options: FollowerOptions;
  #retryMs = MIN_RETRY_MS;
  /** Whether the store was listed again since a watch last went on. */
  #hasRelisted = false;
  #coalescedMs = 0;
  #needsList = true;
  /** Newest era that this entry listed, or a peer reported. */
  #heardEra = 0;
  /** Ends the current watch. */
  #watching = new AbortController();
  /** When the last call was sent; a watch sends its next call once one is answered. */
  #calledAtMs = -Infinity;

  private constructor(options: FollowerOptions) {
    this.#options = options;
    this.contact = StoreContact.create(options);
    options.mirror.onEraChange((change) => this.#onEraChange(change));
  }

  /**
   * @param options The store, its local replica, and the timing.
   * @returns A follower that is not running yet.
   */
  static create(options: FollowerOptions): StoreFollower {
    return new StoreFollower(options);
  }

  /** Longest time that the changes received now may have been delayed by coalescing. */
  get coalescedMs(): number {
    return this.#coalescedMs;
  }

  /**
   * Lists the store soon if it was restored since it was last listed. The connection of this entry's
   * watch may be dead, and still seem open.
   *
   * @param era Era that a peer has reported.
   */
  onPeerEra(era: number): void {
    if (era <= this.#heardEra) return;
    this.#heardEra = era;
    this.#needsList = true;
    this.#watching.abort();
  }

  /**
   * Lists the store once, then watches it, and retries with backoff after failures.
   *
   * @param signal Stops the follower.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      this.#calledAtMs = clock.nowMs();
      const failure = this.#needsList ? await this.#list() : undefined;
      const ended = failure ?? await this.#watch(signal);
      if (signal.aborted) return;
      await this.#backOff(ended, signal);
    }
  }

  async #list(): Promise<StoreFailure | undefined> {
    const { store, mirror } = this.#options;
    const listing = await store.list("");
    if (listing.isErr) return listing.error;
    this.#onAnswer();
    this.#heardEra = Math.max(this.#heardEra, listing.value.position.era);
    mirror.replace(listing.value);
    this.contact.markCaughtUp();
    this.#needsList = false;
    return undefined;
  }

  async #watch(signal: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, mirror, clock, coalesceMs } = this.#options;
    let answers = 0;
    let hasChanged = false;
    this.#watching = new AbortController();
    const signals = AbortSignal.any([signal, this.#watching.signal]);
    const from = nextPosition(mirror.position);
    for await (const step of store.watch("", from, signals)) {
      if (step.isErr) return step.error;
      this.#onAnswer();
      mirror.applyStep(step.value);
      if (step.value.kind !== "progress") {
        hasChanged = true;
        continue;
      }
      this.contact.markCaughtUp();
      // The first answer of a watch does not show that the store recovered: the next call may fail.
      if (++answers > 1) this.#onWatchGoesOn();
      this.#coalescedMs = hasChanged ? coalesceMs() : 0;
      if (hasChanged) await clock.sleep(this.#coalescedMs, signal);
      hasChanged = false;
    }
    return undefined;
  }

  async #backOff(
    failure: StoreFailure | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    if (failure) this.#onFailure(failure);
    if (failure && needsListing(failure) && !this.#hasRelisted) {
      return await this.#relistSoon(failure, signal);
    }
    const { clock, random } = this.#options;
    const tookMs = clock.nowMs() - this.#calledAtMs;
    const pauseMs = Math.max(MIN_RETRY_MS, this.#retryMs - tookMs);
    await clock.sleep(
      pauseMs * (1 + RETRY_JITTER_RATIO * (random() - 0.5)),
      signal,
    );
    this.#retryMs = Math.min(MAX_RETRY_MS, this.#retryMs * 2);
  }

  /** The first time, the store is listed without a backoff. */
  async #relistSoon(failure: StoreFailure, signal: AbortSignal): Promise<void> {
    this.#hasRelisted = true;
    if (failure.kind !== "era_changed") return;
    // All entries learn of a restore at the same time, and a listing takes many calls.
    const { clock, random, coalesceMs } = this.#options;
    await clock.sleep(random() * coalesceMs(), signal);
  }

  #onWatchGoesOn(): void {
    this.#retryMs = MIN_RETRY_MS;
    this.#hasRelisted = false;
  }

  #onFailure(failure: StoreFailure): void {
    switch (failure.kind) {
      case "compacted":
        this.#needsList = true;
        return this.#logHistoryGone(failure.oldestRevision);
      case "era_changed":
        this.#needsList = true;
        return;
      case "unavailable":
      case "effect_unknown":
        if (!this.contact.failed()) return;
        this.#options.log.warn({ event: "store_lost", failure: failure.kind });
    }
  }

  #logHistoryGone(askedRevision: bigint): void {
    const { log, mirror } = this.#options;
    log.info({
      event: "store_history_gone",
      position: formatPosition(mirror.position),
      askedRevision: String(askedRevision),
    });
  }

  #onEraChange({ from, to, ...counts }: EraChange): void {
    this.contact.restored();
    this.#options.log.info({
      event: "store_era_changed",
      fromEra: from.era,
      toEra: to.era,
      fromRevision: String(from.revision),
      toRevision: String(to.revision),
      ...counts,
    });
  }

  #onAnswer(): void {
    this.#calledAtMs = this.#options.clock.nowMs();
    const lostMs = this.contact.answered();
    if (lostMs === undefined) return;
    this.#options.log.info({
      event: "store_regained",
      lostMs: Math.round(lostMs),
    });
  }
}

/** Whether a watch can't go on from the replica's position. */
function needsListing({ kind }: StoreFailure): boolean {
  return kind === "compacted" || kind === "era_changed";
}

/**
 * @param entryCount Number of live entries.
 * @param heartbeatMs Interval at which servers write their registration.
 * @returns How long an entry waits after changes before it continues its watch.
 */
export function coalesceDelayMs(
  entryCount: number,
  heartbeatMs: number,
): number {
  const longestMs = heartbeatMs * MAX_COALESCE_INTERVALS;
  return Math.min(longestMs, entryCount * COALESCE_MS_PER_ENTRY);
}
