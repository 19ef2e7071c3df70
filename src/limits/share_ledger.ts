/**
 * Divides a team's limits between the entries that need them. Each team has one coordinator, the
 * entry that ranks first for it; it keeps soft state only.
 *
 * The ledger never gives away what others may still use: a share counts until it lapses, the one
 * before it until the entry reports the new one (the answer may be lost), requests in flight count,
 * and entries that hold no share count with their floor.
 * A new ledger can't know the shares of an earlier coordinator. Until those have lapsed it confirms
 * what the entries say they hold and gives the others no more than an even part.
 */
import type { Clock } from "../base/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import { reportIntervalMs, shareTtlMs } from "./_pace.ts";
import {
  evenShare,
  floorShare,
  grantableShare,
  type Limits,
  targetShare,
} from "./_division.ts";

/** Added to a share's time here, for clocks that run at other rates and answers on their way. */
const EXPIRY_MARGIN_MS = 500;

/** Settings of a {@link ShareLedger}. */
export interface ShareLedgerOptions {
  clock: Clock;
  /** Limits in force; undefined for an unknown team. */
  limitsOf: (team: string) => Limits | undefined;
  /** Entries known to live, this one included. */
  entryCount: () => number;
  /** When the list of entries last changed, in the clock's time. */
  entriesChangedMs: () => number;
}

/** What the coordinator knows about one entry. */
interface EntryRow {
  demand: TeamDemand;
  share: Limits;
  expiresAtMs: number;
}

/** One team's rows, by entry. */
interface TeamTable {
  rows: Map<string, EntryRow>;
  createdAtMs: number;
  /** Until then an earlier coordinator's shares may be in use. */
  handoverUntilMs: number;
}

/** State of a ledger, for dumps. */
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
   * @returns A ledger that knows of no shares.
   */
  static create(options: ShareLedgerOptions): ShareLedger {
    return new ShareLedger(options);
  }

  /**
   * Takes an entry's demands and divides anew.
   *
   * @param processId The entry.
   * @param demands What it needs and holds.
   * @returns Its shares, for the known teams.
   */
  answer(processId: string, demands: TeamDemand[]): TeamShare[] {
    const shares: TeamShare[] = [];
    for (const demand of demands) {
      const limits = this.#options.limitsOf(demand.team);
      if (limits) shares.push(this.#answerDemand(processId, demand, limits));
    }
    return shares;
  }

  /** @returns The state, for dumps. */
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

/** True: the entry has a share that this book did not give. */
function hasUnrecordedShare(
  { rows }: TeamTable,
  processId: string,
  demand: TeamDemand,
): boolean {
  return demand.hasShare && !rows.has(processId);
}

/** What is held stays; who holds nothing gets what there is, up to an even part. */
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
