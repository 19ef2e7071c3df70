/** Schedules the requests of one service at one entry: divides its room and admits by the division. */
import {
  AdmissionQueue,
  type HeldRequests,
  type PriorityCounts,
} from "./admission_queue.ts";
import { type DemandRow, demandRows, DemandTable } from "./demand_table.ts";
import { divideRoom, type Division } from "./divide_room.ts";
import type { FlowDemand } from "./flow.ts";
import type { Offer, OfferedRequest, Permit, Ticket } from "./ticket.ts";

/** Shortest time between two divisions, unless a request needs one. */
const DIVISION_INTERVAL_MS = 20;
/** The same while there is room for all: what may be admitted until the next division is known. */
const FREE_DIVISION_INTERVAL_MS = 100;
/**
 * A process keeps to an equal share for this long after its start: the first demand that entries report
 * when all of them have started is far below that of the next moment.
 */
const EQUAL_SHARE_MS = 500;
/** How long single flows are still reported after the room was last divided. */
const REPORT_FLOWS_MS = 1000;

/** Options of {@link ServiceScheduler}. */
export interface ServiceSchedulerOptions {
  service: string;
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** Part of the room that each less urgent priority with demand keeps. */
  floorShare: number;
  /** Estimate of the time that a request stays admitted, until there are samples. */
  holdMs: number;
  /** Requests that wait at this entry, over all services. */
  held: HeldRequests;
  /** Demand of the other entries. */
  table: DemandTable;
  /** Units that the service can hold; 0 if no server is available, which admits all requests. */
  room(nowMs: number): number;
  /** Number of entries that may be alive, this one included. */
  entryCount(): number;
  /** When the process started. */
  startedAtMs: number;
  /** Time between two reports of demand to the other entries. */
  reportIntervalMs(): number;
  /** When the process ends all requests; default: it doesn't. */
  endAtMs?(): number;
  nowMs: number;
}

/** State of a scheduled service for the state dump. */
export interface ServiceScheduleState {
  service: string;
  room: number;
  isDivided: boolean;
  counts: readonly (PriorityCounts | undefined)[];
  /** This entry's flows with the most demand. */
  flows: unknown[];
  /** Demand that the other entries reported. */
  peers: FlowDemand[];
}

/** Scheduler. */
export class ServiceScheduler {
  readonly #options: ServiceSchedulerOptions;
  readonly #queue: AdmissionQueue;
  #dividedAtMs = -Infinity;
  #reportFlowsUntilMs = -Infinity;
  #room = 0;

  private constructor(options: ServiceSchedulerOptions) {
    this.#options = options;
    this.#queue = AdmissionQueue.create(options);
  }

  /**
   * @param options Settings, room and demand of the other entries.
   * @returns A scheduler without requests.
   */
  static create(options: ServiceSchedulerOptions): ServiceScheduler {
    return new ServiceScheduler(options);
  }

  /** Whether requests wait. */
  get isWaiting(): boolean {
    return this.#queue.isWaiting;
  }

  /** Whether there is room for all requests. */
  get isFree(): boolean {
    return this.#queue.isFree;
  }

  /** Mean size of the requests that were offered. */
  get meanUnits(): number {
    return this.#queue.meanUnits;
  }

  /** Admitted and refused requests since the start, by priority. */
  get counts(): readonly (PriorityCounts | undefined)[] {
    return this.#queue.counts;
  }

  /**
   * @param request A request before its first send.
   * @param nowMs Current time.
   * @returns Whether it may be sent.
   */
  offer(request: OfferedRequest, nowMs: number): Offer {
    if (this.#isDue(nowMs) || this.#queue.needsDivision(request)) {
      this.#divide(nowMs, request);
    }
    return this.#queue.offer(request, nowMs);
  }

  /** See {@link AdmissionQueue.force}. */
  force(request: OfferedRequest, nowMs: number): Permit {
    return this.#queue.force(request, nowMs);
  }

  /**
   * @param permit Permit of a request that no longer takes room.
   * @param nowMs Current time.
   */
  release(permit: Permit, nowMs: number): void {
    this.#queue.release(permit, nowMs);
    if (this.#queue.isWaiting && this.#isDue(nowMs)) this.#divide(nowMs);
  }

  /** @param ticket Ticket of a request whose client has disconnected. */
  withdraw(ticket: Ticket): void {
    this.#queue.withdraw(ticket);
  }

  /**
   * Must be called regularly while requests wait.
   *
   * @param nowMs Current time.
   */
  tick(nowMs: number): void {
    if (this.#isDue(nowMs)) this.#divide(nowMs);
    this.#queue.expire(nowMs);
  }

  /**
   * Refuses all requests that wait.
   *
   * @param nowMs Current time.
   */
  refuseAll(nowMs: number): void {
    this.#queue.refuseAll(nowMs);
  }

  /**
   * @param nowMs Current time.
   * @returns Rows to send to the other entries.
   */
  rows(nowMs: number): DemandRow[] {
    return demandRows(this.#queue.reported(nowMs), {
      service: this.#options.service,
      isDivided: nowMs < this.#reportFlowsUntilMs,
    });
  }

  /**
   * @param nowMs Current time.
   * @returns State for the state dump.
   */
  state(nowMs: number): ServiceScheduleState {
    return {
      service: this.#options.service,
      room: Math.round(this.#room),
      isDivided: !this.#queue.isFree,
      counts: this.#queue.counts,
      flows: this.#queue.state(nowMs),
      peers: [...this.#options.table.flows(this.#options.service)],
    };
  }

  #isDue(nowMs: number): boolean {
    const intervalMs = this.isFree
      ? FREE_DIVISION_INTERVAL_MS
      : DIVISION_INTERVAL_MS;
    return nowMs - this.#dividedAtMs >= intervalMs;
  }

  #divide(nowMs: number, next?: OfferedRequest): void {
    this.#dividedAtMs = nowMs;
    const division = this.#division(nowMs, next);
    if (division.kind === "divided") {
      this.#reportFlowsUntilMs = nowMs + REPORT_FLOWS_MS;
    }
    this.#queue.apply(division, nowMs);
  }

  #division(nowMs: number, next?: OfferedRequest): Division {
    const { table, service, floorShare, entryCount, room, startedAtMs } =
      this.#options;
    this.#room = room(nowMs);
    // Requests then end as they do without scheduling, with the reason why there is no server.
    if (this.#room <= 0) return { kind: "free", spare: Infinity };
    const demand = {
      room: this.#room,
      floorShare,
      own: this.#queue.demand(nowMs, next),
    };
    const entries = Math.max(1, entryCount());
    const heard = table.expire(nowMs);
    if (nowMs - startedAtMs < EQUAL_SHARE_MS) {
      const silentEntries = entries - 1;
      const division = divideRoom({ ...demand, peers: [], silentEntries });
      return division.kind === "divided"
        ? { ...division, limit: this.#room / entries }
        : division;
    }
    return divideRoom({
      ...demand,
      peers: table.flows(service),
      silentEntries: Math.max(0, entries - 1 - heard),
    });
  }
}
