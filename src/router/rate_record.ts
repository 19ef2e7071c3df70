/**
 * Stores in the platform's store which servers take a limited rate of requests. Entries tell each other
 * these rates, but if all of them restart at once, none knows a rate until the server has answered a
 * request again, and an engine under load takes seconds to begin an answer.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { readJson } from "../lease/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";
import type { Fleet } from "./fleet.ts";
import type { StoreMirror } from "./mirror.ts";
import {
  type BackendServer,
  incarnationKey,
  isSameIncarnation,
} from "./model.ts";
import type { RateStatement } from "./rate_statement.ts";
import { type RecordWrite, RecordWriter } from "./record_writer.ts";
import type { Server } from "./server.ts";

/** Key prefix of the records; the server's id follows. */
export const RATE_RECORD_PREFIX = "cicadahitch/rates/";
/** A record is deleted when no known server has had that rate for this long. */
const DELETE_AFTER_MS = 5000;

/** Stored form of a {@link RateStatement}. */
interface RateRow {
  /** Start of the server, in ms since 1970; 0 if unknown. */
  startMs: number;
  perSecond: number;
  /** When the server said so: wall-clock time in ms since 1970. */
  atWallMs: number;
}

/** Dependencies of a {@link RateRecord}. */
export interface RateRecordOptions {
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  fleet: Pick<Fleet, "all" | "get" | "restoreRate">;
  /** The local copy of the store. */
  mirror: Pick<StoreMirror, "entry" | "entries">;
  /** Whether this entry writes the record of a server, by its incarnation key. */
  isWriterOf(key: string): boolean;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
}

/** Keeps the records up to date. */
export class RateRecord {
  readonly #options: RateRecordOptions;
  readonly #writer: RecordWriter;
  /** Since when each record has been obsolete. */
  readonly #obsoleteSinceMs = new Map<string, number>();

  private constructor(options: RateRecordOptions) {
    this.#options = options;
    this.#writer = RecordWriter.create({
      ...options,
      event: "server_rates_recorded",
      dueWrites: (nowMs) => this.#dueWrites(nowMs),
    });
  }

  /**
   * @param options Store, servers, and which of them this entry writes about.
   * @returns A record that is updated once {@link run} is called.
   */
  static create(options: RateRecordOptions): RateRecord {
    return new RateRecord(options);
  }

  /**
   * @param server Registration of a server.
   * @returns What it said, by the store; undefined if there is no valid record about this start.
   */
  statementOf(server: BackendServer): RateStatement | undefined {
    const { mirror, clock } = this.#options;
    const row = readRow(mirror.entry(RATE_RECORD_PREFIX + server.id)?.value);
    if (!row || !isRowOf(row, server)) return undefined;
    // Clamped to 0, as this instance's clock may be behind the writer's.
    const ageMs = Math.max(0, clock.wallMs() - row.atWallMs);
    return { perSecond: row.perSecond, atMs: clock.nowMs() - ageMs };
  }

  /** @param key Key of a record that was written. */
  onWritten(key: string): void {
    const { fleet } = this.#options;
    const server = fleet.get(key.slice(RATE_RECORD_PREFIX.length));
    if (server) fleet.restoreRate(server);
  }

  /** @param signal Stops the updates. */
  run(signal: AbortSignal): Promise<void> {
    return this.#writer.run(signal);
  }

  /** Writes the records of this entry that are missing or differ, and deletes the obsolete ones. */
  update(): Promise<void> {
    return this.#writer.update();
  }

  #dueWrites(nowMs: number): RecordWrite[] {
    const entries = this.#options.mirror.entries(RATE_RECORD_PREFIX);
    const stored = new Map(entries.map((entry) => [entry.key, entry]));
    return [...this.#puts(stored), ...this.#deletes(stored, nowMs)];
  }

  #puts(stored: ReadonlyMap<string, KeyValueEntry>): RecordWrite[] {
    const { fleet, clock, isWriterOf } = this.#options;
    const wallOffsetMs = clock.wallMs() - clock.nowMs();
    const writes: RecordWrite[] = [];
    for (const { entry, announcements } of fleet.all()) {
      const { statement } = announcements.rate;
      if (statement?.perSecond === undefined) continue;
      const key = RATE_RECORD_PREFIX + entry.id;
      const known = readRow(stored.get(key)?.value);
      const isKnown = known !== undefined && isRowOf(known, entry) &&
        known.perSecond === statement.perSecond;
      if (isKnown || !isWriterOf(incarnationKey(entry))) continue;
      const row: RateRow = {
        startMs: entry.bornAtMs ?? 0,
        perSecond: statement.perSecond,
        atWallMs: Math.floor(statement.atMs + wallOffsetMs),
      };
      const value = new TextEncoder().encode(JSON.stringify(row));
      writes.push({ kind: "put", key, value });
    }
    return writes;
  }

  #deletes(
    stored: ReadonlyMap<string, KeyValueEntry>,
    nowMs: number,
  ): RecordWrite[] {
    const { fleet, isWriterOf } = this.#options;
    const writes: RecordWrite[] = [];
    for (const key of this.#obsoleteSinceMs.keys()) {
      if (!stored.has(key)) this.#obsoleteSinceMs.delete(key);
    }
    for (const [key, { value }] of stored) {
      const id = key.slice(RATE_RECORD_PREFIX.length);
      const row = readRow(value);
      const server = fleet.get(id, row?.startMs || undefined);
      if (server && isLimited(server)) {
        this.#obsoleteSinceMs.delete(key);
        continue;
      }
      const sinceMs = this.#obsoleteSinceMs.get(key) ?? nowMs;
      this.#obsoleteSinceMs.set(key, sinceMs);
      const isDue = nowMs - sinceMs >= DELETE_AFTER_MS;
      const owner = incarnationKey({ id, bornAtMs: row?.startMs });
      if (isDue && isWriterOf(owner)) writes.push({ kind: "delete", key });
    }
    return writes;
  }
}

function isLimited({ announcements }: Server): boolean {
  return announcements.rate.perSecond !== undefined;
}

function isRowOf({ startMs }: RateRow, server: BackendServer): boolean {
  return isSameIncarnation(startMs || undefined, server);
}

function readRow(value: Uint8Array | undefined): RateRow | undefined {
  if (!value) return undefined;
  const { startMs, perSecond, atWallMs } = readJson(value) as Partial<RateRow>;
  return isAmount(startMs) && isAmount(perSecond) && isAmount(atWallMs)
    ? { startMs, perSecond, atWallMs }
    : undefined;
}

function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
