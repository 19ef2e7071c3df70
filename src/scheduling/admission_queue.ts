/**
 * Admission of requests to one scheduled service at one entry. It decides by the last division of the
 * service's room; requests that get no room wait while they are expected to be served in time.
 */
import type { Division, OwnDemand } from "./divide_room.ts";
import type { ReportedFlow } from "./demand_table.ts";
import { type FlowState, FlowTable } from "./flow_table.ts";
import { HoldTime } from "./hold_time.ts";
import {
  type Offer,
  type OfferedRequest,
  type Permit,
  RefusedBecause,
  type Settlement,
  Ticket,
  type WaitingRequest,
} from "./ticket.ts";
import { WaitEstimate } from "./wait_estimate.ts";
import type { WaitingFlow } from "./waiting_flow.ts";

/** Limits on the requests that wait at an entry, over all services. */
export const MAX_WAITING_REQUESTS = 512;
export const MAX_WAITING_BYTES = 16 * 1024 * 1024;

/** Requests that wait at an entry, over all services. */
export interface HeldRequests {
  count: number;
  bytes: number;
}

/** Options of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** Estimate of the time that a request stays admitted, until there are samples. */
  holdMs: number;
  held: HeldRequests;
  /** Time between two reports of demand to the other entries. */
  reportIntervalMs(): number;
  /** When the process ends all requests; default: it doesn't. */
  endAtMs?(): number;
  nowMs: number;
}

/** Admitted and refused requests of one priority. */
export interface PriorityCounts {
  admitted: number;
  refused: number;
}

/** Admission queue. */
export class AdmissionQueue {
  readonly #random: () => number;
  readonly #held: HeldRequests;
  /** Time that requests of all priorities stay admitted. */
  readonly #hold: HoldTime;
  /** The same by priority: urgent requests are seldom as long as others. */
  readonly #holds = new Map<number, HoldTime>();
  readonly #initialHoldMs: number;
  readonly #estimate: WaitEstimate;
  readonly #flows: FlowTable;
  /** Flows with waiting requests. */
  readonly #waiting = new Set<WaitingFlow>();
  readonly #counts: PriorityCounts[] = [];

