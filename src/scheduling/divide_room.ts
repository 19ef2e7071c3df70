/**
 * Divides the room of a service between flows: priorities in order, with a floor for each less urgent
 * one; within a priority equal shares for workspaces, where one leaves unused what exceeds its demand;
 * within a flow the entries' shares are in proportion to their demands.
 */
import { type FlowDemand, flowKey } from "./flow.ts";

/** Highest part of the room that all floors together keep from more urgent priorities. */
const MAX_FLOORS_SHARE = 0.5;

/** Demand of one of this entry's flows. */
export interface OwnDemand extends FlowDemand {
  /** Assumed demand of the flow at each entry that may be alive but is not heard. */
  silentUnits: number;
}

/** Input of {@link divideRoom}. */
export interface RoomDemand {
  /** Units that the service can hold. */
  room: number;
  /** Part of the room that each less urgent priority with demand keeps. */
  floorShare: number;
  own: readonly OwnDemand[];
  /** Demand of the entries that are heard; several rows of a flow are added up. */
  peers: Iterable<FlowDemand>;
  /** Entries that may be alive but are not heard. */
  silentEntries: number;
}

/** This entry's part of a flow. */
export interface FlowShare {
  /** Units that this entry may have admitted. */
  allowance: number;
  /** Whether the flow gets all that it demands, over all entries. */
  isMet: boolean;
}

/** Division of the room of a service. */
export type Division =
  /** All demand fits. `spare`: what this entry may admit until it divides again. */
  | { kind: "free"; spare: number }
  /** Shares of this entry's flows, by {@link flowKey}. `limit`: units of all flows; absent: no limit. */
  | {
    kind: "divided";
    shares: ReadonlyMap<string, FlowShare>;
    limit?: number;
  };

/** Demand of a flow at all entries. */
interface SummedFlow {
  key: string;
  priority: number;
  ownUnits: number;
  totalUnits: number;
}

/**
 * @param demand Room and demand of a service.
 * @returns The division as this entry sees it.
 */
export function divideRoom(demand: RoomDemand): Division {
  const { room, silentEntries } = demand;
  const flows = sumFlows(demand);
  const total = sumUnits(flows.values());
  if (total <= room) {
    return { kind: "free", spare: (room - total) / (1 + silentEntries) };
  }
  const shares = new Map<string, FlowShare>();
  const priorities = groupByPriority(flows.values());
  const floors = floorsOf(priorities, demand);
  let left = room;
  let laterFloors = floors.reduce((sum, floor) => sum + floor, 0);
  for (const [i, flowsOfOne] of priorities.entries()) {
    laterFloors -= floors[i]!;
    const granted = Math.min(
      sumUnits(flowsOfOne),
      Math.max(0, left - laterFloors),
    );
    left -= granted;
    addShares(flowsOfOne, granted, shares);
  }
  return { kind: "divided", shares };
}

function sumFlows(
  { own, peers, silentEntries }: RoomDemand,
): Map<string, SummedFlow> {
  const flows = new Map<string, SummedFlow>();
  const flowOf = (demand: FlowDemand) => {
    const key = flowKey(demand);
    let flow = flows.get(key);
    if (!flow) {
      const { priority } = demand;
      flow = { key, priority, ownUnits: 0, totalUnits: 0 };
      flows.set(key, flow);
    }
    return flow;
  };
  for (const demand of own) {
    const flow = flowOf(demand);
    flow.ownUnits += demand.units;
    flow.totalUnits += demand.units + silentEntries * demand.silentUnits;
  }
  for (const demand of peers) flowOf(demand).totalUnits += demand.units;
  return flows;
}

/** Flows of each priority with demand, the most urgent priority first. */
function groupByPriority(flows: Iterable<SummedFlow>): SummedFlow[][] {
  const groups: SummedFlow[][] = [];
  for (const flow of flows) {
    if (flow.totalUnits > 0) (groups[flow.priority] ??= []).push(flow);
  }
  // Priorities without demand are holes in the array.
  return groups.filter(() => true);
}

/** Units kept for each priority; the most urgent one needs no floor. */
function floorsOf(
  priorities: readonly SummedFlow[][],
  { room, floorShare }: RoomDemand,
): number[] {
  const floors = priorities.map((flows, i) =>
    i === 0 ? 0 : Math.min(sumUnits(flows), floorShare * room)
  );
  const sum = floors.reduce((total, floor) => total + floor, 0);
  const scale = Math.min(1, MAX_FLOORS_SHARE * room / Math.max(sum, 1e-9));
  return floors.map((floor) => floor * scale);
}

function addShares(
  flows: readonly SummedFlow[],
  granted: number,
  shares: Map<string, FlowShare>,
): void {
  const level = levelOf(flows, granted);
  for (const { key, ownUnits, totalUnits } of flows) {
    const isMet = totalUnits <= level;
    const grantedUnits = isMet ? totalUnits : level;
    const allowance = grantedUnits * ownUnits / totalUnits;
    shares.set(key, { allowance, isMet });
  }
}

/** The most that a flow gets if flows with less demand leave the rest to the others. */
function levelOf(flows: readonly SummedFlow[], granted: number): number {
  const byDemand = flows.map(({ totalUnits }) => totalUnits)
    .sort((a, b) => a - b);
  let left = granted;
  for (const [i, units] of byDemand.entries()) {
    const equalShare = left / (byDemand.length - i);
    if (units > equalShare + 1e-9) return equalShare;
    left -= units;
  }
  return Infinity;
}

function sumUnits(flows: Iterable<SummedFlow>): number {
  let sum = 0;
  for (const { totalUnits } of flows) sum += totalUnits;
  return sum;
}
