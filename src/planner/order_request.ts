/** Orders to agents: their fencing numbers, messages and outcomes. */
import type { FencedLease } from "../lease/mod.ts";
import { OrderRequest } from "../wire/gen/cicadahitch.ts";
import type { Move } from "./pool_view.ts";

/** A move to order, and the lease under which it was planned. */
export interface PlannedOrder {
  move: Move;
  leaseKey: string;
  fencingNumber: bigint;
}

/** The outcome of an order. */
export type OrderOutcome =
  /** The agent is carrying out the order or has done so. */
  | { kind: "accepted" }
  /** The agent has seen orders of a later lease holder. */
  | { kind: "fenced"; highestFencingNumber: bigint }
  /** The weight store's rate limit refused a load. */
  | { kind: "rate_limited"; retryAfterMs: number }
  /** The agent refused the order. */
  | { kind: "refused"; message: string }
  /** No answer arrived; the agent may have carried out the order. */
  | { kind: "unknown"; message: string };

/**
 * @param lease The held lease.
 * @param move The move to order.
 * @returns The order with the lease's fencing number.
 */
export function createPlannedOrder(
  lease: FencedLease,
  move: Move,
): PlannedOrder {
  const { key: leaseKey, fencingNumber } = lease.state();
  return { move, leaseKey, fencingNumber };
}

/**
 * @param order An order.
 * @returns The message to send to the agent.
 */
export function toOrderRequest(order: PlannedOrder): OrderRequest {
  const { move, leaseKey, fencingNumber } = order;
  const value = { ...move.model };
  switch (move.kind) {
    case "load":
      return OrderRequest.create({
        leaseKey,
        fencingNumber,
        order: { $case: "loadModel", value },
      });
    case "unload":
      return OrderRequest.create({
        leaseKey,
        fencingNumber,
        order: { $case: "unloadModel", value },
      });
  }
}
