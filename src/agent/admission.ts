/**
 * Admission to one engine. Requests wait here and not in the engine, so that priority is exact even
 * where the engine takes them in order; the engine gets just enough to keep its batch full. Whatever
 * can't make its deadline is refused at once.
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
import { EngineBacklog, type PlacedWork } from "./engine_backlog.ts";
import { Holds } from "./holds.ts";
import { Jitter } from "./jitter.ts";
import { refuse } from "./refusals.ts";
import { rankOf, type Waiter, WaitQueue } from "./wait_queue.ts";

/** What a request asks of the engine. */
export interface Demand {
  team: string;
  priority: Priority;
  uncachedTokens: number;
  maxTokens: number;
  /** The caller's deadline; Infinity: none. */
  deadlineAtMs: number;
  /** Requests that the team may have on this server. */
  teamMaxInFlight: number;
}

/** What a request can expect. */
export interface Quote {
  queueMs: number;
  expectedTtftMs: number;
}

/** A request that was let in. */
export interface Ticket extends Waiter, PlacedWork {
  demand: Demand;
  state: "waiting" | "placed" | "left";
  hadEngineAlone: boolean;
  /** Resolves when it may be passed on, or with the reason why it never will be. */
  ready: Promise<Refusal | undefined>;
  settle: (refusal: Refusal | undefined) => void;
}

/** What {@link Admission} is made from. */
export interface AdmissionOptions {
  clock: Clock;
  costs: CostModel;
  /** Seed of the spread of retries. */
  seed: string;
}

/** Longest expected wait at which a request is still let in. */
const MAX_QUEUE_MS = { urgent: 4000, normal: 15_000, batch: 60_000 };
/** Prefill work that the engine is given ahead, so that it never runs dry. */
const PREFILL_AHEAD_MS = 150;
/** Batches of at least this size are kept full by one request more. */
const AHEAD_FROM_RUNNING = 8;
const MIN_RETRY_MS = 200;
/** Bounds the bodies that are kept while they wait. */
const MAX_WAITING = 1024;

/** Lets requests in, in order. */
export class Admission {
  readonly holds: Holds<Demand>;
  readonly #clock: Clock;
  readonly #costs: CostModel;
  readonly #jitter: Jitter;
  readonly #backlog = EngineBacklog.create();
  readonly #queue = WaitQueue.create<Ticket>();
  /** Waiting and placed requests by team. */
  readonly #inFlight = new Map<string, number>();
  readonly #placed = new Map<string, number>();
  #maxRunning = 1;

  private constructor({ clock, costs, seed }: AdmissionOptions) {
    this.#clock = clock;
    this.#costs = costs;
    this.#jitter = Jitter.create(seed);
    this.holds = Holds.create(clock);
  }

  /**
   * @param options Clock, cost model and seed.
   * @returns Admission to an engine that runs one request at a time.
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

  /** @param maxRunning Requests that the engine runs at once. */
  setMaxRunning(maxRunning: number): void {
    this.#maxRunning = Math.max(1, maxRunning);
    this.#dispatch();
  }

  /** @param load The engine's lagging report. */
  noteLoad(load: EngineLoad): void {
    this.#backlog.report(load, this.#clock.nowMs());
    this.#dispatch();
  }

  /** Forgets what reports said, after the engine came back empty. */
  resetLoad(): void {
    this.#backlog.reset();
    this.#dispatch();
  }

