/** Plans which backend server loads which model, adapter and version. */
export { DemandMeter } from "./demand_meter.ts";
export { MoveBudget, type MoveBudgetOptions } from "./move_budget.ts";
export {
  createPlannedOrder,
  type OrderOutcome,
  type PlannedOrder,
  toOrderRequest,
} from "./order_request.ts";
export { PendingMoves } from "./pending_moves.ts";
export { planMoves } from "./plan_moves.ts";
export {
  MAX_LEASE_CANDIDATES,
  PLANNER_DEFAULTS,
  type PlannerPorts,
  type PlannerState,
  PoolPlanner,
  type PoolPlannerOptions,
  type ViewFailure,
} from "./pool_planner.ts";
export {
  familyKey,
  modelKey,
  type Move,
  type MoveAllowance,
  type PoolView,
  type Replica,
  ReplicaState,
  type ServerView,
  type UnservedDemand,
  type WantedModel,
} from "./pool_view.ts";
export { wantedModels } from "./wanted_models.ts";
