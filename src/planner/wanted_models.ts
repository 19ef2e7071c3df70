/** Collects the models that the teams' branches want in a pool. */
import type { BranchRecord } from "../config/branch_set.ts";
import type { LoadedModel } from "../backends/engine.ts";
import { modelKey, type WantedModel } from "./pool_view.ts";

/** Minimum replicas of an adapter, unless the minimum of its model is lower. */
const MIN_ADAPTER_REPLICAS = 1;

/**
 * @param branches The branches in force.
 * @param pool Name of the pool.
 * @returns Each model, adapter and version once, with the highest minimum of all teams.
 */
export function wantedModels(
  branches: BranchRecord[],
  pool: string,
): WantedModel[] {
  const wanted = new Map<string, WantedModel>();
  const addWanted = (model: LoadedModel, minReplicas: number) => {
    const existing = wanted.get(modelKey(model));
    const highest = Math.max(minReplicas, existing?.minReplicas ?? 0);
    wanted.set(modelKey(model), { model, minReplicas: highest });
  };
  for (const { branch } of branches) {
    for (const [model, settings] of Object.entries(branch?.models ?? {})) {
      if (settings.pool !== pool) continue;
      const { weightsVersion, minReplicas, adapters } = settings;
      addWanted({ model, adapter: "", weightsVersion }, minReplicas);
      const minAdapters = Math.min(minReplicas, MIN_ADAPTER_REPLICAS);
      for (const [adapter, { weightsVersion }] of Object.entries(adapters)) {
        addWanted({ model, adapter, weightsVersion }, minAdapters);
      }
    }
  }
  return [...wanted.values()];
}
