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

/** Larger means are taken for this one, as the probability of no event is too small for a number. */
const MAX_POISSON_MEAN = 500;

/**
 * Draws from a Poisson distribution.
 *
 * @param mean Mean of the distribution; small, as the time grows with it.
 * @param random Generator of uniform numbers in [0, 1).
 * @returns A number of events.
 */
export function poisson(mean: number, random: () => number): number {
  const limit = Math.exp(-Math.min(mean, MAX_POISSON_MEAN));
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}
