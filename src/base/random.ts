/** Seeded pseudorandom numbers. */

/**
 * Creates a deterministic pseudorandom number generator.
 *
 * @param seed The same seed produces the same sequence.
 * @returns Generator of uniform numbers in [0, 1), with 32 bits of state.
 */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
