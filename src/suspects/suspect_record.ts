/**
 * Persists suspected requests in the platform's store, so that they survive a simultaneous restart
 * of all entries. Only requests that were running on several servers when these terminated are
 * written, preferably by the entry that observed the last termination.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { readJson } from "../lease/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";
import type { ServerEnd, Suspect, SuspectList } from "./suspect.ts";

/** Key of the record of suspected requests in the store. */
export const SUSPECT_RECORD_KEY = "cicadahitch/suspects";
/** Key of the record of suspected parts of prompts in the store. */
export const PART_RECORD_KEY = "cicadahitch/suspect-parts";
/** Interval at which the record is checked and, if outdated, written. */
const CHECK_INTERVAL_MS = 500;
/**
 * An entry that did not observe the change itself leaves the write to the observer for this long.
 */
const OTHER_WRITER_WAIT_MS = 2000;
/** Wait after a write that failed or conflicted with another entry's write. */
const RETRY_MS = 1000;
/** Maximum number of requests in the record. */
const MAX_ROWS = 64;
/** Maximum number of server ends per request in the record; enough for a verdict. */
const MAX_ROW_ENDS = 6;

/** Stored form of a {@link ServerEnd}. */
interface EndRow {
  server: string;
  answeringMs?: number;
  /** Wall-clock time of the end, in ms since 1970. */
  atWallMs: number;
  runMs: number;
}

/** Stored form of a suspected request. */
interface SuspectRow {
  digest: string;
  ends: EndRow[];
}

/** A process's suspects, as a {@link SuspectRecord} reads and updates them. */
export interface SuspectSource {
  readonly table: SuspectList;
  /** Whether this process itself observed changes that the record may not contain yet. */
  readonly hasUnrecordedChanges: boolean;
  /** Adds a server end that another process observed. */
  mergeEnd(digest: string, end: ServerEnd): void;
  /** Called after all known changes were written to the record. */
  markRecorded(): void;
}

/** Dependencies of a {@link SuspectRecord}. */
export interface SuspectRecordOptions {
  /** Key of the record in the store. */
  key: string;
  /** Number of server ends from which a suspect is persisted. */
  minEnds: number;
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  /** Returns a number from 0 to 1. */
  random: () => number;
  source: SuspectSource;
  /** Returns the record from the local copy of the store. */
  record(): KeyValueEntry | undefined;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
  /**
   * Reads the record from the store again; omitted where a watch keeps the local copy up to date.
   */
  refresh?(): Promise<void>;
}

/** Keeps the stored record up to date. */
export class SuspectRecord {
  readonly #options: SuspectRecordOptions;
  /** Since when the record has been outdated; undefined while it is up to date. */
  #outdatedSinceMs: number | undefined;
  /** Rows of the last write; the local copy of the store receives them with a delay. */
  #written: SuspectRow[] = [];

  private constructor(options: SuspectRecordOptions) {
    this.#options = options;
  }

  /**
   * @param options Store, clock and suspected requests.
   * @returns A record that is updated once {@link run} is called.
   */
  static create(options: SuspectRecordOptions): SuspectRecord {
    return new SuspectRecord(options);
  }

  /** Merges the stored record into the suspected requests; malformed rows are ignored. */
  loadStored(): void {
    const { clock, source, record } = this.#options;
    const wallMs = clock.wallMs();
    for (const { digest, ends } of readRows(record()?.value)) {
      for (const { atWallMs, ...end } of ends) {
        // Clamped to 0, as this instance's clock may be behind the writer's.
        const ageMs = Math.max(0, wallMs - atWallMs);
        const atMs = clock.nowMs() - ageMs;
        source.mergeEnd(digest, { ...end, atMs });
      }
    }
  }

  /** Records that the store may have lost the last write, as it was restored from an older copy. */
  forgetWrite(): void {
    this.#written = [];
  }

  /**
   * Updates the record periodically.
   *
   * @param signal Stops the updates.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (signal.aborted) return;
      if (await this.update()) continue;
      await this.#options.refresh?.();
      await clock.sleep(RETRY_MS * (1 + random()), signal);
    }
  }

  /**
   * Writes the record if it is outdated and no other process is expected to write it.
   *
   * @returns False if the write failed.
   */
  async update(): Promise<boolean> {
    const { source, record, isStoreServing, clock, minEnds } = this.#options;
    const known = [...readRows(record()?.value), ...this.#written];
    const serious = source.table.suspects(minEnds).slice(0, MAX_ROWS);
    if (!this.#isDue(known, serious)) return true;
    if (!isStoreServing()) return true;
    this.#outdatedSinceMs = undefined;
    return await this.#write(serious, clock.wallMs() - clock.nowMs());
  }

  #isDue(known: SuspectRow[], serious: Suspect[]): boolean {
    const { clock, source, random } = this.#options;
    const isOutdated = isMissingAny(known, serious) ||
      known.some(({ digest }) => source.table.isCleared(digest));
    if (!isOutdated) {
      this.#outdatedSinceMs = undefined;
      return false;
    }
    const nowMs = clock.nowMs();
    this.#outdatedSinceMs ??= nowMs;
    if (source.hasUnrecordedChanges) return true;
    return nowMs - this.#outdatedSinceMs >=
      OTHER_WRITER_WAIT_MS * (1 + random());
  }

  async #write(serious: Suspect[], wallOffsetMs: number): Promise<boolean> {
    const { store, record, log, source, key } = this.#options;
    const modPosition = record()?.modPosition;
    const rows = serious.map(({ digest, ends }): SuspectRow => ({
      digest,
      ends: ends.slice(0, MAX_ROW_ENDS).map((end) => toRow(end, wallOffsetMs)),
    }));
    const value = new TextEncoder().encode(JSON.stringify({ rows }));
    const committed = await store.commit(
      [{ key, modPosition }],
      [{ kind: "put", key, value }],
    );
    const isWritten = committed.isOk && committed.value.kind === "committed";
    if (isWritten) {
      this.#written = rows;
      source.markRecorded();
    }
    log.info({ event: "suspects_recorded", key, rows: rows.length, isWritten });
    return isWritten;
  }
}

function toRow(
  { atMs, ...end }: ServerEnd,
  wallOffsetMs: number,
): EndRow {
  return { ...end, atWallMs: Math.floor(atMs + wallOffsetMs) };
}

/** Ends beyond {@link MAX_ROW_ENDS} are never written, so they don't count as missing. */
function isMissingAny(known: SuspectRow[], serious: Suspect[]): boolean {
  return serious.some(({ digest, ends }) =>
    !known.some((row) =>
      row.digest === digest &&
      row.ends.length >= Math.min(ends.length, MAX_ROW_ENDS)
    )
  );
}

function readRows(value: Uint8Array | undefined): SuspectRow[] {
  const { rows } = value ? readJson(value) : {};
  return Array.isArray(rows) ? rows.filter(isRow) : [];
}

function isRow(value: unknown): value is SuspectRow {
  if (typeof value !== "object" || value === null) return false;
  const { digest, ends } = value as Partial<SuspectRow>;
  return typeof digest === "string" && Array.isArray(ends) && ends.every(isEnd);
}

function isEnd(value: unknown): value is EndRow {
  if (typeof value !== "object" || value === null) return false;
  const { server, answeringMs = 0, atWallMs, runMs } = value as Partial<EndRow>;
  return typeof server === "string" && Number.isFinite(answeringMs) &&
    Number.isFinite(atWallMs) && Number.isFinite(runMs);
}
