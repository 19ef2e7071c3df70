/** Tracks the engine's models, and which of them are being loaded or unloaded. */
import type { Clock } from "../base/mod.ts";
import { modelKey } from "../planner/pool_view.ts";
import type { LoadedModel } from "../backends/engine.ts";
import { ReplicaPhase, type ReplicaReport } from "../wire/gen/cicadahitch.ts";
import type { Run } from "./run.ts";

/** Options of {@link Replicas}. */
export interface ReplicasOptions {
  clock: Clock;
  /** Returns the models that the engine has loaded, most recently loaded first. */
  loaded: () => readonly LoadedModel[];
  /** Returns the runs that have not ended. */
  liveRuns: () => Iterable<Run>;
}

/** A pending unload of a model. */
export interface PendingUnload {
  readonly model: LoadedModel;
  /** False once the unload was cancelled or replaced by a later one. */
  readonly isCurrent: boolean;
}

const IDLE_POLL_INTERVAL_MS = 50;

/** The models of one engine; a model that is being unloaded takes no new requests. */
export class Replicas {
  readonly #options: ReplicasOptions;
  readonly #unloading = new Map<string, PendingUnload>();
  readonly #loading = new Map<string, LoadedModel>();
  /** When the last hold on each model expires. */
  readonly #heldUntilMs = new Map<string, number>();

  private constructor(options: ReplicasOptions) {
    this.#options = options;
  }

  /**
   * @param options The clock, loaded models and live runs.
   * @returns A tracker without loads or unloads in progress.
   */
  static create(options: ReplicasOptions): Replicas {
    return new Replicas(options);
  }

  /**
   * Finds the loaded model that serves a request.
   *
   * @param wanted Model, adapter and weights version; an empty version matches any.
   * @param options Whether the request has a hold, which a model being unloaded still serves.
   * @returns The loaded model, or undefined if none can serve the request.
   */
  find(
    wanted: LoadedModel,
    { isHeld }: { isHeld: boolean },
  ): LoadedModel | undefined {
    return this.#options.loaded().find((each) =>
      each.model === wanted.model && each.adapter === wanted.adapter &&
      (wanted.weightsVersion === "" ||
        each.weightsVersion === wanted.weightsVersion) &&
      (isHeld || !this.#unloading.has(modelKey(each)))
    );
  }

  /**
   * Delays the unload of a model until a hold on it expires.
   *
   * @param model The model of the offer.
   * @param holdMs How long the hold is valid.
   */
  extendHold(model: LoadedModel, holdMs: number): void {
    const key = modelKey(model);
    const untilMs = this.#options.clock.nowMs() + holdMs;
    const currentMs = this.#heldUntilMs.get(key) ?? 0;
    this.#heldUntilMs.set(key, Math.max(currentMs, untilMs));
  }

  /**
   * Marks a model as being unloaded, so that it takes no new requests.
   *
   * @param model The model.
   * @returns The pending unload, which replaces an earlier one of the same model.
   */
  beginUnload(model: LoadedModel): PendingUnload {
    const key = modelKey(model);
    const unloading = this.#unloading;
    const pending: PendingUnload = {
      model,
      get isCurrent() {
        return unloading.get(key) === pending;
      },
    };
    unloading.set(key, pending);
    return pending;
  }

  /** @param pending An unload that was completed or refused. */
  endUnload(pending: PendingUnload): void {
    if (pending.isCurrent) this.#unloading.delete(modelKey(pending.model));
  }

  /** @param model The model whose pending unload is cancelled. */
  cancelUnload(model: LoadedModel): void {
    this.#unloading.delete(modelKey(model));
  }

  /**
   * Waits until a model has no runs or holds.
   *
   * @param pending The pending unload of the model.
   * @param signal Aborts the wait.
   * @returns True once the model is idle; false if the unload was cancelled or the wait aborted.
   */
  async waitUntilIdle(
    pending: PendingUnload,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock } = this.#options;
    while (pending.isCurrent && !signal.aborted) {
      if (!this.#isUsed(pending.model)) return true;
      await clock.sleep(IDLE_POLL_INTERVAL_MS, signal);
    }
    return false;
  }

  /**
   * Records the start or the end of a load.
   *
   * @param model The model.
   * @param isLoading Whether the model is being loaded.
   */
  setLoading(model: LoadedModel, isLoading: boolean): void {
    const key = modelKey(model);
    if (isLoading) this.#loading.set(key, model);
    else this.#loading.delete(key);
  }

  /** @returns Loaded and loading models with their phase and requests in flight. */
  report(): ReplicaReport[] {
    const loaded = this.#options.loaded();
    const loadedKeys = new Set(loaded.map(modelKey));
    const loading = [...this.#loading.values()].filter((model) =>
      !loadedKeys.has(modelKey(model))
    );
    return [
      ...loaded.map((model) => this.#describe(model, this.#phaseOf(model))),
      ...loading.map((model) => this.#describe(model, ReplicaPhase.LOADING)),
    ];
  }

  #phaseOf(model: LoadedModel): ReplicaPhase {
    return this.#unloading.has(modelKey(model))
      ? ReplicaPhase.UNLOADING
      : ReplicaPhase.READY;
  }

  #describe(model: LoadedModel, phase: ReplicaPhase): ReplicaReport {
    return { ...model, phase, inFlight: this.#countInFlight(model) };
  }

  #isUsed(model: LoadedModel): boolean {
    const key = modelKey(model);
    const heldUntilMs = this.#heldUntilMs.get(key) ?? 0;
    if (heldUntilMs > this.#options.clock.nowMs()) return true;
    this.#heldUntilMs.delete(key);
    return this.#countInFlight(model) > 0;
  }

  #countInFlight(model: LoadedModel): number {
    let count = 0;
    for (const { ask, weightsVersion } of this.#options.liveRuns()) {
      if (ask.model !== model.model || ask.adapter !== model.adapter) continue;
      if (weightsVersion === model.weightsVersion) count++;
    }
    return count;
  }
}
