/**
 * Stores in the platform's store when each version of the weights was published. Entries gossip
 * these ages, but if all of them restart at once, no peer can tell the ages. Without the record,
 * engines on replaced weights would then be treated as too old to use, although most were replaced
 * recently.
 */
import type { Clock } from "../base/mod.ts";
import { type FencedLease, readJson } from "../lease/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/store.ts";
import { ROLL_LEASE_KEY } from "./roll_lease.ts";
import type { VersionAge, WantedVersions } from "./wanted_weights.ts";

/** Store key of the record. */
export const PUBLISH_TIMES_KEY = "cicadahitch/weights-named";
/** Maximum clock skew between two instances; added to every age that is read. */
const CLOCK_ERROR_MS = 2500;
/** Delay before a failed write is retried. */
const RETRY_MS = 1000;
/** Maximum number of versions in the record. Weights older than all of them get the oldest age. */
const MAX_VERSIONS = 16;

/** When one version was published. */
interface PublishTime {
  model: string;
  version: number;
  /** Wall-clock time in ms since 1970. */
  atWallMs: number;
}

/** Dependencies of a {@link PublishTimesRecord}. */
export interface PublishTimesRecordOptions {
  store: KeyValueStore;
  clock: Clock;
  wanted: WantedVersions;
  /** The record in the local replica of the store. */
  publishTimesRecord(): KeyValueEntry | undefined;
}

/** Updates the record while this entry holds the lease of the weights roll. */
export class PublishTimesRecord {
  readonly #options: PublishTimesRecordOptions;
  /**
   * Versions in the last successful write, and the era of the store then; the local replica may lag
   * behind it, and a store that was restored since may lack it.
   */
  #written = { keys: "", era: 0 };
  #isWriting = false;
  #retryAtMs = -Infinity;

  private constructor(options: PublishTimesRecordOptions) {
    this.#options = options;
  }

  /**
   * @param options Store and published versions.
   * @returns A record that this process has not written yet.
   */
  static create(options: PublishTimesRecordOptions): PublishTimesRecord {
    return new PublishTimesRecord(options);
  }

  /**
   * Writes the record if versions were published since the last write.
   *
   * @param lease The lease of the weights roll. The write fails if another entry has acquired it.
   */
  async update(lease: FencedLease): Promise<void> {
    const { store, clock, publishTimesRecord } = this.#options;
    if (this.#isWriting || clock.nowMs() < this.#retryAtMs) return;
    const known = readRows(publishTimesRecord()?.value);
    const rows = this.#merge(known);
    const keys = joinKeys(rows);
    if (keys === joinKeys(known)) return;
    const { era } = lease.position;
    if (keys === this.#written.keys && era === this.#written.era) return;
    this.#isWriting = true;
    const value = new TextEncoder().encode(JSON.stringify({ rows }));
    const committed = await store.commit(
      [{ key: ROLL_LEASE_KEY, modPosition: lease.position }],
      [{ kind: "put", key: PUBLISH_TIMES_KEY, value }],
    );
    this.#isWriting = false;
    const isWritten = committed.isOk && committed.value.kind === "committed";
    if (isWritten) this.#written = { keys, era };
    else this.#retryAtMs = clock.nowMs() + RETRY_MS;
  }

  #merge(known: PublishTime[]): PublishTime[] {
    const { clock, wanted } = this.#options;
    const rows = new Map(known.map((row) => [keyOf(row), row]));
    for (const { model, version, ageMs } of wanted.ages()) {
      const atWallMs = Math.floor(clock.wallMs() - ageMs);
      const row = { model, version, atWallMs };
      if (!rows.has(keyOf(row))) rows.set(keyOf(row), row);
    }
    return [...rows.values()].slice(-MAX_VERSIONS);
  }
}

/**
 * @param record The stored record, if it exists.
 * @param wallMs The current wall-clock time of this instance.
 * @returns Upper bounds of the ages of the recorded versions, allowing for clock skew.
 */
export function readVersionAges(
  record: KeyValueEntry | undefined,
  wallMs: number,
): VersionAge[] {
  const ages = readRows(record?.value).map(({ model, version, atWallMs }) => ({
    model,
    version,
    ageMs: wallMs - atWallMs + CLOCK_ERROR_MS,
  }));
  // A publish time in the future, even after the correction, comes from a wrong clock.
  return ages.filter(({ ageMs }) => ageMs > 0);
}

/** Returns no versions for a malformed value and skips malformed rows. */
function readRows(value: Uint8Array | undefined): PublishTime[] {
  const { rows } = value ? readJson(value) : {};
  return Array.isArray(rows) ? rows.filter(isRow) : [];
}

function isRow(value: unknown): value is PublishTime {
  if (typeof value !== "object" || value === null) return false;
  const { model, version, atWallMs } = value as Partial<PublishTime>;
  return typeof model === "string" && Number.isSafeInteger(version) &&
    Number.isFinite(atWallMs);
}

function keyOf({ model, version }: PublishTime): string {
  return `${version}/${model}`;
}

function joinKeys(rows: PublishTime[]): string {
  return rows.map(keyOf).join(" ");
}
