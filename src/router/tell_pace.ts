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

/**
 * @param entryCount Entries that live.
 * @returns Pause between an entry's datagrams while loads and prompts change.
 */
export function tellPauseMs(entryCount: number): number {
  const pauseMs = entryCount * TELL_MS_PER_ENTRY;
  return Math.min(TELL_MOST_MS, Math.max(TELL_MS, pauseMs));
}
