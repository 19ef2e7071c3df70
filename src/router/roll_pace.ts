/** Computes how many engines change their weights at once, so that all are ordered in time. */

/**
 * Typical time from holding an engine back to its order: 0.1 s without runs, 1.1 s with long runs.
 */
const DRAIN_TIME_MS = 550;
/** Initial estimate of the time from an order to loaded weights, which fits small models. */
export const INITIAL_LOAD_MS = 750;
/**
 * Maximum share of a service's engines that are held back with runs; the rest must carry the load.
 * With six engines the mean value of answers was 0.700 at this share and 0.685 at 0.3.
 */
const MAX_HELD_BACK_SHARE = 0.2;

/** Maximum share of a service's engines that load at once; with more, each load takes longer. */
const MAX_LOADING_SHARE = 0.25;
/** At least this many engines may load at once, so that idle engines do not change one by one. */
const MIN_CONCURRENT_LOADS = 2;

/** State of the weights change in one service. */
export interface PaceInput {
  engineCount: number;
  /** Engines that are held back to change their weights. */
  heldBackCount: number;
  /** Held-back engines that had runs when they were chosen. */
  busyHeldBackCount: number;
  /** For each engine that still has to change: time since its weights were replaced. */
  replacedMs: number[];
  /** Age of replaced weights by which an engine must be ordered. */
  orderByMs: number;
  /** Mean time from an order to loaded weights. */
  loadMs: number;
}

/** Number of engines that may be held back now. */
export interface ChangeCapacity {
  /** Limit for engines with runs. */
  busy: number;
  /** Limit for all engines together. */
  total: number;
}

/**
 * @param engineCount Engines of a service.
 * @returns How many of them may load at once; only urgent engines exceed it.
 */
export function maxConcurrentLoads(engineCount: number): number {
  return Math.max(
    MIN_CONCURRENT_LOADS,
    Math.floor(engineCount * MAX_LOADING_SHARE),
  );
}

/**
 * @param engineCount Engines of a service.
 * @returns How many engines with runs may be held back at once; the rest must carry the load.
 */
export function maxHeldBack(engineCount: number): number {
  return Math.max(1, Math.round(engineCount * MAX_HELD_BACK_SHARE));
}

/**
 * @param input State of the service's engines.
 * @returns Engines with runs may be held back up to a share of all engines; idle ones up to the
 *   number of concurrent loads, and at most half of all engines.
 */
export function computeCapacity(input: PaceInput): ChangeCapacity {
  const { engineCount, heldBackCount, busyHeldBackCount } = input;
  const maxBusy = maxHeldBack(engineCount);
  const half = Math.floor(engineCount / 2);
  const maxTotal = Math.max(
    maxBusy,
    Math.min(maxConcurrentLoads(engineCount), half),
  );
  return { busy: maxBusy - busyHeldBackCount, total: maxTotal - heldBackCount };
}

/**
 * @param input State of the service's engines.
 * @returns How many engines must be held back now so that none is ordered too late.
 */
export function countUrgent(
  { heldBackCount, replacedMs, orderByMs, loadMs }: PaceInput,
): number {
  let urgent = 0;
  const oldestFirst = replacedMs.toSorted((a, b) => b - a);
  for (const [i, ms] of oldestFirst.entries()) {
    const leftMs = Math.max(0, orderByMs - ms);
    // Number of consecutive changes that can start in the time left, the first one now.
    const rounds = 1 + Math.floor(leftMs / (DRAIN_TIME_MS + loadMs));
    const inLaterRounds = heldBackCount * (rounds - 1);
    urgent = Math.max(urgent, Math.ceil((i + 1 - inLaterRounds) / rounds));
  }
  return urgent;
}
