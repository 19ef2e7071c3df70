/**
 * Plans which server loads which model, adapter and version. The plan is a pure function of the
 * agents' reports, so that a new lease holder needs no stored plan.
 *
 * Loads are planned first, for minimum replicas and then for demand. Surplus replicas are unloaded
 * only to free slots. Replicas of an old version are unloaded once the new version has its needed
 * replicas, or to free slots for it, at most a quarter of the needed replicas at a time. No unload
 * leaves a model with fewer ready replicas than its minimum, so rolling out a version on servers
 * with one slot requires one server more than the minimum.
 */
import { PoolDraft } from "./_pool_draft.ts";
import type { ReplicaGoal } from "./_goals.ts";
import type {
  Move,
  MoveAllowance,
  PoolView,
  WantedModel,
} from "./pool_view.ts";

/**
 * @param view The pool as the agents report it.
 * @param wanted Models that the teams' branches want in the pool.
 * @param allowance Number of moves that may be ordered now.
 * @returns Moves to order now, most urgent first; empty if none is needed or possible.
 */
export function planMoves(
  view: PoolView,
  wanted: WantedModel[],
  allowance: MoveAllowance,
): Move[] {
  const draft = PoolDraft.create(view, wanted, allowance);
  loadUpTo(draft, (goal) => goal.minReplicas);
  loadUpTo(draft, (goal) => goal.neededReplicas);
  for (const replica of draft.staleReplicas()) {
    if (draft.isSuperseded(replica)) draft.unload(replica);
  }
  return draft.moves;
}

/** Adds replicas round-robin, one per model and round, so that no model waits for another. */
function loadUpTo(
  draft: PoolDraft,
  countOf: (goal: ReplicaGoal) => number,
): void {
  let unfinished = draft.goals.filter((goal) =>
    draft.presentReplicas(goal) < countOf(goal)
  );
  while (unfinished.length > 0) {
    unfinished = unfinished.filter((goal) =>
      tryAddReplica(draft, goal) && draft.presentReplicas(goal) < countOf(goal)
    );
  }
}

/**
 * Loads a replica, or else tries to free a slot for it. Returns false if the model has to wait for
 * a later plan.
 */
function tryAddReplica(draft: PoolDraft, goal: ReplicaGoal): boolean {
  if (draft.load(goal)) return true;
  draft.freeSlotFor(goal);
  return false;
}
