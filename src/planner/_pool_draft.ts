/** A pool with the planned moves applied. Enforces the rules that each single move must meet. */
import { computeGoals, isUsable, type ReplicaGoal } from "./_goals.ts";
import {
  familyKey,
  modelKey,
  type Move,
  type MoveAllowance,
  type PoolView,
  type Replica,
  ReplicaState,
  type ServerView,
  type WantedModel,
} from "./pool_view.ts";

/**
 * Share of a model's needed replicas that must stay ready while slots are freed for a new version.
 */
const MIN_READY_SHARE_IN_ROLL = 0.75;

/** A replica and its server. */
export interface PlacedReplica {
  server: DraftServer;
  replica: Replica;
  key: string;
  family: string;
}

interface DraftServer {
  view: ServerView;
  /** Slots that are neither in use nor reserved by planned loads. */
  freeSlots: number;
  /** Keys of the models that are on the server or planned to be loaded. */
  heldKeys: Set<string>;
  loading: boolean;
}

/** The state of a pool during planning. */
export class PoolDraft {
  readonly moves: Move[] = [];
  readonly goals: ReplicaGoal[];
  readonly #allowance: MoveAllowance;
  readonly #servers: DraftServer[];
  readonly #replicas: PlacedReplica[];
  readonly #goalByKey: Map<string, ReplicaGoal>;
  readonly #readyByKey = new Map<string, number>();
  readonly #readyByFamily = new Map<string, number>();
  readonly #presentByKey = new Map<string, number>();
  #loads = 0;
  /** Slots that pending unloads will free and that are not reserved for a model yet. */
  #pendingFreeSlots = 0;

  private constructor(
    view: PoolView,
    wanted: WantedModel[],
    allowance: MoveAllowance,
  ) {
    this.#allowance = allowance;
    this.goals = computeGoals(view, wanted);
    this.#goalByKey = new Map(this.goals.map((goal) => [goal.key, goal]));
    this.#servers = view.servers.filter(isUsable).map(draftServer);
    this.#replicas = this.#servers.flatMap(placedReplicas);
    for (const placed of this.#replicas) this.#countReplica(placed);
  }

  /** Creates a draft without moves; see `planMoves` for the parameters. */
  static create(
    view: PoolView,
    wanted: WantedModel[],
    allowance: MoveAllowance,
  ): PoolDraft {
    return new PoolDraft(view, wanted, allowance);
  }

  /**
   * @param goal A wanted model.
   * @returns Number of its replicas that are ready, loading or planned.
   */
  presentReplicas(goal: ReplicaGoal): number {
    return this.#presentByKey.get(goal.key) ?? 0;
  }

  /** @returns Ready replicas of old versions, fewest requests in flight first. */
  staleReplicas(): PlacedReplica[] {
    const families = new Set(this.goals.map((goal) => goal.family));
    return this.#readyByLoad((placed) =>
      !this.#goalByKey.has(placed.key) && families.has(placed.family)
    );
  }

  /**
   * @param placed A replica of an old version.
   * @returns Whether every wanted version of the model has its needed replicas ready.
   */
  isSuperseded(placed: PlacedReplica): boolean {
    return this.goals.every((goal) =>
      goal.family !== placed.family ||
      this.#readyCount(goal.key) >= goal.neededReplicas
    );
  }

