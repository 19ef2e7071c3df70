/**
 * Admission control for one engine. Requests queue in the agent instead of in the engine, so that
 * priorities are exact even if the engine serves requests in order of arrival. The engine gets just
 * enough requests to keep its batch full. Requests that can't meet their deadline are refused.
 */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import type { EngineLoad } from "../backends/engine.ts";
import {
  type Priority,
  type Refusal,
  RefusalCode,
} from "../wire/gen/cicadahitch.ts";
import { type CostModel } from "./cost_model.ts";
import { EngineBacklog, type PlacedRequest } from "./engine_backlog.ts";
import { Holds } from "./holds.ts";
import { Jitter } from "./jitter.ts";
import { refuse } from "./refusals.ts";
import {
  effectivePriority,
  type WaitingRequest,
  WaitQueue,
} from "./wait_queue.ts";

/** The work that a request needs from the engine, and its limits. */
export interface Demand {
  team: string;
  priority: Priority;
  uncachedTokens: number;
  maxTokens: number;
  /** The caller's deadline; Infinity if there is none. */
  deadlineAtMs: number;
  /** Maximum number of requests that the team may have in flight on this server. */
  teamMaxInFlight: number;
}

/** Expected latency of a request. */
export interface LatencyEstimate {
  queueMs: number;
  expectedTtftMs: number;
}

/** An admitted request. */
export interface Ticket extends WaitingRequest, PlacedRequest {
  demand: Demand;
  /** Queued in the agent, sent to the engine, or no longer in either. */
  state: "waiting" | "placed" | "left";
  /** True if no other request was in prefill on the engine when this one was sent. */
  prefilledAlone: boolean;
  /** Resolves to undefined when the request may be sent, or to the refusal if it never will be. */
  ready: Promise<Refusal | undefined>;
  settle: (refusal: Refusal | undefined) => void;
}

/** Dependencies of {@link Admission}. */
export interface AdmissionOptions {
  clock: Clock;
  costs: CostModel;
  /** Seed of the jitter in retry delays. */
  seed: string;
}

/** Maximum expected queueing time of a request whose caller has no deadline, by priority. */
const MAX_QUEUE_MS = { urgent: 4000, normal: 15_000, batch: 60_000 };
/** Upper bound on prefill work waiting in the engine: enough to keep it from idling. */
const MAX_PENDING_PREFILL_MS = 150;
/** Engines with at least this batch size get one extra request, so that the batch stays full. */
const EXTRA_REQUEST_MIN_BATCH = 8;
const MIN_RETRY_MS = 200;
/** Maximum queue length; bounds the memory that queued request bodies use. */
const MAX_WAITING = 1024;

/** Queues requests and sends them to the engine by priority. */
export class Admission {
  readonly holds: Holds<Demand>;
  readonly #clock: Clock;
  readonly #costs: CostModel;
  readonly #jitter: Jitter;
  readonly #backlog = EngineBacklog.create();
  readonly #queue = WaitQueue.create<Ticket>();
  /** Number of waiting and placed requests by team. */
  readonly #inFlightByTeam = new Map<string, number>();
  /** Number of placed requests by team. */
  readonly #placedByTeam = new Map<string, number>();
  #maxRunning = 1;

  private constructor({ clock, costs, seed }: AdmissionOptions) {
    this.#clock = clock;
    this.#costs = costs;
    this.#jitter = Jitter.create(seed);
    this.holds = Holds.create(clock);
  }

