/**
 * Simple placement policies for comparison. Each picks a single server without requesting offers.
 */
import { LRUMap } from "./lru_map.ts";
import type { Member, MemberTable } from "./member_table.ts";
import type {
  Observation,
  PlacementRequest,
  Policy,
  PolicyOptions,
  ServerOffer,
} from "./policy.ts";
import { PolicyName } from "./policy_name.ts";
import { topRows } from "./rendezvous.ts";

/** Bound on the prefixes whose last server the affinity policy keeps. */
const MAX_TRACKED_PREFIXES = 65_536;

/** Names of the baseline policies. */
export type BaselineName = Exclude<PolicyName, typeof PolicyName.Offers>;

/**
 * @param name Name of the baseline.
 * @param options Policy settings.
 * @returns The baseline policy.
 */
export function createBaseline(
  name: BaselineName,
  options: PolicyOptions,
): Policy {
  return new Baseline(name, options);
}

class Baseline implements Policy {
  readonly name: BaselineName;
  readonly #random: () => number;
  readonly #loads = new Map<string, number>();
  readonly #lastServers = LRUMap.create<bigint, string>(MAX_TRACKED_PREFIXES);

  constructor(name: BaselineName, options: PolicyOptions) {
    this.name = name;
    this.#random = options.random;
  }

  candidates<M extends Member>(
    request: PlacementRequest,
    table: MemberTable<M>,
  ): M[] {
    const skip = excludedRows(request, table);
    if (skip.size >= table.size) return [];
    const row = skip.size > 0
      ? this.#randomRow(table, skip)
      : this.#selectRow(request, table);
    return [table.members[row]!];
  }

  choose<M extends Member>(
    _request: PlacementRequest,
    offers: ServerOffer<M>[],
  ): ServerOffer<M> | undefined {
    return offers[0];
  }

  recordObservation(observation: Observation): void {
    switch (observation.kind) {
      case "placed":
        this.#recordPlacement(observation.request, observation.memberId);
        break;
      case "load":
        this.#loads.set(
          observation.memberId,
          observation.running + observation.waiting,
        );
        break;
      case "refused":
      case "failed":
      case "answered":
        break;
    }
  }

  dump(): Record<string, unknown> {
    return { policy: this.name, knownPrefixes: this.#lastServers.size };
  }

  #selectRow(request: PlacementRequest, table: MemberTable<Member>): number {
    switch (this.name) {
      case PolicyName.Random:
        return this.#randomRow(table, new Set());
      case PolicyName.LeastLoaded:
        return this.#leastLoadedRow(table);
      case PolicyName.Rendezvous:
        return this.#rendezvousRow(request, table);
      case PolicyName.Affinity:
        return this.#affinityRow(request, table);
    }
  }

  #randomRow(table: MemberTable<Member>, skip: ReadonlySet<number>): number {
    let row = Math.floor(this.#random() * table.size);
    while (skip.has(row)) row = (row + 1) % table.size;
    return row;
  }

  #leastLoadedRow(table: MemberTable<Member>): number {
    let best = this.#randomRow(table, new Set());
    let lowest = this.#loadOf(table, best);
    for (let row = 0; row < table.size; row++) {
      const load = this.#loadOf(table, row);
      if (load >= lowest) continue;
      lowest = load;
      best = row;
    }
    const { id } = table.members[best]!;
    this.#loads.set(id, lowest + 1);
    return best;
  }

  #loadOf(table: MemberTable<Member>, row: number): number {
    return this.#loads.get(table.members[row]!.id) ?? 0;
  }

  #rendezvousRow(
    request: PlacementRequest,
    table: MemberTable<Member>,
  ): number {
    const key = request.levels[0]?.key ?? request.points.at(-1)?.key;
    if (key === undefined) return this.#randomRow(table, new Set());
    return topRows(table.idHashes, key, { count: 1 })[0]!;
  }

  #affinityRow(request: PlacementRequest, table: MemberTable<Member>): number {
    for (let i = request.points.length - 1; i >= 0; i--) {
      const id = this.#lastServers.get(request.points[i]!.key);
      const row = id === undefined ? -1 : table.rowOf(id);
      if (row >= 0) return row;
    }
    return this.#randomRow(table, new Set());
  }

  #recordPlacement(request: PlacementRequest, memberId: string): void {
    if (this.name !== PolicyName.Affinity) return;
    for (const { key } of request.points) this.#lastServers.set(key, memberId);
  }
}

function excludedRows(
  request: PlacementRequest,
  table: MemberTable<Member>,
): Set<number> {
  const rows = new Set<number>();
  for (const id of request.excludedIds ?? []) {
    const row = table.rowOf(id);
    if (row >= 0) rows.add(row);
  }
  return rows;
}
