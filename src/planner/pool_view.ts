/** The state of a pool as a planner sees it, and the moves that it can plan. */
import type { LoadedModel } from "../backends/engine.ts";

/** State of a model on a server. */
export const ReplicaState = {
  Loading: "loading",
  Ready: "ready",
  Unloading: "unloading",
} as const;
/** One of {@link ReplicaState}. */
export type ReplicaState = (typeof ReplicaState)[keyof typeof ReplicaState];

/** A model on one server, as its agent reports it. */
export interface Replica {
  model: LoadedModel;
  state: ReplicaState;
  /** Requests that run on it or wait for it. */
  inFlight: number;
}

/** One backend server, as its agent reports it. */
export interface ServerView {
  serverId: string;
  /** `ip:port` of the agent. */
  address: string;
  zone: string;
  leaving: boolean;
  /** Age of the agent's last report. */
  ageMs: number;
  /** Number of models that the server can hold at once. */
  slots: number;
  /** Number of requests that the server can run at once. */
  maxRunning: number;
  replicas: Replica[];
}

/** Demand that no server accepted, estimated from refusals in the entry's own traffic. */
export interface UnservedDemand {
  model: string;
  adapter: string;
  /** Requests that would be in flight if servers had accepted them. */
  inFlight: number;
}

/** Snapshot of a pool. */
export interface PoolView {
  servers: ServerView[];
  unserved: UnservedDemand[];
}

/** A model that the teams' branches want in a pool. */
export interface WantedModel {
  model: LoadedModel;
  minReplicas: number;
}

/** A load or unload of a model on one server. */
export interface Move {
  kind: "load" | "unload";
  serverId: string;
  address: string;
  model: LoadedModel;
}

/** Bounds on the moves of a plan. */
export interface MoveAllowance {
  /** Loads and unloads together. */
  maxMoves: number;
  /** Loads only. */
  maxLoads: number;
}

/**
 * @param model A model.
 * @returns A key that identifies the model, adapter and version.
 */
export function modelKey(model: LoadedModel): string {
  return JSON.stringify([model.model, model.adapter, model.weightsVersion]);
}

/**
 * @param model A model of any version.
 * @returns A key that identifies the model and adapter, equal for all versions.
 */
export function familyKey(model: { model: string; adapter: string }): string {
  return JSON.stringify([model.model, model.adapter]);
}