  /**
   * @param options Clock, cost model and seed.
   * @returns Admission control for an engine that runs one request at a time.
   */
  static create(options: AdmissionOptions): Admission {
    return new Admission(options);
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  get runningCount(): number {
    return this.#backlog.ownCount;
  }

  get maxRunning(): number {
    return this.#maxRunning;
  }

  /** @param maxRunning Maximum number of requests that the engine runs concurrently. */
  setMaxRunning(maxRunning: number): void {
    this.#maxRunning = Math.max(1, maxRunning);
    this.#dispatch();
  }

  /** @param load The engine's load report, which lags behind its actual load. */
  updateLoad(load: EngineLoad): void {
    this.#backlog.applyReport(load, this.#clock.nowMs());
    this.#dispatch();
  }

  /** Discards the load reports, after the engine restarted without requests. */
  resetLoad(): void {
    this.#backlog.reset();
    this.#dispatch();
  }

  /**
   * @param demand The work that the request needs.
   * @returns Its expected latency, or the refusal that it would get.
   */
  estimate(demand: Demand): Result<LatencyEstimate, Refusal> {
    const estimate = this.#estimateLatency(demand);
    const nowMs = this.#clock.nowMs();
    const endMs = nowMs + estimate.expectedTtftMs +
      this.#costs.outputMs(demand.maxTokens);
    if (endMs > demand.deadlineAtMs) {
      return Result.err(this.#refuse(RefusalCode.DEADLINE, estimate));
    }
    if (this.#exceedsTeamShare(demand)) {
      return Result.err(this.#refuse(RefusalCode.TEAM_LIMIT, estimate));
    }
    const isFull = this.#queue.size >= MAX_WAITING;
    if (isFull || estimate.queueMs > maxQueueMs(demand)) {
      return Result.err(this.#refuse(RefusalCode.OVERLOADED, estimate));
    }
    return Result.ok(estimate);
  }

  /**
   * Queues a request, and sends it at once if the engine has capacity.
   *
   * @param demand The work that the request needs.
   * @param isHeld True if the request used up a valid hold, so it skips the admission checks.
   * @returns The admitted request, or the refusal.
   */
  enqueue(demand: Demand, isHeld: boolean): Result<Ticket, Refusal> {
    if (!isHeld) {
      const estimate = this.estimate(demand);
      if (estimate.isErr) return Result.err(estimate.error);
    }
    const ticket = buildTicket(demand, this.#clock.nowMs());
    adjustCount(this.#inFlightByTeam, demand.team, 1);
    this.#queue.push(ticket);
    this.#dispatch();
    return Result.ok(ticket);
  }

  /** @param ticket A placed request whose first piece of output has arrived. */
  notePrefilled(ticket: Ticket): void {
    ticket.firstPieceMs = this.#clock.nowMs();
    this.#dispatch();
  }

  /** @param ticket A request that has ended or was cancelled. */
  remove(ticket: Ticket): void {
    if (ticket.state === "left") return;
    if (ticket.state === "waiting") this.#queue.remove(ticket);
    else adjustCount(this.#placedByTeam, ticket.team, -1);
    this.#backlog.remove(ticket, this.#clock.nowMs());
    adjustCount(this.#inFlightByTeam, ticket.team, -1);
    ticket.state = "left";
    this.#dispatch();
  }

  /** Refuses queued requests that can't meet their deadline or waited too long. */
  sweep(): void {
    const nowMs = this.#clock.nowMs();
    this.holds.sweep();
    for (const ticket of [...this.#queue]) {
      if (this.#missesDeadline(ticket, nowMs)) {
        this.#reject(ticket, RefusalCode.EXPIRED);
      } else if (nowMs - ticket.enqueuedMs > 2 * maxQueueMs(ticket.demand)) {
        this.#reject(ticket, RefusalCode.OVERLOADED);
      }
    }
    this.#dispatch();
  }

  /** @param refusal The refusal that every queued request gets. */
  refuseQueued(refusal: Refusal): void {
    for (const ticket of [...this.#queue]) {
      this.remove(ticket);
      ticket.settle(refusal);
    }
  }

  #dispatch(): void {
    const nowMs = this.#clock.nowMs();
    while (this.#hasCapacity(nowMs)) {
      const next = this.#queue.shift(
        nowMs,
        (team) => this.#placedByTeam.get(team) ?? 0,
      );
      if (!next) return;
      if (this.#missesDeadline(next, nowMs)) {
        this.#reject(next, RefusalCode.EXPIRED);
        continue;
      }
      next.state = "placed";
      next.placedMs = nowMs;
      next.prefilledAlone = this.#backlog.prefillingCount === 0;
      this.#backlog.add(next);
      adjustCount(this.#placedByTeam, next.team, 1);
      next.settle(undefined);
    }
  }

  #hasCapacity(nowMs: number): boolean {
    const extra = this.#maxRunning >= EXTRA_REQUEST_MIN_BATCH ? 1 : 0;
    if (this.#backlog.count(nowMs) >= this.#maxRunning + extra) return false;
    if (this.#backlog.prefillingCount === 0) return true;
    const prefillMs = this.#backlog.prefillTokens(nowMs) *
      this.#costs.prefillMsPerToken;
    return prefillMs < MAX_PENDING_PREFILL_MS;
  }

  #estimateLatency(demand: Demand): LatencyEstimate {
    const nowMs = this.#clock.nowMs();
    const rank = effectivePriority(demand.priority);
    let waiting = 0;
    let tokens = this.#backlog.prefillTokens(nowMs);
    for (const each of this.#demandsAhead()) {
      if (effectivePriority(each.priority) > rank) continue;
      waiting++;
      tokens += each.uncachedTokens;
    }
    const freeSlots = this.#maxRunning - this.#backlog.count(nowMs);
    const slotsToWaitFor = Math.max(0, waiting - freeSlots + 1);
    const slotWaitMs = slotsToWaitFor * this.#costs.runMs / this.#maxRunning;
    const prefillMs = tokens * this.#costs.prefillMsPerToken;
    const queueMs = Math.max(slotWaitMs, prefillMs);
    const ownMs = demand.uncachedTokens * this.#costs.prefillMsPerToken +
      this.#costs.decodeMsPerToken;
    return { queueMs, expectedTtftMs: queueMs + ownMs };
  }

  *#demandsAhead(): IterableIterator<Demand> {
    for (const ticket of this.#queue) yield ticket.demand;
    for (const hold of this.holds.live()) yield hold.demand;
  }

  #exceedsTeamShare(demand: Demand): boolean {
    const own = this.#inFlightByTeam.get(demand.team) ?? 0;
    if (own >= demand.teamMaxInFlight) return true;
    const teams = this.#inFlightByTeam.size + (own === 0 ? 1 : 0);
    const isContended = teams > 1 && this.#queue.size > 0;
    return isContended && own >= Math.ceil(2 * this.#maxRunning / teams);
  }

  #missesDeadline(ticket: Ticket, nowMs: number): boolean {
    const minPrefillMs = ticket.uncachedTokens * this.#costs.prefillMsPerToken;
    return nowMs + minPrefillMs > ticket.demand.deadlineAtMs;
  }

  #reject(ticket: Ticket, code: RefusalCode): void {
    this.remove(ticket);
    ticket.settle(this.#refuse(code, this.#estimateLatency(ticket.demand)));
  }

  #refuse(code: RefusalCode, estimate: LatencyEstimate): Refusal {
    const baseMs = Math.max(MIN_RETRY_MS, estimate.queueMs);
    const retryAfterMs = baseMs + this.#jitter.nextMs(baseMs);
    const message = `Expected to wait ${Math.round(estimate.queueMs)} ms and ` +
      `to start after ${Math.round(estimate.expectedTtftMs)} ms`;
    return refuse(code, message, { retryAfterMs });
  }
}

function buildTicket(demand: Demand, nowMs: number): Ticket {
  let settle: Ticket["settle"] = () => {};
  const ready = new Promise<Refusal | undefined>((resolve) => {
    settle = resolve;
  });
  return {
    demand,
    team: demand.team,
    priority: demand.priority,
    uncachedTokens: demand.uncachedTokens,
    enqueuedMs: nowMs,
    deadlineAtMs: demand.deadlineAtMs,
    placedMs: Infinity,
    firstPieceMs: Infinity,
    leftMs: Infinity,
    state: "waiting",
    prefilledAlone: false,
    ready,
    settle,
  };
}

/** Callers with a deadline may use it all; others wait no longer than is usual for their priority. */
function maxQueueMs({ priority, deadlineAtMs }: Demand): number {
  if (Number.isFinite(deadlineAtMs)) return Infinity;
  switch (effectivePriority(priority)) {
    case 1:
      return MAX_QUEUE_MS.urgent;
    case 2:
      return MAX_QUEUE_MS.normal;
    case 3:
      return MAX_QUEUE_MS.batch;
  }
}

function adjustCount(
  counts: Map<string, number>,
  team: string,
  change: number,
): void {
  const count = (counts.get(team) ?? 0) + change;
  if (count > 0) counts.set(team, count);
  else counts.delete(team);
}