  private constructor(options: AdmissionQueueOptions) {
    const hold = HoldTime.create(options.holdMs);
    this.#hold = hold;
    this.#initialHoldMs = options.holdMs;
    this.#random = options.random;
    this.#held = options.held;
    const flows = FlowTable.create({ ...options, hold });
    this.#flows = flows;
    this.#estimate = WaitEstimate.create({
      ...options,
      hold,
      answerTime: (priority) => this.#holdOf(priority),
      roomInMs: (flow, units, nowMs) => flows.roomInMs(flow, units, nowMs),
    });
  }

  /**
   * @param options Settings and random numbers.
   * @returns A queue that needs a division before the first request is offered.
   */
  static create(options: AdmissionQueueOptions): AdmissionQueue {
    return new AdmissionQueue(options);
  }

  /** Whether requests wait. */
  get isWaiting(): boolean {
    return this.#waiting.size > 0;
  }

  /** Whether there is room for all. */
  get isFree(): boolean {
    return this.#flows.isFree;
  }

  /** Mean size of the requests that were offered. */
  get meanUnits(): number {
    return this.#hold.meanUnits;
  }

  /** Counts since the start, by priority. */
  get counts(): readonly (PriorityCounts | undefined)[] {
    return this.#counts;
  }

  /**
   * @param request A request that is about to be offered.
   * @returns Whether the last division doesn't say whether it has room.
   */
  needsDivision(request: OfferedRequest): boolean {
    return this.#flows.needsDivision(request);
  }

  /**
   * @param nowMs Current time.
   * @param next A request that is about to be offered.
   * @returns Demand of this entry's flows, for the division of the room.
   */
  demand(nowMs: number, next?: OfferedRequest): OwnDemand[] {
    return this.#flows.demand(nowMs, next);
  }

  /**
   * @param nowMs Current time.
   * @returns Demand of this entry's flows, as reported to the other entries.
   */
  reported(nowMs: number): ReportedFlow[] {
    return this.#flows.reported(nowMs);
  }

  /**
   * @param nowMs Current time.
   * @returns Flows with the most demand, for the state dump.
   */
  state(nowMs: number): FlowState[] {
    return this.#flows.state(nowMs);
  }

  /**
   * @param division New division of the room.
   * @param nowMs Current time.
   */
  apply(division: Division, nowMs: number): void {
    this.#flows.apply(division, nowMs);
    this.#admitWaiting(nowMs);
  }

  /**
   * @param request A request; the last division must include its demand, see
   *   {@link AdmissionQueue.needsDivision}.
   * @param nowMs Current time.
   * @returns Whether it may be sent.
   */
  offer(request: OfferedRequest, nowMs: number): Offer {
    this.#hold.offered(request.units);
    if (this.isFree) {
      return { kind: "admitted", permit: this.force(request, nowMs) };
    }
    const flow = this.#flows.flowOf(request);
    flow.offered(request.deadlineAtMs - nowMs);
    const waiting = waitingRequest(request, nowMs);
    const { ticket } = waiting;
    this.#enqueue(flow, waiting);
    this.#admitWaiting(nowMs);
    if (ticket.settlement) return ticket.settlement;
    if (!this.#mayWait(flow, waiting, nowMs)) {
      const reason = RefusedBecause.noRoom;
      return this.#refuse(flow, waiting, { reason, nowMs });
    }
    waiting.expectedMs = this.#estimate.expectedMs(flow, waiting, nowMs);
    return { kind: "waiting", ticket };
  }

  /**
   * Admits a request in any case.
   *
   * @param request The request.
   * @param nowMs Current time.
   * @returns Its permit.
   */
  force(request: OfferedRequest, nowMs: number): Permit {
    return this.#admit(request, nowMs);
  }

  /**
   * @param permit Permit of a request that no longer takes room.
   * @param nowMs Current time.
   */
  release(permit: Permit, nowMs: number): void {
    const heldMs = nowMs - permit.admittedAtMs;
    this.#hold.ended(heldMs);
    this.#holdOf(permit.priority).ended(heldMs);
    this.#flows.release(permit, nowMs);
    this.#admitWaiting(nowMs);
  }

  /** @param ticket Ticket of a request whose client has disconnected. */
  withdraw(ticket: Ticket): void {
    for (const flow of this.#waiting) {
      const request = flow.requests().find((one) => one.ticket === ticket);
      if (request) return this.#dequeue(flow, request);
    }
  }

  /**
   * Admits requests whose turn has come, and refuses those that can't be served in time any more.
   *
   * @param nowMs Current time.
   */
  expire(nowMs: number): void {
    this.#admitWaiting(nowMs);
    for (const flow of this.#waiting) {
      for (const request of this.#estimate.hopeless(flow, nowMs)) {
        this.#refuseWaited(flow, request, nowMs);
      }
    }
  }

  /**
   * Refuses all requests that wait.
   *
   * @param nowMs Current time.
   */
  refuseAll(nowMs: number): void {
    for (const flow of this.#waiting) {
      for (const request of flow.requests()) {
        this.#refuseWaited(flow, request, nowMs);
      }
    }
  }

  /** Admits waiting requests in order while there is room. */
  #admitWaiting(nowMs: number): void {
    while (this.#waiting.size > 0) {
      let best: WaitingFlow | undefined;
      for (const flow of this.#waiting) {
        if (best && !flow.isBefore(best)) continue;
        if (this.#flows.hasRoom(flow, nowMs)) best = flow;
      }
      if (!best) return;
      const request = best.next!;
      this.#dequeue(best, request);
      const waitedMs = nowMs - request.offeredAtMs;
      if (waitedMs > 0) this.#estimate.waited(request.expectedMs, waitedMs);
      const permit = this.#admit(request, nowMs);
      request.ticket.settle({ kind: "admitted", permit });
    }
  }

  #admit(request: OfferedRequest, nowMs: number): Permit {
    const { priority, workspace, units } = request;
    this.#flows.admit(request, nowMs);
    this.#countsOf(priority).admitted++;
    return { priority, workspace, units, admittedAtMs: nowMs };
  }

  /**
   * Decides whether a request that is offered waits. If another one would miss its deadline because of
   * it, one of the two is refused by chance: neither those who came first nor those with the earliest
   * deadlines then take all the room of the others.
   */
  #mayWait(
    flow: WaitingFlow,
    request: WaitingRequest,
    nowMs: number,
  ): boolean {
    const { count, bytes } = this.#held;
    if (count > MAX_WAITING_REQUESTS || bytes > MAX_WAITING_BYTES) return false;
    const missing = this.#estimate.missing(flow, request, nowMs);
    const [other] = missing;
    if (!other) return true;
    const isOtherRefused = other !== request && missing.length === 1 &&
      this.#random() < 0.5;
    if (isOtherRefused) this.#refuseWaited(flow, other, nowMs);
    return isOtherRefused;
  }

  #refuseWaited(
    flow: WaitingFlow,
    request: WaitingRequest,
    nowMs: number,
  ): void {
    const reason = RefusedBecause.waited;
    const leftMs = this.#estimate.expectedMs(flow, request, nowMs);
    const waitedMs = nowMs - request.offeredAtMs + leftMs;
    if (waitedMs > request.expectedMs) {
      this.#estimate.waited(request.expectedMs, waitedMs);
    }
    request.ticket.settle(this.#refuse(flow, request, { reason, nowMs }));
  }

  #refuse(
    flow: WaitingFlow,
    request: WaitingRequest,
    { reason, nowMs }: { reason: RefusedBecause; nowMs: number },
  ): Settlement {
    const retryAfterMs = this.#estimate.retryAfterMs(flow, request, nowMs);
    this.#dequeue(flow, request);
    flow.refuse(request.units, { holdMs: this.#hold.meanMs, nowMs });
    this.#countsOf(request.priority).refused++;
    return { kind: "refused", reason, retryAfterMs };
  }

  #enqueue(flow: WaitingFlow, request: WaitingRequest): void {
    flow.add(request);
    this.#waiting.add(flow);
    this.#held.count++;
    this.#held.bytes += request.bodyBytes;
  }

  #dequeue(flow: WaitingFlow, request: WaitingRequest): void {
    flow.remove(request);
    this.#held.count--;
    this.#held.bytes -= request.bodyBytes;
    if (!flow.isWaiting) this.#waiting.delete(flow);
  }

  #holdOf(priority: number): HoldTime {
    let hold = this.#holds.get(priority);
    if (!hold) {
      hold = HoldTime.create(this.#initialHoldMs);
      this.#holds.set(priority, hold);
    }
    return hold;
  }

  #countsOf(priority: number): PriorityCounts {
    return this.#counts[priority] ??= { admitted: 0, refused: 0 };
  }
}

function waitingRequest(
  request: OfferedRequest,
  nowMs: number,
): WaitingRequest {
  const ticket = Ticket.create();
  return { ...request, offeredAtMs: nowMs, expectedMs: 0, ticket };
}
