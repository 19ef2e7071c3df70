/** Settings of a claims journal. */
import { type Clock, type Logger, systemClock } from "../base/mod.ts";
import type { KeyValueStore } from "../store/store.ts";

/** Settings that have defaults. */
export interface JournalTuning {
  clock: Clock;
  /** Returns a uniform number in [0, 1), for the jitter of retries. */
  random: () => number;
  /** Minimum time between the starts of two commits. */
  commitIntervalMs: number;
  /** Longest time that ends wait for a commit of claims before they are written on their own. */
  endFlushDelayMs: number;
  /** Longest time that a claim waits for the store. */
  claimTimeoutMs: number;
  /** The store counts as down while a commit is unanswered for longer than this. */
  slowCommitThresholdMs: number;
  /** Longest time after its request at which a granted call may still be forwarded. */
  maxForwardDelayMs: number;
  /** Minimum time for which an owner keeps a shard that callers ask another agent for. */
  minOwnershipMs: number;
  /** Longest time for which an owner in `memory` mode may grant claims without the store. */
  maxMemoryGrantMs: number;
  /** Maximum number of claims in a shard. */
  maxClaimsPerShard: number;
  /** Maximum number of claims in a commit; keeps the size of a commit far below a megabyte. */
  maxClaimsPerCommit: number;
  /** Longest time that {@link ClaimsJournal.close} waits for its writes. */
  closeTimeoutMs: number;
}

/** Settings of a {@link StoreClaimsJournal}. */
export interface StoreClaimsJournalOptions extends Partial<JournalTuning> {
  store: KeyValueStore;
  /** Address at which other agents and entries reach this agent. */
  address: string;
  /** Unique id of this process. */
  agentIncarnation: string;
  log: Logger;
}

/** Settings with all defaults applied. */
export type JournalOptions = Required<StoreClaimsJournalOptions>;

/** Upper bound for the ratio between the rates of the monotonic clocks of two instances. */
export const CLOCK_RATE_MARGIN = 1.002;

const DEFAULT_TUNING: JournalTuning = {
  clock: systemClock,
  random: Math.random,
  commitIntervalMs: 25,
  endFlushDelayMs: 1000,
  claimTimeoutMs: 1500,
  slowCommitThresholdMs: 1000,
  maxForwardDelayMs: 30_000,
  minOwnershipMs: 30_000,
  maxMemoryGrantMs: 600_000,
  maxClaimsPerShard: 8192,
  maxClaimsPerCommit: 1000,
  closeTimeoutMs: 3000,
};

/**
 * @param options Settings that override the defaults.
 * @returns The complete settings.
 */
export function withDefaults(
  options: StoreClaimsJournalOptions,
): JournalOptions {
  return { ...DEFAULT_TUNING, ...options };
}
