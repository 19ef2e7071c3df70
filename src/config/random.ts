/** Random helpers whose source of randomness is a parameter, so that tests can seed it. */

/** @returns A random suffix of eight hex digits. */
export function randomSuffix(random: () => number): string {
  return Math.floor(random() * 0xffff_ffff).toString(16).padStart(8, "0");
}

/**
 * Samples without replacement.
 *
 * @param items The items to sample from; not modified.
 * @param count The number of items to sample.
 * @param random Returns a number from 0 to 1.
 * @returns At most `count` distinct items.
 */
export function sample<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const remaining = [...items];
  const sampled: T[] = [];
  while (sampled.length < count && remaining.length > 0) {
    const index = Math.min(
      Math.floor(random() * remaining.length),
      remaining.length - 1,
    );
    sampled.push(...remaining.splice(index, 1));
  }
  return sampled;
}
