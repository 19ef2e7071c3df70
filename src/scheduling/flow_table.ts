/** The flows of one service at one entry, with their shares of the room. */
import type { ReportedFlow } from "./demand_table.ts";
import type { Division, FlowShare, OwnDemand } from "./divide_room.ts";
import { type FlowDemand, type FlowId, flowKey } from "./flow.ts";
import type { HoldTime } from "./hold_time.ts";
import { RoomPool } from "./room_pool.ts";
import { type AverageWindow, WaitingFlow } from "./waiting_flow.ts";

/**
 * Flows without demand are forgotten when their mean demand is below this part of a request's mean size.
 * A fixed number of units kept flows of prompts for 12 s, and going through them cost an entry with 78
 * workspaces 1.7% of a core.
 */
const MIN_MEAN_SHARE = 0.01;
/** Time constant of the mean demand. */
const MEAN_MS = 1000;
/** Reported averages cover at least this many mean times that requests stay admitted. */
const AVERAGED_HOLDS = 2;
/** Flows in the state dump of one service. */
const MAX_STATE_FLOWS = 20;
/** Tolerance for sums of fractions. */
const EPSILON = 1e-6;

/** Options of {@link FlowTable}. */
export interface FlowTableOptions {
  /** Returns a number from 0 to 1. */
  random: () => number;
  hold: HoldTime;
  /** Time between two reports of demand to the other entries. */
  reportIntervalMs(): number;
  nowMs: number;
}

/** A flow in the state dump. */
export interface FlowState extends ReportedFlow {
  /** Absent while there is room for all. */
  allowance?: number;
}

/** Flows by priority and workspace. */
export class FlowTable {
  readonly #options: FlowTableOptions;
  readonly #flows = new Map<string, WaitingFlow>();
  /** Room of the flows that get less than they demand, by priority. */
  readonly #pools = new Map<number, RoomPool>();
  #isFree = true;
  /** Units that may be admitted without a new division, while there is room for all. */
  #spare = 0;
  #meanAtMs: number;
  /** Units that are admitted, and that may be, over all flows. */
  #admitted = 0;
  #limit = Infinity;
  /** Shares of the last division; undefined while there is room for all. */
  #shares: ReadonlyMap<string, FlowShare> | undefined;
  #sharesAtMs = 0;

  private constructor(options: FlowTableOptions) {
    this.#options = options;
    this.#meanAtMs = options.nowMs;
  }

  /**
   * @param options Measured times and random numbers.
   * @returns A table without flows and without room.
   */
  static create(options: FlowTableOptions): FlowTable {
    return new FlowTable(options);
  }

  /** Whether there is room for all. */
  get isFree(): boolean {
    return this.#isFree;
  }

  /**
   * @param id A flow.
   * @returns Its state.
   */
  flowOf({ priority, workspace }: FlowId): WaitingFlow {
    const id = { priority, workspace };
    const key = flowKey(id);
    let flow = this.#flows.get(key);
    if (!flow) {
      flow = WaitingFlow.create(id);
      flow.setShare(this.#shares?.get(key), this.#sharesAtMs);
      this.#flows.set(key, flow);
    }
    return flow;
  }

  /** @returns Whether the last division doesn't say whether a request that is offered has room. */
  needsDivision(request: FlowDemand): boolean {
    if (this.#isFree) return request.units > this.#spare;
    const flow = this.#flows.get(flowKey(request));
    if (!flow?.share) return true;
    const { isMet, allowance } = flow.share;
    return isMet && flow.admitted + flow.waiting + request.units > allowance;
  }

  /**
   * @param nowMs Current time.
   * @param next A request that is about to be offered.
   * @returns Demand of all flows, for the division of the room.
   */
  demand(nowMs: number, next?: FlowDemand): OwnDemand[] {
    const nextFlow = next && this.flowOf(next);
    const weight = this.#meanWeight(nowMs);
    const demand: OwnDemand[] = [];
    const minMeanUnits = MIN_MEAN_SHARE * this.#options.hold.meanUnits;
    for (const [key, flow] of this.#flows) {
      const units = flow.admitted + this.#waitingUnits(flow, nowMs) +
        (flow === nextFlow ? next!.units : 0);
      flow.meanUnits += weight * (units - flow.meanUnits);
      if (units === 0 && flow.meanUnits < minMeanUnits) {
        this.#flows.delete(key);
        continue;
      }
      demand.push({ ...flow.id, units, silentUnits: flow.meanUnits });
    }
    return demand;
  }

  /**
   * @param nowMs Current time.
   * @returns Demand of all flows, as reported to the other entries.
   */
  reported(nowMs: number): ReportedFlow[] {
    const window = this.#window(nowMs);
    return [...this.#flows.values()].map((flow) => ({
      ...flow.id,
      admitted: flow.meanAdmitted(window),
      waiting: this.#waitingUnits(flow, nowMs),
    }));
  }

  /**
   * @param nowMs Current time.
   * @returns Flows with the most demand, for the state dump.
   */
  state(nowMs: number): FlowState[] {
    return this.reported(nowMs)
      .sort((a, b) => b.admitted + b.waiting - a.admitted - a.waiting)
      .slice(0, MAX_STATE_FLOWS)
      .map((flow) => ({
        ...flow,
        allowance: this.#flows.get(flowKey(flow))?.share?.allowance,
      }));
  }

