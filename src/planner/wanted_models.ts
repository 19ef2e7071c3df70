/** What the teams' branches want of a pool. */
import type { BranchInForce } from "../config/branch_set.ts";
import type { LoadedModel } from "../backends/engine.ts";
import { modelKey, type WantedModel } from "./pool_view.ts";

/** Replicas kept of an adapter whose model has a minimum of at least that. */
const MIN_ADAPTER_REPLICAS = 1;

/**
 * @param branches Branches in force.
 * @param pool The pool.
 * @returns Each model, adapter and version once, with the highest minimum of all teams.
 */
export function wantedModels(
  branches: BranchInForce[],
  pool: string,
): WantedModel[] {
  const wanted = new Map<string, WantedModel>();
  const want = (model: LoadedModel, minReplicas: number) => {
    const known = wanted.get(modelKey(model));
    const highest = Math.max(minReplicas, known?.minReplicas ?? 0);
    wanted.set(modelKey(model), { model, minReplicas: highest });
  };
  for (const { branch } of branches) {
    for (const [model, settings] of Object.entries(branch?.models ?? {})) {
      if (settings.pool !== pool) continue;
      const { weightsVersion, minReplicas, adapters } = settings;
      want({ model, adapter: "", weightsVersion }, minReplicas);
      const minAdapters = Math.min(minReplicas, MIN_ADAPTER_REPLICAS);
      for (const [adapter, { weightsVersion }] of Object.entries(adapters)) {
        want({ model, adapter, weightsVersion }, minAdapters);
      }
    }
  }
  return [...wanted.values()];
}
