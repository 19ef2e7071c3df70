/** Test helpers: a pool whose servers first start a move and finish it later. */
import type { LoadedModel } from "../backends/engine.ts";
import {
  modelKey,
  type Move,
  type PoolView,
  type Replica,
  ReplicaState,
  type ServerView,
} from "./pool_view.ts";

/**
 * @param name Model name.
 * @param version Weights version.
 * @returns A model without an adapter.
 */
export function testModel(name: string, version: string): LoadedModel {
  return { model: name, adapter: "", weightsVersion: version };
}

/**
 * @param index Index of the server.
 * @param overrides Fields that differ from those of an empty server with two slots.
 * @returns A server.
 */
export function testServer(
  index: number,
  overrides: Partial<ServerView> = {},
): ServerView {
  return {
    serverId: `s${index}`,
    address: `127.0.0.1:${7000 + index}`,
    zone: `z${index % 3}`,
    leaving: false,
    ageMs: 0,
    slots: 2,
    maxRunning: 8,
    replicas: [],
    ...overrides,
  };
}

/**
 * @param model A model.
 * @param inFlight Its requests in flight.
 * @returns A ready replica.
 */
export function readyReplica(model: LoadedModel, inFlight = 0): Replica {
  return { model, state: ReplicaState.Ready, inFlight };
}

/**
 * Starts a move on its server.
 *
 * @param view The pool; modified.
 * @param move The move.
 */
export function startMove(view: PoolView, move: Move): void {
  const server = view.servers.find(({ serverId }) =>
    serverId === move.serverId
  )!;
  const key = modelKey(move.model);
  const held = server.replicas.find(({ model }) => modelKey(model) === key);
  if (move.kind === "unload") {
    if (held) held.state = ReplicaState.Unloading;
    return;
  }
  if (held || server.replicas.length >= server.slots) {
    throw new RangeError(
      "Expected a free slot and a model that is not on the server",
    );
  }
  const { model } = move;
  server.replicas.push({ model, state: ReplicaState.Loading, inFlight: 0 });
}

/**
 * Finishes every load and unload in progress.
 *
 * @param view The pool; modified.
 */
export function finishMoves(view: PoolView): void {
  for (const server of view.servers) {
    server.replicas = server.replicas.filter(({ state }) =>
      state !== ReplicaState.Unloading
    );
    for (const replica of server.replicas) replica.state = ReplicaState.Ready;
  }
}

/**
 * @param view The pool.
 * @param matches Selects the models to count.
 * @returns Number of their ready replicas.
 */
export function countReady(
  view: PoolView,
  matches: (model: LoadedModel) => boolean,
): number {
  return view.servers.flatMap(({ replicas }) => replicas)
    .filter(({ state, model }) =>
      state === ReplicaState.Ready && matches(model)
    )
    .length;
}
