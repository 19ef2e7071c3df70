/** Settings, injectable faults and counters of the in-memory store. */
import type { Clock } from "../base/mod.ts";

/** Faults that a test injects. */
export interface StoreFaults {
  /** All calls fail without effect, and watches end. */
  down: boolean;
  /** Delay of every call before it takes effect. */
  slowMs: number;
  /** The next commit takes effect, but its caller gets `effect_unknown`. */
  loseNextAnswer: boolean;
  /** The next commit has no effect, and its caller gets `effect_unknown`. */
  loseNextRequest: boolean;
  /** The next commit takes effect this much later, and its caller gets `effect_unknown`; 0: off. */
  lateNextEffectMs: number;
}

/** Counts of calls and bytes since the store was created. */
export interface StoreCounters {
  reads: number;
  /** Commits and lease calls. */
  writes: number;
  /** Watches opened. */
  watches: number;
  /** Those from revisions that the store does not have. */
  goneWatches: number;
  /** Bytes of keys and values, read and written. */
  bytes: number;
}

/** Settings of a `MemoryStore`. */
export interface MemoryStoreOptions {
  clock: Clock;
  /** Time without events after which a watch reports its progress. */
  progressMs: number;
  /** Era until the first restore; 0 as for a service that names none. */
  firstEra: number;
}
