/** Moves that were ordered and that the agents' reports don't show yet. */
import type { Clock } from "../base/mod.ts";
import {
  modelKey,
  type Move,
  type PoolView,
  type Replica,
  ReplicaState,
  type ServerView,
} from "./pool_view.ts";

/** Time after which an order that doesn't show in the reports counts as lost. */
const PENDING_TIMEOUT_MS = 30_000;

interface PendingMove {
  move: Move;
  untilMs: number;
}

/** Applies pending orders to the reported state, so that no move is planned twice. */
export class PendingMoves {
  readonly #clock: Clock;
  #pending: PendingMove[] = [];

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock A clock.
   * @returns No pending moves.
   */
  static create(clock: Clock): PendingMoves {
    return new PendingMoves(clock);
  }

  /**
   * Adds a move.
   *
   * @param move A move that the agent may be carrying out.
   */
  add(move: Move): void {
    this.#pending.push({
      move,
      untilMs: this.#clock.nowMs() + PENDING_TIMEOUT_MS,
    });
  }

  /** Removes moves that the reports show by now or that have timed out. */
  prune(view: PoolView): void {
    const nowMs = this.#clock.nowMs();
    this.#pending = this.#pending.filter(({ move, untilMs }) =>
      nowMs < untilMs && !isReported(view, move)
    );
  }

  /**
   * @param view The pool as the agents report it.
   * @returns The pool with the pending moves applied.
   */
  overlay(view: PoolView): PoolView {
    const servers = view.servers.map((server) => this.#overlayServer(server));
    return { ...view, servers };
  }

  #overlayServer(server: ServerView): ServerView {
    const replicas = [...server.replicas];
    for (const { move } of this.#pending) {
      if (move.serverId === server.serverId) applyMove(replicas, move);
    }
    return { ...server, replicas };
  }
}

function applyMove(replicas: Replica[], move: Move): void {
  const index = replicaIndex(replicas, move);
  if (move.kind === "load") {
    const { model } = move;
    const loading = { model, state: ReplicaState.Loading, inFlight: 0 };
    if (index < 0) replicas.push(loading);
    return;
  }
  const held = replicas[index];
  if (held) replicas[index] = { ...held, state: ReplicaState.Unloading };
}

function isReported(view: PoolView, move: Move): boolean {
  const server = view.servers.find(({ serverId }) =>
    serverId === move.serverId
  );
  if (!server) return true;
  const held = server.replicas[replicaIndex(server.replicas, move)];
  if (move.kind === "load") return held !== undefined;
  return held === undefined || held.state === ReplicaState.Unloading;
}

function replicaIndex(replicas: Replica[], move: Move): number {
  const key = modelKey(move.model);
  return replicas.findIndex(({ model }) => modelKey(model) === key);
}
