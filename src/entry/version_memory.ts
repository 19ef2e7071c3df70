/** Which weights versions no server was seen to have a moment ago, so that they aren't searched. */
import type { Clock } from "../base/mod.ts";
import { modelKey } from "../planner/mod.ts";
import type { LoadedModel } from "../backends/engine.ts";

/** A new version is found this soon after it was loaded. */
const MISSING_MS = 500;
const MAX_VERSIONS = 1000;

/** Versions that branches name and no server has. */
export class VersionMemory {
  readonly #clock: Clock;
  readonly #missingUntilMs = new Map<string, number>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Ends what is remembered.
   * @returns A memory of nothing.
   */
  static create(clock: Clock): VersionMemory {
    return new VersionMemory(clock);
  }

  /**
   * @param wanted Model, adapter and version.
   * @returns Whether it was searched a moment ago, in vain.
   */
  isMissing(wanted: LoadedModel): boolean {
    const untilMs = this.#missingUntilMs.get(modelKey(wanted)) ?? 0;
    return untilMs > this.#clock.nowMs();
  }

  /** @param wanted Was searched, and no server had it. */
  noteMissing(wanted: LoadedModel): void {
    if (this.#missingUntilMs.size >= MAX_VERSIONS) this.#missingUntilMs.clear();
    const untilMs = this.#clock.nowMs() + MISSING_MS;
    this.#missingUntilMs.set(modelKey(wanted), untilMs);
  }

  /** @param wanted Was offered by a server. */
  noteOffered(wanted: LoadedModel): void {
    if (this.#missingUntilMs.size === 0) return;
    this.#missingUntilMs.delete(modelKey(wanted));
  }
}
