/**
 * Manages one pool: acquires its lease, plans moves from the agents' reports and orders them. Runs
 * in the background, outside the request path: without the store or the lease, no moves are
 * ordered.
 *
 * Store calls: the lease holder renews the lease about 12 to 15 times a minute, each of the other
 * {@link MAX_LEASE_CANDIDATES} candidates reads it at least twice a minute, and other entries make
 * no calls.
 */
import type { Result } from "true-myth";
import type { Clock, Logger } from "../base/mod.ts";
import { FencedLease, type LeaseState, rankProcesses } from "../lease/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import { MoveBudget } from "./move_budget.ts";
import {
  createPlannedOrder,
  type OrderOutcome,
  type PlannedOrder,
} from "./order_request.ts";
import { PendingMoves } from "./pending_moves.ts";
import { planMoves } from "./plan_moves.ts";
import type { Move, PoolView, WantedModel } from "./pool_view.ts";

/** Number of entries that try to acquire a pool's lease. */
export const MAX_LEASE_CANDIDATES = 3;
const LEASE_PREFIX = "/cicadahitch/leases/pools/";
/** Longest time between two attempts to acquire the lease. */
const ACQUIRE_INTERVAL_MS = 30_000;
/** Largest share by which jitter shortens or lengthens a time. */
const JITTER_SHARE = 0.5;

/** The reason why the agents' reports are unavailable. */
export type ViewFailure = { kind: "unavailable"; message: string };

/** Functions that the surrounding process provides to a planner. */
export interface PlannerPorts {
  /** Collects the current reports of the pool's agents. */
  readView(signal: AbortSignal): Promise<Result<PoolView, ViewFailure>>;
  /**
   * The models that the branches in force want in the pool; see `wantedModels`. The planner must
   * not run before all branches are known, because it may unload models that no known branch names.
   */
  readWanted(): WantedModel[];
  /** Ids of the entries that are known to be alive. */
  listEntries(): string[];
  /** Sends an order to an agent and waits for the outcome, at most for the order timeout. */
  sendOrder(order: PlannedOrder, signal: AbortSignal): Promise<OrderOutcome>;
}

/** Settings of a {@link PoolPlanner}. */
export interface PoolPlannerOptions {
  pool: string;
  /** Id of this entry. */
  entryId: string;
  leaseTtlMs: number;
  planIntervalMs: number;
  /** Bound on an order; the lease must remain valid at least this long when an order is sent. */
  orderTimeoutMs: number;
  movesPerMinute: number;
  loadsPerMinute: number;
  clock: Clock;
  log: Logger;
  random?: () => number;
}

/** Default settings, suitable for a first deployment. */
export const PLANNER_DEFAULTS = {
  leaseTtlMs: 15_000,
  planIntervalMs: 5000,
  orderTimeoutMs: 2000,
  movesPerMinute: 12,
  loadsPerMinute: 8,
} as const;

/** State of a planner, for state dumps. */
export interface PlannerState {
  pool: string;
  lease: LeaseState | undefined;
  lastMoves: Move[];
  ordersByOutcome: Record<OrderOutcome["kind"], number>;
}

