/** Keeps a {@link StoreMirror} up to date by one watch over all keys. */
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueStore, StoreFailure } from "../store/store.ts";
import type { StoreMirror } from "./mirror.ts";

/** First pause after a failed call; doubled up to {@link RETRY_MAX_MS}. Each call has a price. */
const RETRY_MIN_MS = 100;
/** A store that comes back is met within this time. */
const RETRY_MAX_MS = 500;
/** Part of a pause that is left to chance, so that entries don't come together. */
const RETRY_JITTER = 0.3;
/**
 * Entries that lapsed in an outage are written again within about two seconds of its end; a little
 * more covers the time until this process meets the store again.
 */
const RECOVERY_MS = 2500;

/** What a {@link StoreFollower} works with. */
export interface FollowerOptions {
  store: KeyValueStore;
  mirror: StoreMirror;
  clock: Clock;
  log: Logger;
  /** 0 to 1. */
  random: () => number;
}

/** A time in which the store didn't answer this process. */
export interface Outage {
  isOver: boolean;
  /** So far, where it isn't over. */
  lengthMs: number;
}

/** Follows the store until it is stopped. */
export class StoreFollower {
  readonly #options: FollowerOptions;
  #lostAtMs: number | undefined;
  #regainedAtMs = -Infinity;
  #lastOutageMs = 0;
  #retryMs = RETRY_MIN_MS;
  #needsList = true;

  private constructor(options: FollowerOptions) {
    this.#options = options;
  }

  /**
   * @param options Store, copy and helpers.
   * @returns A follower that has not begun.
   */
  static create(options: FollowerOptions): StoreFollower {
    return new StoreFollower(options);
  }

  /** Whether the last call to the store was answered. */
  get connected(): boolean {
    return this.#lostAtMs === undefined;
  }

  /** Whether keys may be missing that lapsed in an outage and are about to be written again. */
  get recovering(): boolean {
    if (!this.connected) return true;
    return this.#options.clock.nowMs() - this.#regainedAtMs < RECOVERY_MS;
  }

  /** The outage in which keys that are missing may have lapsed. */
  get outage(): Outage | undefined {
    if (!this.recovering) return undefined;
    if (this.#lostAtMs === undefined) {
      return { isOver: true, lengthMs: this.#lastOutageMs };
    }
    const lengthMs = this.#options.clock.nowMs() - this.#lostAtMs;
    return { isOver: false, lengthMs };
  }

  /**
   * @param signal Ends the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
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
    this.#needsList = false;
    return undefined;
  }

  async #watch(signal: AbortSignal): Promise<StoreFailure | undefined> {
    const { store, mirror } = this.#options;
    for await (
      const step of store.watch("", mirror.revision + 1n, signal)
    ) {
      if (step.isErr) return step.error;
      this.#answered();
      mirror.follow(step.value);
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
    await clock.sleep(
      this.#retryMs * (1 + RETRY_JITTER * (random() - 0.5)),
      signal,
    );
    this.#retryMs = Math.min(RETRY_MAX_MS, this.#retryMs * 2);
  }

  #lost(failure: StoreFailure): void {
    if (this.#lostAtMs !== undefined) return;
    this.#lostAtMs = this.#options.clock.nowMs();
    this.#options.log.warn({ event: "store_lost", failure: failure.kind });
  }

  #answered(): void {
    this.#retryMs = RETRY_MIN_MS;
    if (this.#lostAtMs === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const lostMs = Math.round(nowMs - this.#lostAtMs);
    this.#options.log.info({ event: "store_regained", lostMs });
    this.#lostAtMs = undefined;
    this.#regainedAtMs = nowMs;
    this.#lastOutageMs = lostMs;
  }
}
