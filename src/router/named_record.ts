/**
 * When versions of weights were named, in the platform's store. Entries tell each other these ages;
 * if all start again at once nobody is left to tell, and engines on replaced weights, most of them
 * just after a naming, would have to be left alone as if they were too old.
 */
import type { Clock } from "../base/mod.ts";
import { type FencedLease, readJson } from "../lease/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";
import { ROLL_LEASE_KEY } from "./roll_lease.ts";
import type { NamedAge, WantedVersions } from "./wanted_weights.ts";

/** Key of the record. */
export const NAMED_RECORD_KEY = "cicadahitch/weights-named";
/** Clocks of two instances may differ by this much; ages count as so much higher. */
const CLOCK_ERROR_MS = 2500;
/** Pause after a write that failed. */
const RETRY_MS = 1000;
/** Versions that are kept in the record; an engine that is further behind is the oldest's age old. */
const MAX_ROWS = 16;

/** One naming. */
interface NamedRow {
  model: string;
  version: number;
  /** Time of day, since 1970. */
  atWallMs: number;
}

/** What a {@link NamedRecord} works with. */
export interface NamedRecordOptions {
  store: KeyValueStore;
  clock: Clock;
  wanted: WantedVersions;
  /** The record, as the copy of the store has it. */
  namedRecord(): KeyValueEntry | undefined;
}

/** Keeps the record, as the holder of the roll's lease. */
export class NamedRecord {
  readonly #options: NamedRecordOptions;
  /** Rows that were written last. */
  #written = "";
  #isWriting = false;
  #notBeforeMs = -Infinity;

  private constructor(options: NamedRecordOptions) {
    this.#options = options;
  }

  /**
   * @param options Store, and what was named.
   * @returns A record that this process has not written yet.
   */
  static create(options: NamedRecordOptions): NamedRecord {
    return new NamedRecord(options);
  }

  /**
   * Writes what was named since; one call for each naming.
   *
   * @param lease The roll's lease; another holder's makes the write fail.
   */
  async update(lease: FencedLease): Promise<void> {
    const { store, clock, namedRecord } = this.#options;
    if (this.#isWriting || clock.nowMs() < this.#notBeforeMs) return;
    const known = readRows(namedRecord()?.value);
    const rows = this.#merge(known);
    const news = keysOf(rows);
    if (news === keysOf(known) || news === this.#written) return;
    this.#isWriting = true;
    const value = new TextEncoder().encode(JSON.stringify({ rows }));
    const committed = await store.commit(
      [{ key: ROLL_LEASE_KEY, modRevision: lease.fencingNumber }],
      [{ kind: "put", key: NAMED_RECORD_KEY, value }],
    );
    this.#isWriting = false;
    const isWritten = committed.isOk && committed.value.kind === "committed";
    if (isWritten) this.#written = news;
    else this.#notBeforeMs = clock.nowMs() + RETRY_MS;
  }

  #merge(known: NamedRow[]): NamedRow[] {
    const { clock, wanted } = this.#options;
    const rows = new Map(known.map((row) => [keyOf(row), row]));
    for (const { model, version, ageMs } of wanted.ages()) {
      const atWallMs = Math.floor(clock.wallMs() - ageMs);
      const row = { model, version, atWallMs };
      if (!rows.has(keyOf(row))) rows.set(keyOf(row), row);
    }
    return [...rows.values()].slice(-MAX_ROWS);
  }
}

/**
 * @param record The record, if there is one.
 * @param wallMs The time of day, by this instance's clock.
 * @returns Ages of the versions in it, at most as old as clocks may make them.
 */
export function readNamedAges(
  record: KeyValueEntry | undefined,
  wallMs: number,
): NamedAge[] {
  const ages = readRows(record?.value).map(({ model, version, atWallMs }) => ({
    model,
    version,
    ageMs: wallMs - atWallMs + CLOCK_ERROR_MS,
  }));
  // A clock that is further off than that tells nothing.
  return ages.filter(({ ageMs }) => ageMs > 0);
}

/** A value that another writer has spoilt names no version. */
function readRows(value: Uint8Array | undefined): NamedRow[] {
  const { rows } = value ? readJson(value) : {};
  return Array.isArray(rows) ? rows.filter(isRow) : [];
}

function isRow(value: unknown): value is NamedRow {
  if (typeof value !== "object" || value === null) return false;
  const { model, version, atWallMs } = value as Partial<NamedRow>;
  return typeof model === "string" && Number.isSafeInteger(version) &&
    Number.isFinite(atWallMs);
}

function keyOf({ model, version }: NamedRow): string {
  return `${version}/${model}`;
}

function keysOf(rows: NamedRow[]): string {
  return rows.map(keyOf).join(" ");
}
