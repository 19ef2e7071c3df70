/** A request that is offered to an admission queue, and what becomes of it. */
import type { FlowId } from "./flow.ts";

/** A request before its first send. */
export interface OfferedRequest extends FlowId {
  /** Size in units of room. */
  units: number;
  /** Until when it must be answered. */
  deadlineAtMs: number;
  /** Time that its answer takes after it has given back its room; 0 if unknown. */
  outputMs: number;
  /** Size of its body, which is held in memory while it waits. */
  bodyBytes: number;
}

/** Why a request was refused. */
export const RefusedBecause = {
  /** At once, as it can't be served in time. */
  noRoom: "no_room",
  /** After waiting. */
  waited: "waited",
} as const;

/** One of {@link RefusedBecause}. */
export type RefusedBecause = typeof RefusedBecause[keyof typeof RefusedBecause];

/** Right to send one request. */
export interface Permit extends FlowId {
  readonly units: number;
  readonly admittedAtMs: number;
}

/** Final decision about a request. */
export type Settlement =
  | { kind: "admitted"; permit: Permit }
  | { kind: "refused"; reason: RefusedBecause; retryAfterMs: number };

/** Decision about a request when it is offered. */
export type Offer = Settlement | { kind: "waiting"; ticket: Ticket };

/** A request that waits. */
export interface WaitingRequest extends OfferedRequest {
  readonly offeredAtMs: number;
  /** Estimate of its wait when it was offered. */
  expectedMs: number;
  readonly ticket: Ticket;
}

/** Receives the decision about a request that waits. */
export class Ticket {
  #settlement: Settlement | undefined;
  #listener: ((settlement: Settlement) => void) | undefined;

  private constructor() {}

  /** @returns A ticket without a decision. */
  static create(): Ticket {
    return new Ticket();
  }

  /** The decision, once there is one. */
  get settlement(): Settlement | undefined {
    return this.#settlement;
  }

  /** @param listener Called once with the decision. */
  onSettled(listener: (settlement: Settlement) => void): void {
    if (this.#settlement) listener(this.#settlement);
    else this.#listener = listener;
  }

  /** @param settlement The decision; a later one is ignored. */
  settle(settlement: Settlement): void {
    if (this.#settlement) return;
    this.#settlement = settlement;
    this.#listener?.(settlement);
  }
}
