/** Keeps a {@link StoreMirror} up to date by one watch over all keys. */
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueStore, StoreFailure } from "../store/store.ts";
import type { StoreMirror } from "./mirror.ts";
import { StoreContact } from "./store_contact.ts";

/** Shortest pause after a failed call. */
const RETRY_MIN_MS = 100;
/**
 * Time from one failed call to the next, doubled from {@link RETRY_MIN_MS} on: each call has a
 * price. A store that refuses calls is met within this time of its return. Calls to one that is
 * silent take longer than this by themselves, and are followed by the shortest pause.
 */
const RETRY_MAX_MS = 500;
/** Part of a pause that is left to chance, so that entries don't come together. */
const RETRY_JITTER = 0.3;
/** Each change wakes the watches of all entries, so they gather changes longer the more there are. */
const GATHER_MS_PER_ENTRY = 20;
/** Longest such pause, in heartbeat intervals: with a watch's wait, less than shows an outage. */
const GATHER_INTERVALS = 0.5;

/** What a {@link StoreFollower} works with. */
export interface FollowerOptions {
  store: Pick<KeyValueStore, "list" | "watch">;
  mirror: StoreMirror;
  /** Pause between writes of a server's registration. */
  heartbeatMs: number;
  /** Pause after changes, so that those of the next moments come in one answer. */
  gatherMs(): number;
  clock: Clock;
  log: Logger;
  /** 0 to 1. */
  random: () => number;
}

/** Follows the store until it is stopped. */
export class StoreFollower {
  /** When the store answered, and what may have lapsed while it didn't. */
  readonly contact: StoreContact;
  readonly #options: FollowerOptions;
  #retryMs = RETRY_MIN_MS;
  #gatheredMs = 0;
  #needsList = true;
  /** When the last call was sent; a watch calls again once it is answered. */
  #calledAtMs = -Infinity;

  private constructor(options: FollowerOptions) {
    this.#options = options;
    this.contact = StoreContact.create(options);
  }

  /**
   * @param options Store, copy and helpers.
   * @returns A follower that has not begun.
   */
  static create(options: FollowerOptions): StoreFollower {
    return new StoreFollower(options);
  }

  /** For how long what is heard now may have waited, because changes were gathered. */
  get gatheredMs(): number {
    return this.#gatheredMs;
  }

  /**
   * @param signal Ends the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      this.#calledAtMs = clock.nowMs();
      const failure = this.#needsList ? await this.#list() : undefined;
      const ended = failure ?? await this.#watch(signal);
      if (signal.aborted) return;
      await this.#recover(ended, signal);
    }
  }

  async #list(): Promise<StoreFailure | undefined> {
    const { store, mirror } = this.#options;
    const listing = await store.list("");
    if (listing.isErr) return listing.error;
    this.#answered();
    mirror.replace(listing.value);
    this.contact.caughtUp();
    this.#needsList = false;
    return undefined;
  }

  async #watch(signal: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, mirror, clock, gatherMs } = this.#options;
    let answers = 0;
    let hasChanged = false;
    for await (
      const step of store.watch("", mirror.revision + 1n, signal)
    ) {
      if (step.isErr) return step.error;
      this.#answered();
      mirror.follow(step.value);
      if (step.value.kind !== "progress") {
        hasChanged = true;
        continue;
      }
      this.contact.caughtUp();
      // The first answer of a watch costs the store little: it may fail at the next one again.
      if (++answers > 1) this.#retryMs = RETRY_MIN_MS;
      this.#gatheredMs = hasChanged ? gatherMs() : 0;
      if (hasChanged) await clock.sleep(this.#gatheredMs, signal);
      hasChanged = false;
    }
    return undefined;
  }

  async #recover(
    failure: StoreFailure | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    if (failure?.kind === "compacted") {
      this.#needsList = true;
      this.#options.log.info({ event: "store_history_gone" });
      return;
    }
    if (failure) this.#lost(failure);
    const { clock, random } = this.#options;
    const tookMs = clock.nowMs() - this.#calledAtMs;
    const pauseMs = Math.max(RETRY_MIN_MS, this.#retryMs - tookMs);
    await clock.sleep(
      pauseMs * (1 + RETRY_JITTER * (random() - 0.5)),
      signal,
    );
    this.#retryMs = Math.min(RETRY_MAX_MS, this.#retryMs * 2);
  }

  #lost(failure: StoreFailure): void {
    if (!this.contact.failed()) return;
    this.#options.log.warn({ event: "store_lost", failure: failure.kind });
  }

  #answered(): void {
    this.#calledAtMs = this.#options.clock.nowMs();
    const lostMs = this.contact.answered();
    if (lostMs === undefined) return;
    this.#options.log.info({
      event: "store_regained",
      lostMs: Math.round(lostMs),
    });
  }
}

/**
 * @param entryCount Entries that live.
 * @param heartbeatMs Pause between writes of a server's registration.
 * @returns How long an entry waits after changes before it watches again.
 */
export function gatherMs(entryCount: number, heartbeatMs: number): number {
  const longestMs = heartbeatMs * GATHER_INTERVALS;
  return Math.min(longestMs, entryCount * GATHER_MS_PER_ENTRY);
}
