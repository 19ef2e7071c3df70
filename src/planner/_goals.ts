/** Computes how many replicas each wanted model should have. */
import {
  familyKey,
  modelKey,
  type PoolView,
  type ServerView,
  type WantedModel,
} from "./pool_view.ts";

/** Utilization of the present replicas above which a replica is added. */
const SCALE_UP_UTILIZATION = 0.7;
/** A replica is surplus if the utilization of the others would stay below this. */
const SCALE_DOWN_UTILIZATION = 0.4;
/** A server whose last report is older is not used for planning. */
const MAX_REPORT_AGE_MS = 30_000;

/** Numbers of replicas that a wanted model should have. */
export interface ReplicaGoal extends WantedModel {
  key: string;
  family: string;
  /** Replicas that the demand and the minimum require; replicas are added below this number. */
  neededReplicas: number;
  /** Replicas above this number are surplus and may be unloaded. */
  maxReplicas: number;
}

/**
 * @param server A server.
 * @returns Whether it takes part in planning: it isn't leaving and reported recently.
 */
export function isUsable(server: ServerView): boolean {
  return !server.leaving && server.ageMs <= MAX_REPORT_AGE_MS;
}

/**
 * @param view The pool.
 * @param wanted Models that the teams' branches want in the pool.
 * @returns A goal for each wanted model, in the order of `wanted`.
 */
export function computeGoals(
  view: PoolView,
  wanted: WantedModel[],
): ReplicaGoal[] {
  const servers = view.servers.filter(isUsable);
  const perReplica = meanOf(servers.map((server) => server.maxRunning));
  const demands = demandByFamily(view);
  return wanted.map(({ model, minReplicas }) => {
    const demand = demands.get(familyKey(model)) ?? 0;
    const clamp = (count: number) =>
      Math.min(servers.length, Math.max(minReplicas, count));
    return {
      model,
      key: modelKey(model),
      family: familyKey(model),
      minReplicas: clamp(0),
      neededReplicas: clamp(
        replicasAt(demand, perReplica * SCALE_UP_UTILIZATION),
      ),
      maxReplicas: clamp(
        replicasAt(demand, perReplica * SCALE_DOWN_UTILIZATION),
      ),
    };
  });
}

function demandByFamily(view: PoolView): Map<string, number> {
  const demands = new Map<string, number>();
  const add = (family: string, inFlight: number) =>
    demands.set(family, (demands.get(family) ?? 0) + inFlight);
  for (const { replicas } of view.servers) {
    for (const { model, inFlight } of replicas) {
      add(familyKey(model), inFlight);
    }
  }
  for (const unserved of view.unserved) {
    add(familyKey(unserved), unserved.inFlight);
  }
  return demands;
}

function replicasAt(demand: number, perReplica: number): number {
  return perReplica > 0 ? Math.ceil(demand / perReplica) : 0;
}

function meanOf(values: number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}
