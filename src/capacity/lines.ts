/** The capacity model: resource use of each role at the planned size, compared with budgets. */
import { agentLines, entryLines, storeLines } from "./_role_lines.ts";
import { type CapacityLine, Resource, Role, type SlopeTable } from "./line.ts";
import { BUDGET } from "./sizes.ts";
import type { Slope } from "./slopes.ts";

const BYTES_PER_KB = 1_000;

/** Sum of all lines of one role and resource, with its budget. */
export interface CapacityTotal {
  role: Role;
  resource: Resource;
  amount: number;
  budget: number;
}

/**
 * @param slopes The measured slopes.
 * @returns A table that throws a RangeError for an unknown slope or point.
 */
export function createSlopeTable(slopes: Slope[]): SlopeTable {
  const byName = new Map(slopes.map((slope) => [slope.name, slope]));
  const find = (name: string): Slope => {
    const slope = byName.get(name);
    if (!slope) throw new RangeError(`Slope ${name} was not measured`);
    return slope;
  };
  return {
    cost: (name, x) => find(name).slope * x,
    costWithIntercept: (name, x) => find(name).intercept + find(name).slope * x,
    valueAt: (name, x) => {
      const point = find(name).points.find((candidate) => candidate.x === x);
      if (!point) throw new RangeError(`Slope ${name} has no point at ${x}`);
      return point.y;
    },
  };
}

/**
 * @param table The measured slopes.
 * @returns All lines of the capacity page.
 */
export function capacityLines(table: SlopeTable): CapacityLine[] {
  return [...entryLines(table), ...agentLines(table), ...storeLines(table)];
}

/**
 * @param lines All lines of the capacity page.
 * @returns Total of each role and resource that has a budget.
 */
export function capacityTotals(lines: CapacityLine[]): CapacityTotal[] {
  const totalFor = (
    role: Role,
    resource: Resource,
    budget: number,
  ): CapacityTotal => ({
    role,
    resource,
    budget,
    amount: lines
      .filter((line) => line.role === role && line.resource === resource)
      .reduce((sum, line) => sum + line.amount, 0),
  });
  const totals: CapacityTotal[] = [];
  for (const role of [Role.Entry, Role.Agent]) {
    totals.push(
      totalFor(role, Resource.Processor, BUDGET.controlCorePercent),
      totalFor(role, Resource.Memory, BUDGET.controlMemoryMb),
      totalFor(
        role,
        Resource.Network,
        BUDGET.controlBytesPerSecond / BYTES_PER_KB,
      ),
    );
  }
  totals.push(
    totalFor(Role.Store, Resource.Writes, BUDGET.storeWritesPerSecond),
    totalFor(Role.Store, Resource.Reads, BUDGET.storeReadsPerSecond),
  );
  return totals;
}
