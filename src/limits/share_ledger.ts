/**
 * Divides a team's limits between the entries that need them. Each team has one coordinator, the
 * entry that ranks first for it by rendezvous hashing. The coordinator keeps its state in memory only.
 *
 * The ledger never grants capacity that another entry may still use. It counts a share until it
 * expires, the previous share until the entry reports the new one (the answer may be lost), requests
 * in flight, and the floor of each entry without a share.
 * A new coordinator doesn't know the shares that an earlier one granted. Until those have expired, it
 * confirms the shares that entries report, and grants other entries at most an even part.
 */
import type { Clock } from "../base/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import { reportIntervalMs, shareTtlMs } from "./_report_interval.ts";
import {
  evenShare,
  floorShare,
  grantableShare,
  type Limits,
  targetShare,
} from "./_division.ts";

/** Added to the lifetime of a share in the ledger, for clock drift and answers in transit. */
const EXPIRY_MARGIN_MS = 500;

/** Settings of a {@link ShareLedger}. */
export interface ShareLedgerOptions {
  clock: Clock;
  /** Current limits; undefined for an unknown team. */
  limitsOf: (team: string) => Limits | undefined;
  /** Entries known to be running, including this one. */
  entryCount: () => number;
  /** When the list of entries last changed, as a time of `clock`. */
  entriesChangedMs: () => number;
}

/** Last demand and share of one entry. */
interface EntryRow {
  demand: TeamDemand;
  share: Limits;
  expiresAtMs: number;
}

/** The rows of one team, by entry id. */
interface TeamTable {
  rows: Map<string, EntryRow>;
  createdAtMs: number;
  /** Until this time, shares granted by an earlier coordinator may still be valid. */
  handoverUntilMs: number;
}

/** State of one team in a ledger, for state dumps. */
export interface LedgerState {
  team: string;
  rows: {
    processId: string;
    inFlight: number;
    wantedInFlight: number;
    shareInFlight: number;
    shareTokensPerSecond: number;
    expiresInMs: number;
  }[];
}

/** Shares of the teams that this entry coordinates. */
export class ShareLedger {
  readonly #options: ShareLedgerOptions;
  readonly #tables = new Map<string, TeamTable>();

  private constructor(options: ShareLedgerOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, limits and entries.
   * @returns A ledger without any shares.
   */
  static create(options: ShareLedgerOptions): ShareLedger {
    return new ShareLedger(options);
  }

  /**
   * Records an entry's demands and computes its shares.
   *
   * @param processId The entry.
   * @param demands Its demands, with the shares that it holds.
   * @returns Its shares; unknown teams are left out.
   */
  answer(processId: string, demands: TeamDemand[]): TeamShare[] {
    const shares: TeamShare[] = [];
    for (const demand of demands) {
      const limits = this.#options.limitsOf(demand.team);
      if (limits) shares.push(this.#answerDemand(processId, demand, limits));
    }
    return shares;
  }

  /** @returns The state of each team, for state dumps. */
  state(): LedgerState[] {
    const nowMs = this.#options.clock.nowMs();
    return [...this.#tables].map(([team, { rows }]) => ({
      team,
      rows: [...rows].map((
        [processId, { demand, share, expiresAtMs }],
      ) => ({
        processId,
        inFlight: demand.inFlight,
        wantedInFlight: demand.wantedInFlight,
        shareInFlight: share.maxInFlight,
        shareTokensPerSecond: share.tokensPerSecond,
        expiresInMs: expiresAtMs - nowMs,
      })),
    }));
  }

