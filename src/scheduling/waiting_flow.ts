/** The requests of one flow at an entry: how many units are admitted, and which requests wait. */
import type { FlowId } from "./flow.ts";
import type { FlowShare } from "./divide_room.ts";
import type { AdmittedRequest, WaitingRequest } from "./ticket.ts";

/** One admission in this many goes to a request that can no longer meet its target. */
const LATE_TURN = 8;
/** Weight of the newest sample in the moving average of the late requests' part. */
const SAMPLE_WEIGHT = 0.1;
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
  /** Random number that rounds the allowance, and until when it holds. */
  rounding = 0;
  roundedUntilMs = -Infinity;
  /** Mean demand, for the entries that are not heard. */
  meanUnits = 0;
  /** Requests that can meet their target, by target. */
  readonly #inTime: WaitingRequest[] = [];
  /** Requests that can't, by deadline. */
  readonly #late: WaitingRequest[] = [];
  /** Admissions since the last one of a late request. */
  #sinceLate = 0;
  #lateShare = 0;
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
    return this.#inTime.length + this.#late.length > 0;
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

  /** All requests that wait. */
  requests(): WaitingRequest[] {
    return [...this.#inTime, ...this.#late];
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
    const [inTime] = this.#inTime;
    const [late] = this.#late;
    const isLateTurn = this.#sinceLate >= LATE_TURN - 1;
    return inTime && late ? (isLateTurn ? late : inTime) : inTime ?? late;
  }

  /** @param request A request that begins to wait, or becomes late while it waits. */
  add(request: WaitingRequest): void {
    this.waiting += request.units;
    const line = request.isLate ? this.#late : this.#inTime;
    let at = line.length;
    while (at > 0 && orderOf(line[at - 1]!) > orderOf(request)) at--;
    line.splice(at, 0, request);
  }

  /** @param request A request that waits. */
  remove(request: WaitingRequest): void {
    const line = request.isLate ? this.#late : this.#inTime;
    line.splice(line.indexOf(request), 1);
    this.waiting -= request.units;
  }

  /**
   * @param request A request that is admitted.
   * @param window See {@link WaitingFlow.meanAdmitted}.
   */
  admit({ units, isLate }: AdmittedRequest, window: AverageWindow): void {
    this.#setAdmitted(this.#admitted + units, window);
    this.#sinceLate = isLate ? 0 : this.#sinceLate + 1;
    this.#lateShare += SAMPLE_WEIGHT * ((isLate ? 1 : 0) - this.#lateShare);
  }

  /**
   * @param request A request that waits.
   * @returns Units that are admitted before it among those of its line, its own included.
   */
  unitsUntil(request: WaitingRequest): number {
    const line = request.isLate ? this.#late : this.#inTime;
    let units = 0;
    for (const other of line) {
      units += other.units;
      if (other === request) break;
    }
    return units;
  }

  /**
   * @param request A request that waits.
   * @returns Part of the flow's admissions that is expected to go to its line.
   */
  lineShare({ isLate }: WaitingRequest): number {
    if (isLate) return Math.max(1 / LATE_TURN, this.#lateShare);
    return this.#late.length > 0 ? 1 - 1 / LATE_TURN : 1;
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

function orderOf(
  { isLate, deadlineAtMs, targetAtMs }: WaitingRequest,
): number {
  return isLate ? deadlineAtMs : targetAtMs;
}