  /**
   * @param demand What is asked.
   * @returns What it can expect, or why it would be refused.
   */
  quote(demand: Demand): Result<Quote, Refusal> {
    const quote = this.#expect(demand);
    const nowMs = this.#clock.nowMs();
    const endMs = nowMs + quote.expectedTtftMs +
      this.#costs.outputMs(demand.maxTokens);
    if (endMs > demand.deadlineAtMs) {
      return Result.err(this.#refuse(RefusalCode.DEADLINE, quote));
    }
    if (this.#isOverShare(demand)) {
      return Result.err(this.#refuse(RefusalCode.TEAM_LIMIT, quote));
    }
    const isFull = this.#queue.size >= MAX_WAITING;
    if (isFull || quote.queueMs > maxQueueMs(demand.priority)) {
      return Result.err(this.#refuse(RefusalCode.OVERLOADED, quote));
    }
    return Result.ok(quote);
  }

  /**
   * @param demand What is asked.
   * @param isHeld True: it was offered a place and has kept it.
   * @returns A ticket, or why it is refused.
   */
  enter(demand: Demand, isHeld: boolean): Result<Ticket, Refusal> {
    if (!isHeld) {
      const quote = this.quote(demand);
      if (quote.isErr) return Result.err(quote.error);
    }
    const ticket = buildTicket(demand, this.#clock.nowMs());
    addTo(this.#inFlight, demand.team, 1);
    this.#queue.push(ticket);
    this.#dispatch();
    return Result.ok(ticket);
  }

  /** @param ticket A placed request whose first piece came. */
  notePrefilled(ticket: Ticket): void {
    ticket.firstPieceMs = this.#clock.nowMs();
    this.#dispatch();
  }

  /** @param ticket A request that ended, or that nobody wants any more. */
  leave(ticket: Ticket): void {
    if (ticket.state === "left") return;
    if (ticket.state === "waiting") this.#queue.remove(ticket);
    else addTo(this.#placed, ticket.team, -1);
    this.#backlog.leave(ticket, this.#clock.nowMs());
    addTo(this.#inFlight, ticket.team, -1);
    ticket.state = "left";
    this.#dispatch();
  }

  /** Refuses what has waited past its deadline, or too long for its priority. */
  sweep(): void {
    const nowMs = this.#clock.nowMs();
    this.holds.sweep();
    for (const ticket of [...this.#queue]) {
      if (this.#isLate(ticket, nowMs)) {
        this.#turnAway(ticket, RefusalCode.EXPIRED);
      } else if (nowMs - ticket.enqueuedMs > 2 * maxQueueMs(ticket.priority)) {
        this.#turnAway(ticket, RefusalCode.OVERLOADED);
      }
    }
    this.#dispatch();
  }

  /** @param refusal Why nothing that waits will be run. */
  refuseWaiting(refusal: Refusal): void {
    for (const ticket of [...this.#queue]) {
      this.leave(ticket);
      ticket.settle(refusal);
    }
  }

  #dispatch(): void {
    const nowMs = this.#clock.nowMs();
    while (this.#hasPlace(nowMs)) {
      const next = this.#queue.shift(
        nowMs,
        (team) => this.#placed.get(team) ?? 0,
      );
      if (!next) return;
      if (this.#isLate(next, nowMs)) {
        this.#turnAway(next, RefusalCode.EXPIRED);
        continue;
      }
      next.state = "placed";
      next.placedMs = nowMs;
      next.hadEngineAlone = this.#backlog.prefillingCount === 0;
      this.#backlog.place(next);
      addTo(this.#placed, next.team, 1);
      next.settle(undefined);
    }
  }

  #hasPlace(nowMs: number): boolean {
    const ahead = this.#maxRunning >= AHEAD_FROM_RUNNING ? 1 : 0;
    if (this.#backlog.count(nowMs) >= this.#maxRunning + ahead) return false;
    if (this.#backlog.prefillingCount === 0) return true;
    const prefillMs = this.#backlog.prefillTokens(nowMs) *
      this.#costs.prefillMsPerToken;
    return prefillMs < PREFILL_AHEAD_MS;
  }

  #expect(demand: Demand): Quote {
    const nowMs = this.#clock.nowMs();
    const rank = rankOf(demand.priority);
    let waiting = 0;
    let tokens = this.#backlog.prefillTokens(nowMs);
    for (const each of this.#demandsAhead()) {
      if (rankOf(each.priority) > rank) continue;
      waiting++;
      tokens += each.uncachedTokens;
    }
    const places = this.#maxRunning - this.#backlog.count(nowMs);
    const lacking = Math.max(0, waiting - places + 1);
    const placeMs = lacking * this.#costs.runMs / this.#maxRunning;
    const prefillMs = tokens * this.#costs.prefillMsPerToken;
    const queueMs = Math.max(placeMs, prefillMs);
    const ownMs = demand.uncachedTokens * this.#costs.prefillMsPerToken +
      this.#costs.decodeMsPerToken;
    return { queueMs, expectedTtftMs: queueMs + ownMs };
  }

  *#demandsAhead(): IterableIterator<Demand> {
    for (const ticket of this.#queue) yield ticket.demand;
    for (const hold of this.holds.live()) yield hold.demand;
  }

  #isOverShare(demand: Demand): boolean {
    const own = this.#inFlight.get(demand.team) ?? 0;
    if (own >= demand.teamMaxInFlight) return true;
    const teams = this.#inFlight.size + (own === 0 ? 1 : 0);
    const isContended = teams > 1 && this.#queue.size > 0;
    return isContended && own >= Math.ceil(2 * this.#maxRunning / teams);
  }

  #isLate(ticket: Ticket, nowMs: number): boolean {
    const soonestMs = ticket.uncachedTokens * this.#costs.prefillMsPerToken;
    return nowMs + soonestMs > ticket.demand.deadlineAtMs;
  }

  #turnAway(ticket: Ticket, code: RefusalCode): void {
    this.leave(ticket);
    ticket.settle(this.#refuse(code, this.#expect(ticket.demand)));
  }

  #refuse(code: RefusalCode, quote: Quote): Refusal {
    const baseMs = Math.max(MIN_RETRY_MS, quote.queueMs);
    const retryAfterMs = baseMs + this.#jitter.nextMs(baseMs);
    const message = `Expected to wait ${Math.round(quote.queueMs)} ms and ` +
      `to start after ${Math.round(quote.expectedTtftMs)} ms`;
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
    placedMs: Infinity,
    firstPieceMs: Infinity,
    leftMs: Infinity,
    state: "waiting",
    hadEngineAlone: false,
    ready,
    settle,
  };
}

function maxQueueMs(priority: Priority): number {
  switch (rankOf(priority)) {
    case 1:
      return MAX_QUEUE_MS.urgent;
    case 2:
      return MAX_QUEUE_MS.normal;
    case 3:
      return MAX_QUEUE_MS.batch;
  }
}

function addTo(
  counts: Map<string, number>,
  team: string,
  change: number,
): void {
  const count = (counts.get(team) ?? 0) + change;
  if (count > 0) counts.set(team, count);
  else counts.delete(team);
}
