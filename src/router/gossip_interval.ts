/** Intervals between the datagrams that entries send each other. */

/** Shortest interval between datagrams, while state changes: a tenth of a time to first token. */
export const MIN_INTERVAL_MS = 50;
/**
 * The interval for loads and prompts grows with the number of entries, so that each of up to 75
 * entries receives at most 125 datagrams per second. In their first 22 s, 68 entries used 154.1 s of
 * CPU time this way, and 235.8 s at a fixed interval of 50 ms.
 */
const INTERVAL_MS_PER_ENTRY = 8;
/** Longest interval, reached at 75 entries: a reported load outlives it even if one datagram is lost. */
const MAX_INTERVAL_MS = 600;

/** Largest deviation of a jittered interval from its mean, as a fraction of it. */
const JITTER_RATIO = 0.5;

/**
 * @param entryCount Number of live entries.
 * @returns Interval between an entry's datagrams while loads and prompts change.
 */
export function gossipIntervalFor(entryCount: number): number {
  const pauseMs = entryCount * INTERVAL_MS_PER_ENTRY;
  return Math.min(
    MAX_INTERVAL_MS,
    Math.max(MIN_INTERVAL_MS, pauseMs),
  );
}

/**
 * Adds jitter, so that entries don't send in step: a busy link would then drop datagrams of the same
 * entries each time.
 *
 * @param intervalMs The mean interval.
 * @param random Random number from 0 to 1.
 * @returns The interval with jitter.
 */
export function jittered(intervalMs: number, random: () => number): number {
  return intervalMs * (1 + JITTER_RATIO * (2 * random() - 1));
}

/**
 * Rotates a list by a random offset. A full link drops the last of the datagrams sent at once; with a
 * random start, these are not always for the same entries.
 *
 * @param items Items in any order.
 * @param random Random number from 0 to 1.
 * @returns The same items, starting with a random one.
 */
export function rotated<T>(items: T[], random: () => number): T[] {
  const from = Math.floor(random() * items.length);
  return [...items.slice(from), ...items.slice(0, from)];
}