/** Plans and orders the moves of one pool. */
export class PoolPlanner {
  readonly #store: KeyValueStore;
  readonly #ports: PlannerPorts;
  readonly #options: PoolPlannerOptions;
  readonly #outcomes = {
    accepted: 0,
    fenced: 0,
    rate_limited: 0,
    refused: 0,
    unknown: 0,
  };
  #lease: FencedLease | undefined;
  #lastMoves: Move[] = [];

  private constructor(
    store: KeyValueStore,
    ports: PlannerPorts,
    options: PoolPlannerOptions,
  ) {
    this.#store = store;
    this.#ports = ports;
    this.#options = options;
  }

  /**
   * @param store The store that keeps the lease.
   * @param ports Functions of the surrounding process.
   * @param options Settings.
   * @returns A planner that is idle until `run` is called.
   */
  static create(
    store: KeyValueStore,
    ports: PlannerPorts,
    options: PoolPlannerOptions,
  ): PoolPlanner {
    return new PoolPlanner(store, ports, options);
  }

  /**
   * Tries to acquire the lease and plans while it is held. Meant to run as a task of a `Lifecycle`.
   *
   * @param signal Stops the planner and releases the lease.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.#isCandidate()) await this.#acquireLease(signal);
      await clock.sleep(this.#jitterDown(ACQUIRE_INTERVAL_MS), signal);
    }
  }

  /** @returns The state, for state dumps. */
  state(): PlannerState {
    return {
      pool: this.#options.pool,
      lease: this.#lease?.state(),
      lastMoves: this.#lastMoves,
      ordersByOutcome: { ...this.#outcomes },
    };
  }

  #isCandidate(): boolean {
    const { pool, entryId } = this.#options;
    const ids = new Set([...this.#ports.listEntries(), entryId]);
    return rankProcesses(pool, [...ids]).slice(0, MAX_LEASE_CANDIDATES)
      .includes(entryId);
  }

  /** Acquires the lease, plans until its end and releases it. */
  async #acquireLease(signal: AbortSignal): Promise<void> {
    const { pool, entryId, leaseTtlMs, clock, random, log } = this.#options;
    const acquired = await FencedLease.acquire(this.#store, {
      key: `${LEASE_PREFIX}${pool}`,
      holderId: entryId,
      ttlMs: leaseTtlMs,
      clock,
      random,
    });
    if (acquired.isErr) {
      if (acquired.error.kind === "no_fencing_number") {
        log.error({ pool }, "The store's position is too high for a lease");
      }
      return;
    }
    this.#lease = acquired.value;
    const { fencingNumber } = acquired.value;
    log.info(
      { pool, fencingNumber: String(fencingNumber) },
      "Acquired the lease of the pool",
    );
    await this.#planWhileHeld(acquired.value, signal);
    this.#lease = undefined;
    await acquired.value.release();
  }

  /** Plans until the lease is lost or a later holder has sent orders. */
  async #planWhileHeld(lease: FencedLease, signal: AbortSignal): Promise<void> {
    const { clock, planIntervalMs } = this.#options;
    const termEnd = new AbortController();
    const stopSignal = AbortSignal.any([signal, termEnd.signal]);
    const renewals = lease.keepRenewed(stopSignal);
    const budget = MoveBudget.create(this.#options);
    const pending = PendingMoves.create(clock);
    while (!signal.aborted && lease.isHeldFor(0)) {
      const mayContinue = await this.#planOnce(
        { lease, budget, pending },
        signal,
      );
      if (!mayContinue) break;
      await clock.sleep(this.#jitterDown(planIntervalMs), signal);
    }
    termEnd.abort();
    await renewals;
  }

  /** Plans once and orders the moves. Returns false if a later holder has sent orders. */
  async #planOnce(term: LeaseTerm, signal: AbortSignal): Promise<boolean> {
    const view = await this.#ports.readView(signal);
    if (view.isErr) return true;
    term.pending.prune(view.value);
    const projected = term.pending.overlay(view.value);
    const allowance = term.budget.allowance();
    const moves = planMoves(projected, this.#ports.readWanted(), allowance);
    this.#lastMoves = moves;
    for (const move of moves) {
      if (signal.aborted) return true;
      // The process may be suspended at any point, so the lease is checked right before each order.
      // The agent's fencing gate refuses an order that a suspension delays after this check.
      if (!term.lease.isHeldFor(this.#options.orderTimeoutMs)) return true;
      const outcome = await this.#sendOrder(term, move, signal);
      if (outcome.kind === "fenced") return false;
      if (outcome.kind === "rate_limited") return true;
    }
    return true;
  }

  async #sendOrder(
    term: LeaseTerm,
    move: Move,
    signal: AbortSignal,
  ): Promise<OrderOutcome> {
    term.budget.spend(move.kind);
    const order = createPlannedOrder(term.lease, move);
    const outcome = await this.#ports.sendOrder(order, signal);
    this.#outcomes[outcome.kind]++;
    const { serverId, kind, model } = move;
    this.#options.log.info(
      { serverId, order: kind, model, outcome: outcome.kind },
      "Sent an order to an agent",
    );
    switch (outcome.kind) {
      case "accepted":
      case "unknown":
        term.pending.add(move);
        break;
      case "rate_limited":
        term.budget.pauseLoads(this.#jitterUp(outcome.retryAfterMs));
        break;
      case "fenced":
      case "refused":
        break;
    }
    return outcome;
  }

  #jitterDown(ms: number): number {
    return ms * (1 - JITTER_SHARE * this.#random());
  }

  #jitterUp(ms: number): number {
    return ms * (1 + JITTER_SHARE * this.#random());
  }

  #random(): number {
    return (this.#options.random ?? Math.random)();
  }
}

/** State of one term of the lease, not passed on to the next holder. */
interface LeaseTerm {
  lease: FencedLease;
  budget: MoveBudget;
  pending: PendingMoves;
}
