/** How often entries tell each other of what changes. */

/** Pause between datagrams while something changes: a tenth of the time to a first token. */
export const TELL_MS = 50;
/**
 * Loads and prompts are told less often the more entries there are, so that up to 75 of them hear at
 * most 125 datagrams a second each. Told every 50 ms, 68 entries took 235.8 s of processor time in
 * their first 22 s, and so 154.1 s.
 */
const TELL_MS_PER_ENTRY = 8;
/** Within the time for which a load is believed, with room for a lost datagram; the limit beyond 75. */
const TELL_MOST_MS = 600;

/** A pause is longer or shorter by up to this part. */
const JITTER_SHARE = 0.5;

/**
 * @param entryCount Entries that live.
 * @returns Pause between an entry's datagrams while loads and prompts change.
 */
export function tellPauseMs(entryCount: number): number {
  const pauseMs = entryCount * TELL_MS_PER_ENTRY;
  return Math.min(TELL_MOST_MS, Math.max(TELL_MS, pauseMs));
}

/**
 * Entries in step fill a busy link together, which then loses what the same ones tell each time.
 *
 * @param pauseMs A pause.
 * @param random 0 to 1.
 * @returns The pause to make, the same in the mean.
 */
export function jittered(pauseMs: number, random: () => number): number {
  return pauseMs * (1 + JITTER_SHARE * (2 * random() - 1));
}

/**
 * @param items Items in any order.
 * @param random 0 to 1.
 * @returns The same, from one that chance picks on: of datagrams sent at once a link that is full
 * loses the last ones, which are then not always to the same entries.
 */
export function rotated<T>(items: T[], random: () => number): T[] {
  const from = Math.floor(random() * items.length);
  return [...items.slice(from), ...items.slice(0, from)];
}
