/** A pool whose servers carry out moves in two steps; for tests. */
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
 * @returns A model without adapter.
 */
export function testModel(name: string, version: string): LoadedModel {
  return { model: name, adapter: "", weightsVersion: version };
}

/**
 * @param index Number of the server.
 * @param changes What differs from an empty server with two slots.
 * @returns A server.
 */
export function testServer(
  index: number,
  changes: Partial<ServerView> = {},
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
    ...changes,
  };
}

/**
 * @param model A model.
 * @param inFlight Its requests.
 * @returns A ready replica.
 */
export function readyReplica(model: LoadedModel, inFlight = 0): Replica {
  return { model, state: ReplicaState.Ready, inFlight };
}

/**
 * Gives a move to its server, which starts on it.
 *
 * @param view The pool; changed.
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
    throw new RangeError("Expected a free slot and a model not held");
  }
  const { model } = move;
  server.replicas.push({ model, state: ReplicaState.Loading, inFlight: 0 });
}

/**
 * Ends every load and unload.
 *
 * @param view The pool; changed.
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
 * @param accept Which models to count.
 * @returns Ready replicas.
 */
export function countReady(
  view: PoolView,
  accept: (model: LoadedModel) => boolean,
): number {
  return view.servers.flatMap(({ replicas }) => replicas)
    .filter(({ state, model }) => state === ReplicaState.Ready && accept(model))
    .length;
}
