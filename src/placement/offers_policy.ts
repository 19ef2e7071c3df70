/**
 * Placement in two steps: computes a short list of candidates, then compares their offers.
 *
 * Each prefix level selects servers by rendezvous hashing among those that the level above
 * selected. Requests that share a short prefix thus share a few servers, and those that share a
 * longer prefix even fewer. Hints record the server that last took a prefix. The offers of the
 * candidates' agents, which know the actual cache contents and load, decide among the candidates.
 */
import type { ChainPoint, Offer } from "../wire/gen/cicadahitch.ts";
import { ServerBackoff } from "./server_backoff.ts";
import { MAX_PLACEMENT_LEVELS } from "./chain.ts";
import { LRUMap } from "./lru_map.ts";
import type { Member, MemberTable } from "./member_table.ts";
import {
  Mechanism,
  type Observation,
  type PlacementRequest,
  type Policy,
  type PolicyOptions,
  type ServerOffer,
} from "./policy.ts";
import { PolicyName } from "./policy_name.ts";
import { PrefixLoads } from "./prefix_loads.ts";
import { topRows } from "./rendezvous.ts";

/** Bound on the prefixes whose last server is kept. */
const MAX_HINTS = 8192;
/** Bound on the servers that are asked for an offer per round. */
const MAX_CANDIDATES = 3;
/** Minimum number of servers that a level selects. */
const MIN_WIDTH = 2;
/** Assumed round trip to an availability zone without a configured one. */
const DEFAULT_RTT_MS = 50;
/** Bound on how often the number of servers of a hot prefix doubles. */
const MAX_WIDTH_DOUBLINGS = 5;
/** Offers whose costs differ by no more are ranked by load. */
const COST_TOLERANCE_MS = 5;

/** The policy {@link PolicyName.Offers}. */
export class OffersPolicy implements Policy {
  readonly name = PolicyName.Offers;
  readonly #options: PolicyOptions;
  readonly #hints = LRUMap.create<bigint, string>(MAX_HINTS);
  readonly #loads = PrefixLoads.create();
  readonly #backoff: ServerBackoff;
  readonly #allRowsByTable = new WeakMap<object, readonly number[]>();

  private constructor(options: PolicyOptions) {
    this.#options = options;
    this.#backoff = ServerBackoff.create(options.random);
  }

  /**
   * @param options Policy settings.
   * @returns A policy without observations.
   */
  static create(options: PolicyOptions): OffersPolicy {
    return new OffersPolicy(options);
  }

  candidates<M extends Member>(
    request: PlacementRequest,
    table: MemberTable<M>,
  ): M[] {
    const nowMs = this.#options.nowMs();
    this.#loads.count(request.levels, nowMs);
    const rows = this.#candidateRows(request, table);
    const members = rows.map((row) => table.members[row]!);
    for (const { id } of members) this.#backoff.probeSent(id, nowMs);
    return members;
  }

  choose<M extends Member>(
    request: PlacementRequest,
    offers: ServerOffer<M>[],
  ): ServerOffer<M> | undefined {
    let best = offers[0];
    if (!best) return undefined;
    for (const offer of offers) {
      if (this.#isBetter(request, offer, best)) best = offer;
    }
    return best;
  }

  recordObservation(observation: Observation): void {
    const nowMs = this.#options.nowMs();
    switch (observation.kind) {
      case "placed":
        this.#recordHints(observation.request, observation.memberId);
        this.#adjustWidth(observation.request, observation.offer);
        break;
      case "failed":
        this.#backoff.failed(observation.memberId, nowMs);
        break;
      case "answered":
        this.#backoff.answered(observation.memberId);
        break;
      case "refused":
      case "load":
        break;
    }
  }

  dump(): Record<string, unknown> {
    return {
      policy: this.name,
      hints: this.#hints.size,
      prefixes: this.#loads.size,
      failing: [...this.#backoff.failingIds],
    };
  }

  #candidateRows(
    request: PlacementRequest,
    table: MemberTable<Member>,
  ): number[] {
    const skip = this.#skippedRows(request, table);
    const rows = this.#allRows(table);
    const chosen = new Set<number>();
    const hintedRow = this.#hintedRow(request, table);
    if (hintedRow >= 0 && !skip.has(hintedRow)) chosen.add(hintedRow);
    const levels = this.#hashingLevels(request);
    for (const row of this.#rankedRows(levels, { table, rows, skip })) {
      if (chosen.size >= MAX_CANDIDATES) break;
      chosen.add(row);
    }
    return [...chosen];
  }

  #allRows(table: MemberTable<Member>): readonly number[] {
    let rows = this.#allRowsByTable.get(table);
    if (rows) return rows;
    rows = table.members.map((_, row) => row);
    this.#allRowsByTable.set(table, rows);
    return rows;
  }

