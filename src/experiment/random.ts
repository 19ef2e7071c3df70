/** Seeded random numbers. */
import { seededRandom } from "../base/random.ts";

/** A generator of 32 bits of state. */
export class Random {
  readonly #random: () => number;

  private constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  /**
   * @param seed The same seed gives the same numbers.
   * @returns A generator.
   */
  static create(seed: number): Random {
    return new Random(Math.imul(seed + 1, 0x9e3779b1));
  }

  /** @returns Uniform in [0, 1). */
  next(): number {
    return this.#random();
  }

  /** @returns A whole number in [from, to). */
  between(from: number, to: number): number {
    return from + Math.floor(this.next() * (to - from));
  }

  /** @returns Exponentially distributed. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /**
   * @param cumulative Running sums of weights.
   * @returns An index, with probability by weight.
   */
  weighted(cumulative: number[]): number {
    const at = this.next() * cumulative.at(-1)!;
    return cumulative.findIndex((sum) => at < sum);
  }

  /** @returns Letters and spaces, one byte each. */
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
 * @param exponent Zipf's exponent.
 * @returns Running sums of the weights of ranks.
 */
export function zipf(count: number, exponent: number): number[] {
  let sum = 0;
  return Array.from(
    { length: count },
    (_, rank) => sum += (rank + 1) ** -exponent,
  );
}
