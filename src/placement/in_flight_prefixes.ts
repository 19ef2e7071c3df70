/**
 * Prefixes of requests that a server has admitted but whose blocks its engine has not reported as
 * cached yet. The engine reports blocks only some time after the prefill, but a request with the
 * same prefix that arrives in between will find them cached.
 */
import type { ChainPoint } from "../wire/gen/cicadahitch.ts";
import { matchedBlocks } from "./chain.ts";

/** Reference counts of the prefixes in flight on one server, by the keys of their chain points. */
export class InFlightPrefixes {
  readonly #countsByKey = new Map<bigint, number>();

  private constructor() {}

  /** @returns An empty set of prefixes. */
  static create(): InFlightPrefixes {
    return new InFlightPrefixes();
  }

  /** Number of distinct chain points in flight. */
  get size(): number {
    return this.#countsByKey.size;
  }

  /**
   * Adds the prefixes of an admitted request.
   *
   * @param points The chain points of its prompt.
   */
  add(points: readonly ChainPoint[]): void {
    for (const { key } of points) {
      this.#countsByKey.set(key, (this.#countsByKey.get(key) ?? 0) + 1);
    }
  }

  /**
   * Removes the prefixes of a request whose blocks have been reported, or that failed or was
   * cancelled.
   *
   * @param points The chain points that were added for it.
   */
  remove(points: readonly ChainPoint[]): void {
    for (const { key } of points) {
      const count = (this.#countsByKey.get(key) ?? 0) - 1;
      if (count > 0) this.#countsByKey.set(key, count);
      else this.#countsByKey.delete(key);
    }
  }

  /**
   * @param points The chain points of a prompt.
   * @returns Length in blocks of its longest prefix in flight, 0 if none is.
   */
  matchedBlocks(points: ChainPoint[]): number {
    return matchedBlocks(points, (key) => this.#countsByKey.has(key));
  }
}
