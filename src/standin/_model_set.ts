/** The set of models that an engine serves. */
import type { LoadedModel } from "../backends/mod.ts";

/** The models of one engine, most recently loaded first. */
export class ModelSet {
  #models: LoadedModel[];

  private constructor(models: LoadedModel[]) {
    this.#models = models;
  }

  /**
   * @param models Initial models.
   * @returns A set with these models.
   */
  static create(models: LoadedModel[]): ModelSet {
    return new ModelSet([...models]);
  }

  /** @returns All models served. */
  list(): LoadedModel[] {
    return [...this.#models];
  }

  /**
   * @param model Requested model; an empty version selects the most recently loaded one.
   * @returns The loaded model that serves the request, if any.
   */
  find(model: LoadedModel): LoadedModel | undefined {
    return this.#models.find((served) =>
      served.model === model.model && served.adapter === model.adapter &&
      (model.weightsVersion === "" ||
        served.weightsVersion === model.weightsVersion)
    );
  }

  /**
   * Adds a model, or moves it to the front.
   *
   * @param model Model that was loaded.
   */
  add(model: LoadedModel): void {
    this.remove(model);
    this.#models.unshift(model);
  }

  /**
   * Removes a model, if it is in the set.
   *
   * @param model Model that was unloaded.
   */
  remove(model: LoadedModel): void {
    this.#models = this.#models.filter((served) => !isSame(served, model));
  }

  /**
   * @param model Model with its exact version.
   * @returns Whether the model is served.
   */
  has(model: LoadedModel): boolean {
    return this.#models.some((served) => isSame(served, model));
  }
}

function isSame(a: LoadedModel, b: LoadedModel): boolean {
  return a.model === b.model && a.adapter === b.adapter &&
    a.weightsVersion === b.weightsVersion;
}