  /** Rows that were tried or are in backoff. Backoff is ignored if it would exclude every row. */
  #skippedRows(
    request: PlacementRequest,
    table: MemberTable<Member>,
  ): Set<number> {
    const tried = new Set<number>();
    for (const id of request.excludedIds ?? []) addRow(tried, table.rowOf(id));
    const skipped = new Set(tried);
    const nowMs = this.#options.nowMs();
    for (const id of this.#backoff.failingIds) {
      if (this.#backoff.excludes(id, nowMs)) addRow(skipped, table.rowOf(id));
    }
    return skipped.size < table.size ? skipped : tried;
  }

  /**
   * Row of the server that last took the longest known prefix, among those longer than the first
   * level; -1 if there is none.
   */
  #hintedRow(request: PlacementRequest, table: MemberTable<Member>): number {
    if (this.#isDisabled(Mechanism.Hints)) return -1;
    const firstLevelBlocks = request.levels[0]?.blocks ?? 0;
    for (let i = request.points.length - 1; i >= 0; i--) {
      const { blocks, key } = request.points[i]!;
      if (blocks <= firstLevelBlocks) break;
      const id = this.#hints.get(key);
      if (id !== undefined) return table.rowOf(id);
    }
    return -1;
  }

  #hashingLevels(request: PlacementRequest): readonly ChainPoint[] {
    const levels = levelsForPlacement(request);
    return this.#isDisabled(Mechanism.Nested) ? levels.slice(-1) : levels;
  }

  /**
   * Ranks rows. First comes the best row at the current widths, then the best row at each halved
   * width, where entries that measured less load may have placed the prefix, then all rows at the
   * minimum width, then rows at twice the current widths as alternatives.
   *
   * If the deepest level is widened, returns a random sample of its rows instead; if there is no
   * level, a random sample of all rows.
   */
  #rankedRows(
    levels: readonly ChainPoint[],
    selection: RowSelection,
  ): number[] {
    const deepest = levels.at(-1);
    if (!deepest) {
      return this.#sampleRows(
        selection.rows.filter((row) => !selection.skip.has(row)),
      );
    }
    if (this.#loads.doublings(deepest.key) > 0) {
      return this.#sampleRows(this.#nestedRows(levels, selection, 0));
    }
    const maxHalvings = Math.max(
      ...levels.map(({ key }) => this.#loads.doublings(key)),
    );
    const firstLevelRows = this.#firstLevelRows(levels[0]!.key, selection);
    const rowsAt = (halvings: number) =>
      this.#nestedRows(
        levels,
        { ...selection, rows: firstLevelRows },
        halvings,
      );
    const ranked: number[] = [];
    for (let halvings = 0; halvings < maxHalvings; halvings++) {
      ranked.push(...rowsAt(halvings).slice(0, 1));
    }
    return [...ranked, ...rowsAt(maxHalvings), ...rowsAt(-1)];
  }

  /** Rows of the first level at twice its current width. The ranking scans all rows only here. */
  #firstLevelRows(key: bigint, { table, rows, skip }: RowSelection): number[] {
    const count = this.#minWidth() * 2 ** (this.#loads.doublings(key) + 1);
    return topRows(table.idHashes, key, { count, rows, skip });
  }

  /**
   * Selects rows level by level, each among the rows of the level above. `halvings` reduces the
   * width of each level, down to the minimum; -1 doubles it.
   */
  #nestedRows(
    levels: readonly ChainPoint[],
    selection: RowSelection,
    halvings: number,
  ): readonly number[] {
    const { table, skip } = selection;
    let rows = selection.rows;
    for (const { key } of levels) {
      const doublings = Math.max(0, this.#loads.doublings(key) - halvings);
      const count = this.#minWidth() * 2 ** doublings;
      rows = topRows(table.idHashes, key, { count, rows, skip });
    }
    return rows;
  }

  #minWidth(): number {
    return this.#isDisabled(Mechanism.TwoChoices) ? 1 : MIN_WIDTH;
  }

  #sampleRows(rows: readonly number[]): number[] {
    const remaining = [...rows];
    const sample: number[] = [];
    while (remaining.length > 0 && sample.length < MAX_CANDIDATES) {
      const index = Math.floor(this.#options.random() * remaining.length);
      sample.push(remaining[index]!);
      remaining[index] = remaining.at(-1)!;
      remaining.pop();
    }
    return sample;
  }

  #isBetter<M extends Member>(
    request: PlacementRequest,
    one: ServerOffer<M>,
    other: ServerOffer<M>,
  ): boolean {
    const difference = this.#costMs(request, one) -
      this.#costMs(request, other);
    if (this.#isDisabled(Mechanism.TwoChoices)) return difference < 0;
    if (Math.abs(difference) > COST_TOLERANCE_MS) return difference < 0;
    return inFlightOf(one.offer) < inFlightOf(other.offer);
  }

  #costMs<M extends Member>(
    request: PlacementRequest,
    candidate: ServerOffer<M>,
  ): number {
    const { offer, member } = candidate;
    const priceMs = this.#isDisabled(Mechanism.Price)
      ? 0
      : request.recomputePriceMs;
    const rttMs = this.#isDisabled(Mechanism.Zones) ? 0 : this.#rttMs(member);
    return offer.expectedTtftMs + rttMs + priceMs * offer.recomputeTokens;
  }

  #rttMs(member: Member): number {
    return this.#options.zoneRttMs[member.zone] ?? DEFAULT_RTT_MS;
  }

  #recordHints(request: PlacementRequest, memberId: string): void {
    if (this.#isDisabled(Mechanism.Hints)) return;
    for (const { key } of request.levels) this.#hints.set(key, memberId);
    const last = request.points.at(-1);
    if (last) this.#hints.set(last.key, memberId);
  }

  #adjustWidth(request: PlacementRequest, offer: Offer): void {
    if (this.#isDisabled(Mechanism.Widen)) return;
    this.#loads.adjustWidths(levelsForPlacement(request), {
      queueMs: offer.queueMs,
      nowMs: this.#options.nowMs(),
      maxDoublings: MAX_WIDTH_DOUBLINGS,
    });
  }

  #isDisabled(mechanism: Mechanism): boolean {
    return this.#options.without?.has(mechanism) ?? false;
  }
}

/** The rows that may be selected. */
interface RowSelection {
  table: MemberTable<Member>;
  rows: readonly number[];
  /** Rows to leave out. */
  skip: ReadonlySet<number>;
}

/** The shallowest levels, or the last point of a prompt without levels. */
function levelsForPlacement(request: PlacementRequest): readonly ChainPoint[] {
  if (request.levels.length > 0) {
    return request.levels.slice(0, MAX_PLACEMENT_LEVELS);
  }
  return request.points.slice(-1);
}

function addRow(rows: Set<number>, row: number): void {
  if (row >= 0) rows.add(row);
}

function inFlightOf(offer: Offer): number {
  return offer.running + offer.waiting;
}
