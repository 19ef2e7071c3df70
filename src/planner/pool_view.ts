/** What a planner sees of a pool, and the moves it can decide on. */
import type { LoadedModel } from "../backends/engine.ts";

/** States of a model on a server. */
export const ReplicaState = {
  Loading: "loading",
  Ready: "ready",
  Unloading: "unloading",
} as const;
/** One of {@link ReplicaState}. */
export type ReplicaState = (typeof ReplicaState)[keyof typeof ReplicaState];

/** A model on one server, as the agent reports it. */
export interface Replica {
  model: LoadedModel;
  state: ReplicaState;
  /** Requests running and waiting for it. */
  inFlight: number;
}

/** One backend server, as its agent reports it. */
export interface ServerView {
  serverId: string;
  /** `ip:port` of the agent. */
  address: string;
  zone: string;
  leaving: boolean;
  /** How long ago the agent reported. */
  ageMs: number;
  /** Models it can hold at once. */
  slots: number;
  /** Requests it runs at once. */
  maxRunning: number;
  replicas: Replica[];
}

/** Demand that no server took, learned from refusals in own traffic. */
export interface UnservedDemand {
  model: string;
  adapter: string;
  /** Requests that would be in flight if they had been taken. */
  inFlight: number;
}

/** A pool at one moment. */
export interface PoolView {
  servers: ServerView[];
  unserved: UnservedDemand[];
}

/** A model that the teams' branches name for a pool. */
export interface WantedModel {
  model: LoadedModel;
  minReplicas: number;
}

/** One order to one server. */
export interface Move {
  kind: "load" | "unload";
  serverId: string;
  address: string;
  model: LoadedModel;
}

/** How many moves a plan may have. */
export interface MoveAllowance {
  /** Loads and unloads. */
  maxMoves: number;
  /** Loads among them. */
  maxLoads: number;
}

/**
 * @param model A model.
 * @returns A key that is equal for equal model, adapter and version only.
 */
export function modelKey(model: LoadedModel): string {
  return JSON.stringify([model.model, model.adapter, model.weightsVersion]);
}

/**
 * @param model A model of any version.
 * @returns A key that is equal for all versions of one model and adapter.
 */
export function familyKey(model: { model: string; adapter: string }): string {
  return JSON.stringify([model.model, model.adapter]);
}
