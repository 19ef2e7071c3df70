/** Demand for scheduled services that other entries reported. */
import { type FlowDemand, type FlowId, flowKey } from "./flow.ts";

/** Service, priority, workspace, admitted and waiting units, as entries send them. */
export type DemandRow = [string, number, string, number, number];

/** How long the demand of an entry counts after its last report. */
export const DEMAND_TTL_MS = 1500;
/** Reported flows of one service; the demand of the others is summed by priority. */
export const MAX_FLOW_ROWS = 32;
/** Highest priority that is accepted from other entries. */
const MAX_PRIORITY = 9;

/** Less than this remains only from rounding. */
const MIN_UNITS = 0.05;

interface Report {
  atMs: number;
  rows: readonly DemandRow[];
}

/** Demand reported by the other entries, by service. */
export class DemandTable {
  readonly #reports = new Map<string, Report>();
  readonly #services = new Map<string, Map<string, FlowDemand>>();
  #revision = 0;

  private constructor() {}

  /** @returns A table without reports. */
  static create(): DemandTable {
    return new DemandTable();
  }

  /** Increases with each change of the demand. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Replaces the demand of an entry.
   *
   * @param peer The entry's address.
   * @param rows All its demand; empty if it has none.
   * @param nowMs Current time.
   */
  apply(peer: string, rows: readonly DemandRow[], nowMs: number): void {
    const before = this.#reports.get(peer);
    this.#reports.set(peer, { atMs: nowMs, rows });
    if (before) this.#add(before.rows, -1);
    this.#add(rows, 1);
  }

  /**
   * Drops the demand of entries that are not heard any more.
   *
   * @param nowMs Current time.
   * @returns Number of entries that are heard.
   */
  expire(nowMs: number): number {
    for (const [peer, { atMs, rows }] of this.#reports) {
      if (nowMs - atMs < DEMAND_TTL_MS) continue;
      this.#reports.delete(peer);
      this.#add(rows, -1);
    }
    return this.#reports.size;
  }

  /**
   * @param service Name of a service.
   * @returns Demand of each flow at all other entries together.
   */
  flows(service: string): Iterable<FlowDemand> {
    return this.#services.get(service)?.values() ?? [];
  }

  #add(rows: readonly DemandRow[], sign: 1 | -1): void {
    if (rows.length > 0) this.#revision++;
    for (const [service, priority, workspace, admitted, waiting] of rows) {
      let flows = this.#services.get(service);
      if (!flows) this.#services.set(service, flows = new Map());
      const id = { priority: Math.min(MAX_PRIORITY, priority), workspace };
      const key = flowKey(id);
      let flow = flows.get(key);
      if (!flow) flows.set(key, flow = { ...id, units: 0 });
      flow.units += sign * (admitted + waiting);
      if (flow.units < MIN_UNITS) flows.delete(key);
      if (flows.size === 0) this.#services.delete(service);
    }
  }
}

/** Demand of a flow at this entry. */
export interface ReportedFlow extends FlowId {
  admitted: number;
  waiting: number;
}

/** Options of {@link demandRows}. */
export interface DemandRowsOptions {
  service: string;
  /** Whether single flows are reported, as the room is divided. */
  isDivided: boolean;
}

/**
 * @param flows Demand of this entry's flows.
 * @param options The service.
 * @returns Rows to send to the other entries.
 */
export function demandRows(
  flows: readonly ReportedFlow[],
  { service, isDivided }: DemandRowsOptions,
): DemandRow[] {
  const byDemand = flows.toSorted((a, b) =>
    b.admitted + b.waiting - a.admitted - a.waiting
  );
  const named = isDivided ? byDemand.slice(0, MAX_FLOW_ROWS) : [];
  const sums = new Map<number, ReportedFlow>();
  for (const { priority, admitted, waiting } of byDemand.slice(named.length)) {
    const sum = sums.get(priority) ??
      { priority, workspace: "", admitted: 0, waiting: 0 };
    sum.admitted += admitted;
    sum.waiting += waiting;
    sums.set(priority, sum);
  }
  return [...named, ...sums.values()]
    .map(({ priority, workspace, admitted, waiting }): DemandRow => [
      service,
      priority,
      workspace,
      roundUnits(admitted),
      roundUnits(waiting),
    ])
    .filter(([, , , admitted, waiting]) => admitted + waiting > 0);
}

/** Averages are often below one unit; rounded to whole units, demand would be lost. */
function roundUnits(units: number): number {
  return Math.round(units * 10) / 10;
}
