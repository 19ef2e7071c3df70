/** The requests of one flow at an entry: how many units are admitted, and which requests wait. */
import type { FlowId } from "./flow.ts";
import type { FlowShare } from "./divide_room.ts";
import type { WaitingRequest } from "./ticket.ts";

/** Weight of the newest request in the mean time that requests have. */
const TIME_WEIGHT = 0.05;
/** Refused work below this counts as none. */
const MIN_REFUSED_UNITS = 0.05;

/** Time constant of an average, and current time. */
export interface AverageWindow {
  /** 0 for the current value. */
  averageMs: number;
  nowMs: number;
}

/** Mean time of an admission, and current time. */
export interface TimeWindow {
  /** Mean time that requests stay admitted. */
  holdMs: number;
  nowMs: number;
}

/** State of one flow at an entry. */
export class WaitingFlow {
  readonly id: FlowId;
  #admitted = 0;
  /** Moving average of the admitted units, until {@link WaitingFlow.#averagedAtMs}. */
  #meanAdmitted = 0;
  #averagedAtMs = -Infinity;
  /** Units that wait. */
  waiting = 0;
  /** This entry's share in the last division that had demand of the flow. */
  share: FlowShare | undefined;
  #meanAllowance = 0;
  /** Mean time that the requests have when they are offered. */
  #meanTimeMs = 0;
  #allowanceAtMs = -Infinity;
  /** Random number that rounds the allowance, and until when it holds. */
  rounding = 0;
  roundedUntilMs = -Infinity;
  /** Mean demand, for the entries that are not heard. */
  meanUnits = 0;
  /** Requests that wait, by deadline. */
  readonly #requests: WaitingRequest[] = [];
  #refusedUnits = 0;
  #refusedAtMs = 0;

  private constructor(id: FlowId) {
    this.id = id;
  }

  /**
   * @param id The flow.
   * @returns A flow without requests.
   */
  static create(id: FlowId): WaitingFlow {
    return new WaitingFlow(id);
  }

  /** Whether requests wait. */
  get isWaiting(): boolean {
    return this.#requests.length > 0;
  }

  /**
   * Moving average of the allowance over the time that the flow's requests have: a share that is small
   * for a moment, as more urgent requests have come at once, doesn't say how long they wait.
   */
  get meanAllowance(): number {
    return this.#meanAllowance;
  }

  /**
   * @param share Share in a new division; undefined while there is room for all.
   * @param nowMs Current time.
   */
  setShare(share: FlowShare | undefined, nowMs: number): void {
    this.share = share;
    const isFirst = nowMs - this.#allowanceAtMs > this.#meanTimeMs;
    const weight = isFirst
      ? 1
      : 1 - Math.exp((this.#allowanceAtMs - nowMs) / this.#meanTimeMs);
    if (!share) return;
    this.#meanAllowance += weight * (share.allowance - this.#meanAllowance);
    this.#allowanceAtMs = nowMs;
  }

  /** @param leftMs Time that a request has which is offered. */
  offered(leftMs: number): void {
    const weight = this.#meanTimeMs === 0 ? 1 : TIME_WEIGHT;
    this.#meanTimeMs += weight * (Math.max(1, leftMs) - this.#meanTimeMs);
  }

  /** Units that are admitted. */
  get admitted(): number {
    return this.#admitted;
  }

  /**
   * @param window Time constant of the average, and current time.
   * @returns Moving average of the admitted units.
   */
  meanAdmitted({ averageMs, nowMs }: AverageWindow): number {
    if (averageMs === 0) return this.#admitted;
    const weight = 1 - Math.exp((this.#averagedAtMs - nowMs) / averageMs);
    return this.#meanAdmitted + weight * (this.#admitted - this.#meanAdmitted);
  }

  /**
   * @param units Units that are no longer admitted.
   * @param window See {@link WaitingFlow.meanAdmitted}.
   */
  release(units: number, window: AverageWindow): void {
    this.#setAdmitted(Math.max(0, this.#admitted - units), window);
  }

  /** All requests that wait, the one that is admitted next first. */
  requests(): WaitingRequest[] {
    return [...this.#requests];
  }

  /**
   * @param other Another flow.
   * @returns Whether this flow's next request is admitted before the other's.
   */
  isBefore(other: WaitingFlow): boolean {
    const { priority } = this.id;
    if (priority !== other.id.priority) return priority < other.id.priority;
    return this.#usedFraction < other.#usedFraction;
  }

  get #usedFraction(): number {
    const allowance = this.share?.allowance ?? 0;
    return allowance > 0 ? this.admitted / allowance : Infinity;
  }

  /** The request that is admitted next. */
  get next(): WaitingRequest | undefined {
    return this.#requests[0];
  }

  /** @param request A request that begins to wait. */
  add(request: WaitingRequest): void {
    this.waiting += request.units;
    const { deadlineAtMs } = request;
    let at = this.#requests.length;
    while (at > 0 && this.#requests[at - 1]!.deadlineAtMs > deadlineAtMs) at--;
    this.#requests.splice(at, 0, request);
  }

  /** @param request A request that waits. */
  remove(request: WaitingRequest): void {
    this.#requests.splice(this.#requests.indexOf(request), 1);
    this.waiting -= request.units;
  }

  /**
   * @param units Size of a request that is admitted.
   * @param window See {@link WaitingFlow.meanAdmitted}.
   */
  admit(units: number, window: AverageWindow): void {
    this.#setAdmitted(this.#admitted + units, window);
  }

  /**
   * @param request A request that waits.
   * @returns Units that are admitted before it.
   */
  unitsBefore(request: WaitingRequest): number {
    let units = 0;
    for (const other of this.#requests) {
      if (other === request) break;
      units += other.units;
    }
    return units;
  }

  /**
   * Counts refused work as demand for a while: otherwise the entries' shares of a flow would follow
   * their admissions instead of their loads.
   *
   * @param units Size of a refused request.
   * @param options Mean time that requests stay admitted, and current time.
   */
  refuse(
    units: number,
    { holdMs, nowMs }: TimeWindow,
  ): void {
    this.#refusedUnits = this.refusedUnits({ holdMs, nowMs }) + units;
    this.#refusedAtMs = nowMs;
  }

  /** @returns Units that refused requests would have admitted on average. */
  refusedUnits({ holdMs, nowMs }: TimeWindow): number {
    if (this.#refusedUnits === 0) return 0;
    const ageMs = nowMs - this.#refusedAtMs;
    const units = this.#refusedUnits * Math.exp(-ageMs / holdMs);
    return units < MIN_REFUSED_UNITS ? 0 : units;
  }

  #setAdmitted(units: number, window: AverageWindow): void {
    this.#meanAdmitted = this.meanAdmitted(window);
    this.#averagedAtMs = window.nowMs;
    this.#admitted = units;
  }
}
