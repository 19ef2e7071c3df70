/** Models that an engine serves, and the orders that change them. */
import type { LoadedModel } from "../backends/mod.ts";

/** The models of one engine; the last one loaded comes first. */
export class ModelSet {
  #models: LoadedModel[];

  private constructor(models: LoadedModel[]) {
    this.#models = models;
  }

  /**
   * @param models Served from the start.
   * @returns The set.
   */
  static create(models: LoadedModel[]): ModelSet {
    return new ModelSet([...models]);
  }

  /** @returns All models served. */
  list(): LoadedModel[] {
    return [...this.#models];
  }

  /**
   * @param model Name, adapter and version; an empty version: the last one loaded.
   * @returns The model that serves a request for it, if any does.
   */
  find(model: LoadedModel): LoadedModel | undefined {
    return this.#models.find((served) =>
      served.model === model.model && served.adapter === model.adapter &&
      (model.weightsVersion === "" ||
        served.weightsVersion === model.weightsVersion)
    );
  }

  /**
   * @param model Comes first from now on.
   */
  add(model: LoadedModel): void {
    this.remove(model);
    this.#models.unshift(model);
  }

  /**
   * @param model Is no longer served.
   */
  remove(model: LoadedModel): void {
    this.#models = this.#models.filter((served) => !isSame(served, model));
  }

  /**
   * @param model A model of exactly this version.
   * @returns True when it is served.
   */
  has(model: LoadedModel): boolean {
    return this.#models.some((served) => isSame(served, model));
  }
}

function isSame(a: LoadedModel, b: LoadedModel): boolean {
  return a.model === b.model && a.adapter === b.adapter &&
    a.weightsVersion === b.weightsVersion;
}
