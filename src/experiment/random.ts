/** Seeded pseudo-random numbers and distributions for reproducible runs. */
import { seededRandom } from "../base/random.ts";

/** Pseudo-random number generator with 32 bits of state. */
export class Random {
  readonly #random: () => number;

  private constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  /**
   * @param seed Equal seeds give equal sequences.
   * @returns A generator.
   */
  static create(seed: number): Random {
    return new Random(Math.imul(seed + 1, 0x9e3779b1));
  }

  /** @returns A uniformly distributed number in [0, 1). */
  next(): number {
    return this.#random();
  }

  /** @returns A uniformly distributed integer in [from, to). */
  nextInt(from: number, to: number): number {
    return from + Math.floor(this.next() * (to - from));
  }

  /** @returns An exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /**
   * @param cumulative Cumulative sums of the weights.
   * @returns A random index, with a probability proportional to its weight.
   */
  weightedIndex(cumulative: number[]): number {
    const at = this.next() * cumulative.at(-1)!;
    return cumulative.findIndex((sum) => at < sum);
  }

  /** @returns Random hexadecimal words separated by spaces, one byte per character. */
  text(sizeBytes: number): string {
    const words: string[] = [];
    for (let size = 0; size < sizeBytes; size += 8) {
      words.push(
        Math.floor(this.next() * 0x1000_0000).toString(16).padStart(7, "0"),
      );
    }
    return words.join(" ").slice(0, sizeBytes);
  }
}

/**
 * @param count Number of ranks.
 * @param exponent Exponent of the Zipf distribution.
 * @returns Cumulative sums of the weights, by rank.
 */
export function zipfWeights(count: number, exponent: number): number[] {
  let sum = 0;
  return Array.from(
    { length: count },
    (_, rank) => sum += (rank + 1) ** -exponent,
  );
}