  /**
   * @param division New division of the room.
   * @param nowMs Current time.
   */
  apply(division: Division, nowMs: number): void {
    this.#isFree = division.kind === "free";
    switch (division.kind) {
      case "free":
        this.#spare = division.spare;
        this.#shares = undefined;
        this.#pools.clear();
        for (const flow of this.#flows.values()) {
          flow.setShare(undefined, nowMs);
        }
        return;
      case "divided":
        for (const [key, flow] of this.#flows) {
          flow.setShare(division.shares.get(key), nowMs);
        }
        this.#sharesAtMs = nowMs;
        this.#shares = division.shares;
        this.#limit = division.limit ?? Infinity;
        this.#setPools(nowMs);
    }
  }

  /**
   * @param flow A flow with a waiting request.
   * @param nowMs Current time.
   * @returns Whether its next request has room.
   */
  hasRoom(flow: WaitingFlow, nowMs: number): boolean {
    if (this.#isFree) return true;
    const { share, admitted, id } = flow;
    if (!share) return false;
    const { units } = flow.next!;
    if (this.#admitted > 0 && this.#admitted + units > this.#limit) {
      return false;
    }
    if (admitted + units <= share.allowance + EPSILON) return true;
    if (share.isMet) return false;
    const roundedUp = share.allowance + units * this.#roundingOf(flow, nowMs);
    if (admitted + units <= roundedUp) return true;
    return this.#pools.get(id.priority)?.fits(units, nowMs) ?? false;
  }

  /**
   * @param flow A flow.
   * @param units Size of its next request.
   * @param nowMs Current time.
   * @returns Expected time until there is room for the request.
   */
  roomInMs(flow: WaitingFlow, units: number, nowMs: number): number {
    return this.#poolOf(flow)?.waitMs(units, nowMs) ?? 0;
  }

  /**
   * @param request A request that is admitted.
   * @param nowMs Current time.
   */
  admit(request: FlowDemand, nowMs: number): void {
    const { units } = request;
    const flow = this.flowOf(request);
    const holdMs = this.#options.hold.meanMs;
    flow.admit(units, this.#window(nowMs));
    this.#admitted += units;
    if (this.#isFree) this.#spare -= units;
    this.#poolOf(flow)?.add(units, { holdMs, nowMs });
  }

  /**
   * @param request A request that no longer takes room.
   * @param nowMs Current time.
   */
  release(request: FlowDemand, nowMs: number): void {
    const { units } = request;
    const flow = this.flowOf(request);
    flow.release(units, this.#window(nowMs));
    this.#admitted -= units;
    if (this.#isFree) this.#spare += units;
    this.#poolOf(flow)?.remove(units, nowMs);
  }

  /** Random number that rounds a flow's allowance up or down; redrawn when a request has ended on average. */
  #roundingOf(flow: WaitingFlow, nowMs: number): number {
    const { random, hold } = this.#options;
    if (nowMs >= flow.roundedUntilMs) {
      flow.rounding = random();
      flow.roundedUntilMs = nowMs + hold.meanMs;
    }
    return flow.rounding;
  }

  /**
   * A single value is outdated when it arrives if requests end between two reports; an average is a better
   * estimate. At first, the other entries must hear of each request.
   */
  #window(nowMs: number): AverageWindow {
    const { hold, reportIntervalMs, nowMs: startMs } = this.#options;
    if (nowMs - startMs < MEAN_MS) return { averageMs: 0, nowMs };
    const averageMs = Math.max(
      reportIntervalMs(),
      AVERAGED_HOLDS * hold.meanMs,
    );
    return { averageMs, nowMs };
  }

  #waitingUnits(flow: WaitingFlow, nowMs: number): number {
    const holdMs = this.#options.hold.meanMs;
    return flow.waiting + flow.refusedUnits({ holdMs, nowMs });
  }

  #poolOf({ share, id }: WaitingFlow): RoomPool | undefined {
    return share?.isMet === false ? this.#pools.get(id.priority) : undefined;
  }

  #setPools(nowMs: number): void {
    const sums = new Map<number, { allowance: number; admitted: number }>();
    for (const [key, { isMet, allowance }] of this.#shares ?? []) {
      if (isMet) continue;
      const priority = Number.parseInt(key);
      const sum = sums.get(priority) ?? { allowance: 0, admitted: 0 };
      sum.allowance += allowance;
      sum.admitted += this.#flows.get(key)?.admitted ?? 0;
      sums.set(priority, sum);
    }
    for (const priority of this.#pools.keys()) {
      if (!sums.has(priority)) this.#pools.delete(priority);
    }
    for (const [priority, { allowance, admitted }] of sums) {
      const pool = this.#pools.get(priority) ?? this.#createPool(nowMs);
      this.#pools.set(priority, pool);
      pool.set(allowance, admitted, nowMs);
    }
  }

  #createPool(nowMs: number): RoomPool {
    const { random, hold } = this.#options;
    return RoomPool.create(random() * hold.meanUnits * hold.meanMs, nowMs);
  }

  /** Weight of the current demand in its mean; at first, the mean is the current demand. */
  #meanWeight(nowMs: number): number {
    const weight = nowMs - this.#options.nowMs < MEAN_MS
      ? 1
      : 1 - Math.exp((this.#meanAtMs - nowMs) / MEAN_MS);
    this.#meanAtMs = nowMs;
    return weight;
  }
}