  /**
   * Plans to load one replica on the best server with a free slot.
   *
   * @returns False if no server is suitable or the allowance is used up.
   */
  load(goal: ReplicaGoal): boolean {
    if (this.#loads >= this.#allowance.maxLoads || this.#isAllowanceUsedUp()) {
      return false;
    }
    const server = this.#bestServerFor(goal);
    if (!server) return false;
    server.freeSlots--;
    server.loading = true;
    server.heldKeys.add(goal.key);
    addTo(this.#presentByKey, goal.key, 1);
    this.#loads++;
    this.moves.push(createMove("load", server, goal.model));
    return true;
  }

  /** Plans to unload the least wanted replica, unless a slot is free or being freed already. */
  freeSlotFor(goal: ReplicaGoal): void {
    if (this.#hasFreeSlot(goal)) return;
    if (this.#pendingFreeSlots > 0) {
      this.#pendingFreeSlots--;
      return;
    }
    const evictable = this.#findEvictable(goal);
    if (evictable) this.unload(evictable);
  }

  /**
   * Plans to unload a replica if enough ready ones remain.
   *
   * @returns Whether the unload was planned.
   */
  unload(placed: PlacedReplica): boolean {
    if (this.#isAllowanceUsedUp() || !this.#mayUnload(placed)) return false;
    placed.replica = { ...placed.replica, state: ReplicaState.Unloading };
    addTo(this.#readyByKey, placed.key, -1);
    addTo(this.#readyByFamily, placed.family, -1);
    addTo(this.#presentByKey, placed.key, -1);
    this.moves.push(createMove("unload", placed.server, placed.replica.model));
    return true;
  }

  #countReplica({ key, family, replica }: PlacedReplica): void {
    switch (replica.state) {
      case ReplicaState.Ready:
        addTo(this.#readyByKey, key, 1);
        addTo(this.#readyByFamily, family, 1);
        addTo(this.#presentByKey, key, 1);
        return;
      case ReplicaState.Loading:
        addTo(this.#presentByKey, key, 1);
        return;
      case ReplicaState.Unloading:
        this.#pendingFreeSlots++;
        return;
    }
  }

  #isAllowanceUsedUp(): boolean {
    return this.moves.length >= this.#allowance.maxMoves;
  }

  #readyCount(key: string): number {
    return this.#readyByKey.get(key) ?? 0;
  }

  #hasFreeSlot(goal: ReplicaGoal): boolean {
    return this.#servers.some((server) =>
      server.freeSlots > 0 && !server.heldKeys.has(goal.key)
    );
  }

  #bestServerFor(goal: ReplicaGoal): DraftServer | undefined {
    const replicasByZone = this.#replicasByZone(goal);
    let best: DraftServer | undefined;
    let bestCost = Infinity;
    for (const server of this.#servers) {
      if (server.freeSlots <= 0 || server.loading) continue;
      if (server.heldKeys.has(goal.key)) continue;
      const cost = placementCost(server, goal, replicasByZone);
      if (cost >= bestCost) continue;
      best = server;
      bestCost = cost;
    }
    return best;
  }

  #replicasByZone(goal: ReplicaGoal): Map<string, number> {
    const counts = new Map<string, number>();
    for (const server of this.#servers) {
      if (server.heldKeys.has(goal.key)) addTo(counts, server.view.zone, 1);
    }
    return counts;
  }

  /**
   * Finds a replica to unload: first of a model that isn't wanted, then of an old version, then a
   * surplus one; among these, the one with the fewest requests in flight.
   */
  #findEvictable(goal: ReplicaGoal): PlacedReplica | undefined {
    const families = new Set(this.goals.map(({ family }) => family));
    const rank = (placed: PlacedReplica) =>
      this.#goalByKey.has(placed.key) ? 2 : families.has(placed.family) ? 1 : 0;
    return this.#readyByLoad((placed) =>
      !placed.server.heldKeys.has(goal.key) && this.#mayUnload(placed) &&
      this.#leavesEnoughDuringRoll(placed)
    ).sort((a, b) => rank(a) - rank(b))[0];
  }

  /** Ready replicas that `accept` selects, fewest requests in flight first. */
  #readyByLoad(accept: (placed: PlacedReplica) => boolean): PlacedReplica[] {
    return this.#replicas
      .filter((placed) => placed.replica.state === ReplicaState.Ready)
      .filter(accept)
      .sort((a, b) => a.replica.inFlight - b.replica.inFlight);
  }

  #mayUnload(placed: PlacedReplica): boolean {
    if (placed.replica.state !== ReplicaState.Ready) return false;
    const goal = this.#goalByKey.get(placed.key);
    if (goal && this.#readyCount(placed.key) <= goal.maxReplicas) return false;
    const readyAfter = this.#readyInFamily(placed) - 1;
    return readyAfter >=
      this.#sumOverFamily(placed, (related) => related.minReplicas);
  }

  #leavesEnoughDuringRoll(placed: PlacedReplica): boolean {
    const minReady = this.#sumOverFamily(
      placed,
      (related) => Math.floor(related.neededReplicas * MIN_READY_SHARE_IN_ROLL),
    );
    return this.#readyInFamily(placed) - 1 >= minReady;
  }

  #readyInFamily(placed: PlacedReplica): number {
    return this.#readyByFamily.get(placed.family) ?? 0;
  }

  #sumOverFamily(
    placed: PlacedReplica,
    count: (goal: ReplicaGoal) => number,
  ): number {
    let sum = 0;
    for (const goal of this.goals) {
      if (goal.family === placed.family) sum += count(goal);
    }
    return sum;
  }
}

function draftServer(view: ServerView): DraftServer {
  return {
    view,
    freeSlots: view.slots - view.replicas.length,
    heldKeys: new Set(view.replicas.map(({ model }) => modelKey(model))),
    loading: view.replicas.some(({ state }) => state === ReplicaState.Loading),
  };
}

function placedReplicas(server: DraftServer): PlacedReplica[] {
  return server.view.replicas.map((replica) => ({
    server,
    replica,
    key: modelKey(replica.model),
    family: familyKey(replica.model),
  }));
}

/**
 * Ranks servers for a load, lower is better. In order of weight: the server has the adapter's base
 * model, its zone has few replicas of the model, it has few replicas, it is idle.
 */
function placementCost(
  { view }: DraftServer,
  goal: ReplicaGoal,
  replicasByZone: Map<string, number>,
): number {
  const { model, adapter } = goal.model;
  const lacksBase = adapter !== "" &&
    !view.replicas.some((replica) =>
      replica.model.model === model && replica.model.adapter === ""
    );
  const inFlight = view.replicas.reduce((sum, next) => sum + next.inFlight, 0);
  const utilization = inFlight / (inFlight + view.maxRunning + 1);
  const replicasInZone = replicasByZone.get(view.zone) ?? 0;
  return (lacksBase ? 1e9 : 0) + replicasInZone * 1e4 + view.replicas.length +
    utilization;
}

function createMove(
  kind: Move["kind"],
  { view }: DraftServer,
  model: Move["model"],
): Move {
  return { kind, serverId: view.serverId, address: view.address, model };
}

function addTo(counts: Map<string, number>, key: string, by: number): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}
