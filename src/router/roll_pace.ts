/** How many engines change their weights at once, so that all are ordered in time. */

/** Time from holding an engine back to its order: between 0.1 s without runs and 1.1 s behind long ones. */
const EASE_MS = 550;
/** Time from an order to the weights, before any engine has loaded: small models take this long. */
export const LOAD_MS = 750;
/**
 * Share of a service's engines that get nothing new at once; the rest must carry the load. Mean
 * worth of eight played days with six engines 0.700, with 0.3 of them held back 0.685.
 */
const HELD_SHARE = 0.2;

/** Share of a service's engines that load at once: with more of them each load takes longer. */
const LOADING_SHARE = 0.25;
/** Few engines load by twos, so that those without runs are not changed one by one. */
const LOADING_MIN = 2;

/** Engines of one service. */
export interface PaceInput {
  engineCount: number;
  /** Engines that change now. */
  outCount: number;
  /** Those of them that had runs when they were taken out. */
  busyOutCount: number;
  /** For each that still has to: time since its weights were replaced. */
  replacedMs: number[];
  /** Age of replaced weights at which an engine is to be ordered, at the latest. */
  orderByMs: number;
  /** Mean time from an order to the weights. */
  loadMs: number;
}

/** How many engines may be taken out now. */
export interface Room {
  /** Those that have runs. */
  busy: number;
  /** All together. */
  all: number;
}

/**
 * @param engineCount Engines of a service.
 * @returns How many of them load at once; more do only if some are late.
 */
export function loadsAtOnce(engineCount: number): number {
  return Math.max(LOADING_MIN, Math.floor(engineCount * LOADING_SHARE));
}

/**
 * @param engineCount Engines of a service.
 * @returns How many with runs get nothing new at once; the rest must carry the load.
 */
export function heldAtOnce(engineCount: number): number {
  return Math.max(1, Math.round(engineCount * HELD_SHARE));
}

/**
 * @param input Engines, and for how long their weights have been replaced.
 * @returns Room for engines with runs up to a share of all, so that the rest carries the load; for
 *   those without runs, up to what may load at once and half of all.
 */
export function roomToChange(input: PaceInput): Room {
  const { engineCount, outCount, busyOutCount } = input;
  const held = heldAtOnce(engineCount);
  const half = Math.floor(engineCount / 2);
  const most = Math.max(held, Math.min(loadsAtOnce(engineCount), half));
  return { busy: held - busyOutCount, all: most - outCount };
}

/**
 * @param input Engines, and for how long their weights have been replaced.
 * @returns How many must be taken out now, or some would be ordered too late.
 */
export function countLate(
  { outCount, replacedMs, orderByMs, loadMs }: PaceInput,
): number {
  let late = 0;
  const oldestFirst = replacedMs.toSorted((a, b) => b - a);
  for (const [i, ms] of oldestFirst.entries()) {
    const leftMs = Math.max(0, orderByMs - ms);
    // Engines that can be ordered one after the other in this time, the first one now.
    const turns = 1 + Math.floor(leftMs / (EASE_MS + loadMs));
    const behindOthers = outCount * (turns - 1);
    late = Math.max(late, Math.ceil((i + 1 - behindOthers) / turns));
  }
  return late;
}
