/** The engine's models, and which of them take requests: none that is to be unloaded. */
import type { Clock } from "../base/mod.ts";
import { modelKey } from "../planner/pool_view.ts";
import type { LoadedModel } from "../backends/engine.ts";
import { ReplicaPhase, type ReplicaReport } from "../wire/gen/cicadahitch.ts";
import type { Run } from "./run.ts";

/** What {@link Replicas} is made from. */
export interface ReplicasOptions {
  clock: Clock;
  /** What the engine has loaded, the last one first. */
  loaded: () => readonly LoadedModel[];
  /** Runs that have not ended. */
  liveRuns: () => Iterable<Run>;
}

/** A model that is to be unloaded. */
export interface Retirement {
  readonly model: LoadedModel;
  /** False once the model is to stay, or another order to unload it came. */
  readonly isWanted: boolean;
}

const IDLE_POLL_MS = 50;

/** Models of one engine. */
export class Replicas {
  readonly #options: ReplicasOptions;
  readonly #retiring = new Map<string, Retirement>();
  readonly #loading = new Map<string, LoadedModel>();
  /** Until when an offer may be taken up, by model. */
  readonly #heldUntilMs = new Map<string, number>();

  private constructor(options: ReplicasOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, models and runs.
   * @returns Replicas that all take requests.
   */
  static create(options: ReplicasOptions): Replicas {
    return new Replicas(options);
  }

  /**
   * @param wanted Model, adapter and version; an empty version: any.
   * @param options True: a place was kept, so that a model to be unloaded serves it too.
   * @returns What serves a request for it.
   */
  find(
    wanted: LoadedModel,
    { isHeld }: { isHeld: boolean },
  ): LoadedModel | undefined {
    return this.#options.loaded().find((each) =>
      each.model === wanted.model && each.adapter === wanted.adapter &&
      (wanted.weightsVersion === "" ||
        each.weightsVersion === wanted.weightsVersion) &&
      (isHeld || !this.#retiring.has(modelKey(each)))
    );
  }

  /**
   * @param model A model that was offered.
   * @param holdMs How long the offer holds.
   */
  noteHold(model: LoadedModel, holdMs: number): void {
    const key = modelKey(model);
    const untilMs = this.#options.clock.nowMs() + holdMs;
    const knownMs = this.#heldUntilMs.get(key) ?? 0;
    this.#heldUntilMs.set(key, Math.max(knownMs, untilMs));
  }

  /**
   * Takes no more requests for a model.
   *
   * @param model The model.
   * @returns What is to become of it; an earlier retirement is no longer wanted.
   */
  retire(model: LoadedModel): Retirement {
    const key = modelKey(model);
    const retiring = this.#retiring;
    const retirement: Retirement = {
      model,
      get isWanted() {
        return retiring.get(key) === retirement;
      },
    };
    retiring.set(key, retirement);
    return retirement;
  }

  /** @param retirement Is over: the model is gone, or takes requests again. */
  endRetirement(retirement: Retirement): void {
    if (retirement.isWanted) this.#retiring.delete(modelKey(retirement.model));
  }

  /** @param model Takes requests again, if it is still there. */
  keep(model: LoadedModel): void {
    this.#retiring.delete(modelKey(model));
  }

  /**
   * @param retirement A model that takes no new requests.
   * @param signal Ends the wait.
   * @returns True once nobody uses the model; false: it is to stay.
   */
  async whenIdle(
    retirement: Retirement,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock } = this.#options;
    while (retirement.isWanted && !signal.aborted) {
      if (!this.#isUsed(retirement.model)) return true;
      await clock.sleep(IDLE_POLL_MS, signal);
    }
    return false;
  }

  /**
   * @param model Is being loaded.
   * @param isLoading Whether it still is.
   */
  setLoading(model: LoadedModel, isLoading: boolean): void {
    const key = modelKey(model);
    if (isLoading) this.#loading.set(key, model);
    else this.#loading.delete(key);
  }

  /** @returns What is held, with the requests running and waiting for it. */
  report(): ReplicaReport[] {
    const loaded = this.#options.loaded();
    const known = new Set(loaded.map(modelKey));
    const loading = [...this.#loading.values()].filter((model) =>
      !known.has(modelKey(model))
    );
    return [
      ...loaded.map((model) => this.#describe(model, this.#phaseOf(model))),
      ...loading.map((model) => this.#describe(model, ReplicaPhase.LOADING)),
    ];
  }

  #phaseOf(model: LoadedModel): ReplicaPhase {
    return this.#retiring.has(modelKey(model))
      ? ReplicaPhase.UNLOADING
      : ReplicaPhase.READY;
  }

  #describe(model: LoadedModel, phase: ReplicaPhase): ReplicaReport {
    return { ...model, phase, inFlight: this.#inFlight(model) };
  }

  #isUsed(model: LoadedModel): boolean {
    const key = modelKey(model);
    const heldUntilMs = this.#heldUntilMs.get(key) ?? 0;
    if (heldUntilMs > this.#options.clock.nowMs()) return true;
    this.#heldUntilMs.delete(key);
    return this.#inFlight(model) > 0;
  }

  #inFlight(model: LoadedModel): number {
    let count = 0;
    for (const { ask, weightsVersion } of this.#options.liveRuns()) {
      if (ask.model !== model.model || ask.adapter !== model.adapter) continue;
      if (weightsVersion === model.weightsVersion) count++;
    }
    return count;
  }
}
