/** Keeps a {@link CacheView} up to date: loads a snapshot, then applies events until a gap. */
import type { Clock, Logger } from "../base/mod.ts";
import type { CacheFeedItem, Engine } from "../backends/engine.ts";
import type { CacheView } from "./cache_view.ts";

/** Options of {@link CacheFollower}. */
export interface CacheFollowerOptions {
  engine: Engine;
  view: CacheView;
  clock: Clock;
  log: Logger;
  /** Called when the event feed ends, since the engine may have ended too. */
  onEnd: () => void;
}

const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 10_000;
const FAILURE_BACKOFF_MS = 500;
/**
 * Pause between snapshots, as a multiple of the time that the last one took. It limits the share of
 * time spent on snapshots, which are expensive for a large cache. {@link MAX_PAUSE_MS} caps it.
 */
const SNAPSHOT_PAUSE_FACTOR = 20;

/** Applies the engine's cache event feed to a {@link CacheView}. */
export class CacheFollower {
  readonly #options: CacheFollowerOptions;
  #feedAbort = new AbortController();

  private constructor(options: CacheFollowerOptions) {
    this.#options = options;
  }

  /**
   * @param options The engine and the view to update.
   * @returns A follower that is not running yet.
   */
  static create(options: CacheFollowerOptions): CacheFollower {
    return new CacheFollower(options);
  }

  /** Requests a new snapshot, for when the view is incomplete or proved wrong. */
  resync(): void {
    this.#feedAbort.abort();
  }

  /** @param signal Stops the task when aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      this.#feedAbort = new AbortController();
      const startMs = clock.nowMs();
      const isLoaded = await this.#takeSnapshot();
      const tookMs = clock.nowMs() - startMs;
      if (isLoaded) await this.#followFeed(signal);
      const pauseMs = isLoaded
        ? tookMs * SNAPSHOT_PAUSE_FACTOR
        : FAILURE_BACKOFF_MS;
      const boundMs = Math.min(Math.max(pauseMs, MIN_PAUSE_MS), MAX_PAUSE_MS);
      await clock.sleep(boundMs, signal);
    }
  }

  async #takeSnapshot(): Promise<boolean> {
    const { engine, view } = this.#options;
    const snapshot = await engine.cacheSnapshot();
    if (snapshot.isErr) return false;
    view.loadSnapshot(snapshot.value);
    return true;
  }

  async #followFeed(signal: AbortSignal): Promise<void> {
    const { engine, view } = this.#options;
    const stopSignal = AbortSignal.any([signal, this.#feedAbort.signal]);
    for await (const item of engine.cacheEvents(view.nextSeq, stopSignal)) {
      if (stopSignal.aborted || item.isErr) break;
      if (!this.#applyItem(item.value)) break;
    }
    // Blocks may be removed unnoticed until the feed is connected again.
    if (signal.aborted) return;
    view.invalidate();
    this.#options.onEnd();
  }

  /** @returns False if a new snapshot is required. */
  #applyItem(item: CacheFeedItem): boolean {
    const { view, log } = this.#options;
    if (item.kind === "snapshot") {
      view.loadSnapshot(item);
      return true;
    }
    const result = view.applyEvent(item.incarnation, item.event);
    if (result.kind === "taken") return true;
    log.info(
      { event: result },
      "Cache view is invalid until the next snapshot",
    );
    return false;
  }
}
