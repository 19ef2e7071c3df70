/** Which weights the operator has named, and when this process heard of each version. */
import type { Clock } from "../base/mod.ts";
import type { WantedWeights } from "./model.ts";

interface NamedVersion {
  version: number;
  heardAtMs: number;
}

/** Named versions by model. */
export class WantedVersions {
  readonly #clock: Clock;
  readonly #named = new Map<string, NamedVersion[]>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Tells when a version was heard of.
   * @returns A book without versions.
   */
  static create(clock: Clock): WantedVersions {
    return new WantedVersions(clock);
  }

  /**
   * @param wanted A version that was named.
   * @returns Whether it is newer than all before.
   */
  name({ model, version }: WantedWeights): boolean {
    if (this.newest(model) >= version) return false;
    const named = this.#named.get(model) ?? [];
    named.push({ version, heardAtMs: this.#clock.nowMs() });
    this.#named.set(model, named);
    return true;
  }

  /**
   * @param model A model.
   * @returns The newest version; 0 if none was named.
   */
  newest(model: string): number {
    return this.#named.get(model)?.at(-1)?.version ?? 0;
  }

  /** The newest version of each model. */
  all(): WantedWeights[] {
    return [...this.#named.keys()].map((model) => ({
      model,
      version: this.newest(model),
    }));
  }

  /**
   * @param model A model.
   * @param version A version of its weights.
   * @returns Time since the first version that replaces it was heard of; 0 if none does.
   */
  replacedForMs(model: string, version: number): number {
    const next = this.#named.get(model)?.find((named) =>
      named.version > version
    );
    return next ? this.#clock.nowMs() - next.heardAtMs : 0;
  }
}
