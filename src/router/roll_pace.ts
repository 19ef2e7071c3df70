/** How many engines change their weights at once, so that all are ordered in time. */

/** Mean time in which an engine is changed: 0.9 s without runs, up to 3.9 s behind long ones. */
const ENGINE_MS = 1300;
/**
 * Share of a service's engines that get nothing new at once; the rest must carry the load. Mean
 * worth of eight played days with six engines 0.700, with 0.3 of them held back 0.685.
 */
const HELD_SHARE = 0.2;

/** Engines that load at once; with more of them each takes longer. More do only if some are late. */
export const LOADS_AT_ONCE = 2;

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
}

/** How many engines may be taken out now. */
export interface Room {
  /** Those that have runs. */
  busy: number;
  /** All together. */
  all: number;
}

/**
 * @param input Engines, and for how long their weights have been replaced.
 * @returns Room for engines with runs up to a share of all, so that the rest carries the load; for
 *   those without runs, up to what may load at once and half of all.
 */
export function roomToChange(input: PaceInput): Room {
  const { engineCount, outCount, busyOutCount } = input;
  const held = Math.max(1, Math.round(engineCount * HELD_SHARE));
  const half = Math.floor(engineCount / 2);
  const most = Math.max(held, Math.min(LOADS_AT_ONCE, half));
  return { busy: held - busyOutCount, all: most - outCount };
}

/**
 * @param input Engines, and for how long their weights have been replaced.
 * @returns How many must be taken out now, or some would be ordered too late.
 */
export function countLate(
  { outCount, replacedMs, orderByMs }: PaceInput,
): number {
  let late = 0;
  const oldestFirst = replacedMs.toSorted((a, b) => b - a);
  for (const [i, ms] of oldestFirst.entries()) {
    const leftMs = Math.max(0, orderByMs - ms);
    // Engines that can be ordered one after the other in this time, the first one now.
    const turns = 1 + Math.floor(leftMs / ENGINE_MS);
    const behindOthers = outCount * (turns - 1);
    late = Math.max(late, Math.ceil((i + 1 - behindOthers) / turns));
  }
  return late;
}
