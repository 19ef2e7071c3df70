/**
 * Suspected requests in the platform's store, for entries that all start again at once. Only those
 * under which several servers ended are written, first by the entry that saw the last end.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { readJson } from "../lease/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";
import {
  SERIOUS_ENDS,
  type ServerEnd,
  type Suspect,
  type SuspectTable,
} from "./suspect_table.ts";

/** Key of the record. */
export const SUSPECT_RECORD_KEY = "cicadahitch/suspects";
/** Pause between looks at whether the record lacks something, and between writes. */
const LOOK_MS = 500;
/** Entries that only heard of an end leave the write to the one that saw it, for this long. */
const HEARD_WAIT_MS = 2000;
/** Pause after a write that failed or met another's. */
const RETRY_MS = 1000;
/** Requests that the record holds. */
const MAX_ROWS = 64;
/** Ends of each of them: enough for a verdict. */
const MAX_ROW_ENDS = 6;

/** One end, in the record. */
interface EndRow {
  server: string;
  answeringMs?: number;
  /** Time of day, since 1970. */
  atWallMs: number;
  runMs: number;
}

/** One request, in the record. */
interface SuspectRow {
  digest: string;
  ends: EndRow[];
}

/** What is suspected by a process. */
export interface SuspectSource {
  readonly table: SuspectTable;
  /** Whether this process saw what the record may lack. */
  readonly hasOwnNews: boolean;
  /** Takes an end that others have seen. */
  learn(digest: string, end: ServerEnd): void;
  /** The record has all that is known. */
  recorded(): void;
}

/** What a {@link SuspectRecord} works with. */
export interface SuspectRecordOptions {
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  /** 0 to 1. */
  random: () => number;
  source: SuspectSource;
  /** The record, as the copy of the store has it. */
  record(): KeyValueEntry | undefined;
  /** Whether the store answers. */
  isStoreServing(): boolean;
  /** Reads the record anew, where nothing else keeps the copy up to date. */
  refresh?(): Promise<void>;
}

/** Keeps the record. */
export class SuspectRecord {
  readonly #options: SuspectRecordOptions;
  /** Since when the record has lacked something. */
  #lacksSinceMs: number | undefined;
  /** What was written last; the copy of the store follows a moment later. */
  #written: SuspectRow[] = [];

  private constructor(options: SuspectRecordOptions) {
    this.#options = options;
  }

  /**
   * @param options Store, and what is suspected.
   * @returns A record that is not kept yet.
   */
  static create(options: SuspectRecordOptions): SuspectRecord {
    return new SuspectRecord(options);
  }

  /** Takes in what the record says; values that another writer has spoilt say nothing. */
  recall(): void {
    const { clock, source, record } = this.#options;
    const wallMs = clock.wallMs();
    for (const { digest, ends } of readRows(record()?.value)) {
      for (const { atWallMs, ...end } of ends) {
        // A clock that is behind the writer's makes nothing younger than now.
        const ageMs = Math.max(0, wallMs - atWallMs);
        const atMs = clock.nowMs() - ageMs;
        source.learn(digest, { ...end, atMs });
      }
    }
  }

  /** @param signal Ends the work. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(LOOK_MS, signal);
      if (signal.aborted) return;
      if (await this.update()) continue;
      await this.#options.refresh?.();
      await clock.sleep(RETRY_MS * (1 + random()), signal);
    }
  }

  /**
   * Writes what the record lacks, if it is this process's turn.
   *
   * @returns False: the write failed.
   */
  async update(): Promise<boolean> {
    const { source, record, isStoreServing, clock } = this.#options;
    const known = [...readRows(record()?.value), ...this.#written];
    const serious = source.table.suspects(SERIOUS_ENDS).slice(0, MAX_ROWS);
    if (!this.#isDue(known, serious)) return true;
    if (!isStoreServing()) return true;
    this.#lacksSinceMs = undefined;
    return await this.#write(serious, clock.wallMs() - clock.nowMs());
  }

  #isDue(known: SuspectRow[], serious: Suspect[]): boolean {
    const { clock, source, random } = this.#options;
    const isLacking = lacksAny(known, serious) ||
      known.some(({ digest }) => this.#isCleared(digest));
    if (!isLacking) {
      this.#lacksSinceMs = undefined;
      return false;
    }
    const nowMs = clock.nowMs();
    this.#lacksSinceMs ??= nowMs;
    if (source.hasOwnNews) return true;
    return nowMs - this.#lacksSinceMs >= HEARD_WAIT_MS * (1 + random());
  }

  #isCleared(digest: string): boolean {
    const { table } = this.#options.source;
    return table.clearedAtMs(digest) !== undefined &&
      table.verdict(digest).kind === "clear";
  }

  async #write(serious: Suspect[], wallAheadMs: number): Promise<boolean> {
    const { store, record, log, source } = this.#options;
    const modRevision = record()?.modRevision ?? 0n;
    const rows = serious.map(({ digest, ends }): SuspectRow => ({
      digest,
      ends: ends.slice(0, MAX_ROW_ENDS).map((end) => toRow(end, wallAheadMs)),
    }));
    const value = new TextEncoder().encode(JSON.stringify({ rows }));
    const committed = await store.commit(
      [{ key: SUSPECT_RECORD_KEY, modRevision }],
      [{ kind: "put", key: SUSPECT_RECORD_KEY, value }],
    );
    const isWritten = committed.isOk && committed.value.kind === "committed";
    if (isWritten) {
      this.#written = rows;
      source.recorded();
    }
    log.info({ event: "suspects_recorded", rows: rows.length, isWritten });
    return isWritten;
  }
}

function toRow(
  { atMs, ...end }: ServerEnd,
  wallAheadMs: number,
): EndRow {
  return { ...end, atWallMs: Math.floor(atMs + wallAheadMs) };
}

/** Ends beyond those that are written are not lacking. */
function lacksAny(known: SuspectRow[], serious: Suspect[]): boolean {
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
