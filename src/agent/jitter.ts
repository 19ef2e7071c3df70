/** Seeded jitter for retry delays, so that requests refused together don't retry together. */
import { hash } from "node:crypto";

const UINT32 = 0x1_0000_0000;

/** A small deterministic pseudorandom number generator. */
export class Jitter {
  #state: number;

  private constructor(seed: number) {
    this.#state = seed;
  }

  /**
   * @param seed Any text; equal seeds give equal sequences.
   * @returns A generator.
   */
  static create(seed: string): Jitter {
    return new Jitter(hash("sha256", seed, "buffer").readUInt32LE(0));
  }

  /**
   * @param spreadMs Upper bound of the result, exclusive.
   * @returns A random time between 0 and the bound.
   */
  nextMs(spreadMs: number): number {
    this.#state = (this.#state + 0x9e3779b9) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return ((mixed ^ (mixed >>> 16)) >>> 0) / UINT32 * spreadMs;
  }
}