  #answerDemand(
    processId: string,
    demand: TeamDemand,
    limits: Limits,
  ): TeamShare {
    const nowMs = this.#options.clock.nowMs();
    const table = this.#tableOf(demand.team, nowMs);
    removeExpired(table.rows, nowMs);
    const ttlMs = shareTtlMs(this.#rowCount());
    if (hasUnrecordedShare(table, processId, demand)) {
      const expiredAtMs = table.createdAtMs + ttlMs + EXPIRY_MARGIN_MS;
      table.handoverUntilMs = Math.max(table.handoverUntilMs, expiredAtMs);
    }
    table.rows.delete(processId);
    const others = [...table.rows.values()];
    const computed = this.#divide(others, demand, limits);
    const share = nowMs < table.handoverUntilMs
      ? confirmShare(
        demand,
        computed,
        evenShare(limits, this.#options.entryCount()),
      )
      : computed;
    if (!isIdle(demand)) {
      const expiresAtMs = nowMs + ttlMs + EXPIRY_MARGIN_MS;
      table.rows.set(processId, { demand, share, expiresAtMs });
    }
    return {
      team: demand.team,
      inFlight: share.maxInFlight,
      tokensPerSecond: share.tokensPerSecond,
      ttlMs,
      nextReportMs: reportIntervalMs(this.#rowCount()),
    };
  }

  #tableOf(team: string, nowMs: number): TeamTable {
    const known = this.#tables.get(team);
    if (known && known.rows.size > 0) return known;
    const { entryCount, entriesChangedMs } = this.#options;
    const ttlMs = shareTtlMs(entryCount());
    const table = {
      rows: new Map<string, EntryRow>(),
      createdAtMs: nowMs,
      handoverUntilMs: entriesChangedMs() + ttlMs + EXPIRY_MARGIN_MS,
    };
    this.#tables.set(team, table);
    return table;
  }

  #rowCount(): number {
    let count = 0;
    for (const { rows } of this.#tables.values()) count += rows.size;
    return count;
  }

  #divide(others: EntryRow[], demand: TeamDemand, limits: Limits): Limits {
    const entryCount = this.#options.entryCount();
    const floor = floorShare(limits, entryCount);
    const reporterCount = others.length + 1;
    const silentCount = Math.max(0, entryCount - reporterCount);
    const divide = (field: keyof Limits, select: DemandSelector) => {
      const input = {
        limit: limits[field],
        floor: floor[field],
        silentCount,
        reporterCount,
        wanted: select.wanted(demand),
        held: select.held(demand),
        wantedByOthers: sum(others, (row) => select.wanted(row.demand)),
        heldByOthers: sum(others, ({ share, demand }) => {
          const held = demand.hasShare ? select.held(demand) : floor[field];
          return Math.max(share[field], held, select.used(demand));
        }),
      };
      return grantableShare(targetShare(input), input);
    };
    return {
      maxInFlight: divide("maxInFlight", IN_FLIGHT),
      tokensPerSecond: divide("tokensPerSecond", TOKENS),
    };
  }
}

interface DemandSelector {
  wanted(demand: TeamDemand): number;
  held(demand: TeamDemand): number;
  used(demand: TeamDemand): number;
}

const IN_FLIGHT: DemandSelector = {
  wanted: (demand) => demand.wantedInFlight,
  held: (demand) => demand.shareInFlight,
  used: (demand) => demand.inFlight,
};

const TOKENS: DemandSelector = {
  wanted: (demand) => demand.wantedTokensPerSecond,
  held: (demand) => demand.shareTokensPerSecond,
  used: () => 0,
};

/** Whether the entry holds a share that is not recorded in this table. */
function hasUnrecordedShare(
  { rows }: TeamTable,
  processId: string,
  demand: TeamDemand,
): boolean {
  return demand.hasShare && !rows.has(processId);
}

/** Keeps the share that the entry holds; otherwise grants the computed share, at most an even part. */
function confirmShare(
  demand: TeamDemand,
  computed: Limits,
  even: Limits,
): Limits {
  return {
    maxInFlight: Math.max(
      demand.shareInFlight,
      Math.min(computed.maxInFlight, even.maxInFlight),
    ),
    tokensPerSecond: Math.max(
      demand.shareTokensPerSecond,
      Math.min(computed.tokensPerSecond, even.tokensPerSecond),
    ),
  };
}

function removeExpired(rows: Map<string, EntryRow>, nowMs: number): void {
  for (const [processId, { expiresAtMs }] of rows) {
    if (expiresAtMs <= nowMs) rows.delete(processId);
  }
}

function isIdle(demand: TeamDemand): boolean {
  return demand.wantedInFlight === 0;
}

function sum(rows: EntryRow[], valueOf: (row: EntryRow) => number): number {
  let total = 0;
  for (const row of rows) total += valueOf(row);
  return total;
}
