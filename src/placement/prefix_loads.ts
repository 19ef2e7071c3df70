/**
 * Request rates of prefixes, and the number of servers that each prefix is spread over, its width.
 * The width of a hot prefix doubles while its requests wait in queues, and is halved again once
 * they don't. Widths change by factors of two so that entries which measure different loads still
 * mostly select the same servers.
 */
import type { ChainPoint } from "../wire/gen/cicadahitch.ts";
import { LRUMap } from "./lru_map.ts";

/** Bound on the prefixes whose load is kept. */
const MAX_PREFIXES = 4096;
/** Time constant of the decaying average of the request rate. */
const RATE_WINDOW_MS = 2000;
/** Request rate at one entry above which a prefix counts as hot. */
const HOT_RATE_PER_S = 1;
/** Queueing time from which a hot prefix is widened. */
const WIDEN_QUEUE_MS = 200;
/** Minimum time between a change of width and the next widening. */
const WIDEN_INTERVAL_MS = 250;
/** Minimum time between a change of width and the next narrowing. */
const NARROW_AFTER_MS = 3000;

interface PrefixLoad {
  ratePerS: number;
  rateUpdatedAtMs: number;
  /** Number of times that the minimum width has doubled. */
  doublings: number;
  widthChangedAtMs: number;
}

/** Request rates and widths of the prefixes in use. */
export class PrefixLoads {
  readonly #loads = LRUMap.create<bigint, PrefixLoad>(MAX_PREFIXES);

  private constructor() {}

  /** @returns An empty table. */
  static create(): PrefixLoads {
    return new PrefixLoads();
  }

  /** Number of prefixes whose load is kept. */
  get size(): number {
    return this.#loads.size;
  }

  /**
   * @param key Key of a prefix level.
   * @returns Number of times that its width has doubled.
   */
  doublings(key: bigint): number {
    return this.#loads.get(key)?.doublings ?? 0;
  }

  /** Adds a request to the rate of each of its prefix levels. */
  count(levels: readonly ChainPoint[], nowMs: number): void {
    for (const { key } of levels) {
      const load = this.#loads.get(key) ?? newLoad(nowMs);
      const decay = Math.exp((load.rateUpdatedAtMs - nowMs) / RATE_WINDOW_MS);
      load.ratePerS = load.ratePerS * decay + 1000 / RATE_WINDOW_MS;
      load.rateUpdatedAtMs = nowMs;
      this.#loads.set(key, load);
    }
  }

  /**
   * Narrows each level that is due, and widens the deepest hot level and the shallower hot levels
   * that are narrower than it, because a level selects only among the servers of the level above.
   *
   * @param levels Prefix levels of a placed request, shallow to deep.
   * @param queue The queue that the request met.
   */
  adjustWidths(levels: readonly ChainPoint[], queue: QueueObservation): void {
    let required: number | undefined;
    for (let depth = levels.length - 1; depth >= 0; depth--) {
      const load = this.#loads.get(levels[depth]!.key);
      if (!load) continue;
      narrow(load, queue);
      if (load.ratePerS < HOT_RATE_PER_S) continue;
      if (required !== undefined && load.doublings >= required) continue;
      widen(load, queue);
      required = load.doublings;
    }
  }
}

/** Queueing time of a placed request. */
export interface QueueObservation {
  queueMs: number;
  nowMs: number;
  /** Bound on the number of doublings. */
  maxDoublings: number;
}

function newLoad(nowMs: number): PrefixLoad {
  return {
    ratePerS: 0,
    rateUpdatedAtMs: nowMs,
    doublings: 0,
    widthChangedAtMs: nowMs,
  };
}

function widen(load: PrefixLoad, queue: QueueObservation): void {
  if (queue.queueMs < WIDEN_QUEUE_MS) return;
  if (load.doublings >= queue.maxDoublings) return;
  if (queue.nowMs - load.widthChangedAtMs < WIDEN_INTERVAL_MS) return;
  load.doublings++;
  load.widthChangedAtMs = queue.nowMs;
}

function narrow(load: PrefixLoad, queue: QueueObservation): void {
  if (load.doublings === 0 || queue.queueMs >= WIDEN_QUEUE_MS) return;
  if (queue.nowMs - load.widthChangedAtMs < NARROW_AFTER_MS) return;
  load.doublings--;
  load.widthChangedAtMs = queue.nowMs;
}
