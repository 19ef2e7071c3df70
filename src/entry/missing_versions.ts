/** Caches which weights versions no server has, so that they are not searched on every request. */
import type { Clock } from "../base/mod.ts";
import { modelKey } from "../planner/mod.ts";
import type { LoadedModel } from "../backends/engine.ts";

/** Time to live of an entry; bounds how late a newly loaded version is found. */
const MISSING_TTL_MS = 500;
const MAX_VERSIONS = 1000;

/** Negative cache of weights versions that branches name but no server has. */
export class MissingVersions {
  readonly #clock: Clock;
  readonly #missingUntilMs = new Map<string, number>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Expires the entries.
   * @returns An empty cache.
   */
  static create(clock: Clock): MissingVersions {
    return new MissingVersions(clock);
  }

  /**
   * @param wanted Model, adapter and version.
   * @returns Whether a recent search found no server with this version.
   */
  isMissing(wanted: LoadedModel): boolean {
    const untilMs = this.#missingUntilMs.get(modelKey(wanted)) ?? 0;
    return untilMs > this.#clock.nowMs();
  }

  /** @param wanted A version that was searched and that no server had. */
  noteMissing(wanted: LoadedModel): void {
    if (this.#missingUntilMs.size >= MAX_VERSIONS) this.#missingUntilMs.clear();
    const untilMs = this.#clock.nowMs() + MISSING_TTL_MS;
    this.#missingUntilMs.set(modelKey(wanted), untilMs);
  }

  /** @param wanted A version that a server offered. */
  noteOffered(wanted: LoadedModel): void {
    if (this.#missingUntilMs.size === 0) return;
    this.#missingUntilMs.delete(modelKey(wanted));
  }
}
