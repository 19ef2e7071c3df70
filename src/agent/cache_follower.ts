/** Keeps a {@link CacheView} up to date: a snapshot, then events, and a new snapshot after a gap. */
import type { Clock, Logger } from "../base/mod.ts";
import type { CacheFeedStep, Engine } from "../backends/engine.ts";
import type { CacheView } from "./cache_view.ts";

/** What {@link CacheFollower} needs. */
export interface CacheFollowerOptions {
  engine: Engine;
  view: CacheView;
  clock: Clock;
  log: Logger;
  /** Called when the feed breaks off: the engine may be gone. */
  onBreak: () => void;
}

const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 10_000;
const FAILURE_PAUSE_MS = 500;
/** Snapshots of a large cache are dear: at most one part in so many of the time goes into them. */
const SNAPSHOT_SHARE = 20;

/** Follows the feed until it is stopped. */
export class CacheFollower {
  readonly #options: CacheFollowerOptions;
  #feed = new AbortController();

  private constructor(options: CacheFollowerOptions) {
    this.#options = options;
  }

  /**
   * @param options Engine and view.
   * @returns A follower that does not run yet.
   */
  static create(options: CacheFollowerOptions): CacheFollower {
    return new CacheFollower(options);
  }

  /** Has a new snapshot taken: the view lacks something, or proved wrong. */
  resync(): void {
    this.#feed.abort();
  }

  /** @param signal Ends the task. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      this.#feed = new AbortController();
      const startMs = clock.nowMs();
      const isTaken = await this.#takeSnapshot();
      const tookMs = clock.nowMs() - startMs;
      if (isTaken) await this.#follow(signal);
      const pauseMs = isTaken ? tookMs * SNAPSHOT_SHARE : FAILURE_PAUSE_MS;
      const boundMs = Math.min(Math.max(pauseMs, MIN_PAUSE_MS), MAX_PAUSE_MS);
      await clock.sleep(boundMs, signal);
    }
  }

  async #takeSnapshot(): Promise<boolean> {
    const { engine, view } = this.#options;
    const snapshot = await engine.cacheSnapshot();
    if (snapshot.isErr) return false;
    view.restart(snapshot.value);
    return true;
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const { engine, view } = this.#options;
    const either = AbortSignal.any([signal, this.#feed.signal]);
    for await (const step of engine.cacheEvents(view.nextSeq, either)) {
      if (either.aborted || step.isErr) break;
      if (!this.#take(step.value)) break;
    }
    // What was cached may be gone before the feed is there again.
    if (signal.aborted) return;
    view.distrust();
    this.#options.onBreak();
  }

  /** @returns False when only a snapshot helps. */
  #take(step: CacheFeedStep): boolean {
    const { view, log } = this.#options;
    if (step.kind === "snapshot") {
      view.restart(step);
      return true;
    }
    const result = view.follow(step.incarnation, step.event);
    if (result.kind === "taken") return true;
    log.info({ event: result }, "Cache view is void until a snapshot");
    return false;
  }
}
