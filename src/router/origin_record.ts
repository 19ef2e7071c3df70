/**
 * Stores in the platform's store which software began the streams of an entry, while a service has
 * several software versions. If all entries end at once, those that start after them read it, and the
 * streams go on at their own version. A stream that began after the last write is not known then.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { readJson } from "../lease/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { StoreMirror } from "./mirror.ts";
import type { OriginRow, UnrecordedStreams } from "./origin_table.ts";
import type { StreamOrigins } from "./stream_origins.ts";

/** Key prefix of the records; the entry's address follows. */
export const ORIGIN_RECORD_PREFIX = "cicadahitch/origins/";

/** Least time between two writes of an entry, which bounds what is lost with it. */
const MIN_INTERVAL_MS = 500;
/** Most writes of all entries together, as the platform bounds the calls to its store. */
const MAX_WRITES_PER_S = 20;
/** Most bytes of all entries together, as each entry keeps a copy of the store. */
const MAX_BYTES_PER_S = 20_000;
/** Streams in a record; the latest ones are kept. */
const MAX_STREAMS = 2000;
/** Time with one version in all services after which records are deleted; entries that start read them. */
const OBSOLETE_AFTER_MS = 60_000;
/** Obsolete records that are deleted in one call. */
const MAX_DELETES = 32;

/** Streams by service and software version: the id of the first attempt, and the time left. */
type RecordBody = Record<string, Record<string, [string, number][]>>;

/** Dependencies of an {@link OriginRecord}. */
export interface OriginRecordOptions {
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  /** The local copy of the store. */
  mirror: Pick<StoreMirror, "entry" | "entries">;
  /** Address of this entry. */
  ownAddress: string;
  origins(): Pick<StreamOrigins, "unrecorded" | "learn">;
  /** Number of entries that write a record each. */
  entryCount(): number;
  /** Whether this entry deletes an obsolete record. */
  isWriterOf(key: string): boolean;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
}

/** Record of the streams of one entry. */
export class OriginRecord {
  readonly #options: OriginRecordOptions;
  readonly #ownKey: string;
  #sizeBytes = 0;
  #lastMixedAtMs: number;

  private constructor(options: OriginRecordOptions) {
    this.#options = options;
    this.#ownKey = ORIGIN_RECORD_PREFIX + options.ownAddress;
    this.#lastMixedAtMs = options.clock.nowMs();
  }

  /**
   * @param options Store, streams, and the entry's address.
   * @returns A record that is written once {@link run} is called.
   */
  static create(options: OriginRecordOptions): OriginRecord {
    return new OriginRecord(options);
  }

  /** @param key Key of a record that was written, by this entry's earlier process or by another one. */
  onWritten(key: string): void {
    const { mirror, origins } = this.#options;
    const rows = readRows(mirror.entry(key)?.value);
    // The next record of this entry replaces that of its earlier process and has to contain it.
    origins().learn(rows, { isOwn: key === this.#ownKey });
  }

  /** @param signal Stops the updates. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(this.#intervalMs(), signal);
      if (!signal.aborted) await this.update();
    }
  }

  /** Writes the streams of this entry if some are not recorded, and deletes obsolete records. */
  async update(): Promise<void> {
    const { clock, origins, isStoreServing } = this.#options;
    if (!isStoreServing()) return;
    const unrecorded = origins().unrecorded();
    if (unrecorded.kind === "one_version") return await this.#deleteObsolete();
    this.#lastMixedAtMs = clock.nowMs();
    if (unrecorded.kind === "rows") await this.#write(unrecorded);
  }

  async #write(
    { rows, onRecorded }: Extract<UnrecordedStreams, { kind: "rows" }>,
  ): Promise<void> {
    const { store, log } = this.#options;
    const value = toValue(rows.slice(-MAX_STREAMS));
    this.#sizeBytes = value.length;
    const write = { kind: "put" as const, key: this.#ownKey, value };
    const committed = await store.commit([], [write]);
    if (committed.isOk) onRecorded();
    else log.warn({ event: "origins_not_recorded", key: this.#ownKey });
  }

  async #deleteObsolete(): Promise<void> {
    const { store, clock, mirror, isWriterOf } = this.#options;
    if (clock.nowMs() - this.#lastMixedAtMs < OBSOLETE_AFTER_MS) return;
    const deletes = mirror.entries(ORIGIN_RECORD_PREFIX)
      .filter(({ key }) => isWriterOf(key))
      .slice(0, MAX_DELETES)
      .map(({ key }) => ({ kind: "delete" as const, key }));
    if (deletes.length > 0) await store.commit([], deletes);
  }

  #intervalMs(): number {
    const entryCount = this.#options.entryCount();
    return Math.max(
      MIN_INTERVAL_MS,
      1000 * entryCount / MAX_WRITES_PER_S,
      1000 * entryCount * this.#sizeBytes / MAX_BYTES_PER_S,
    );
  }
}

function toValue(rows: OriginRow[]): Uint8Array {
  const body: RecordBody = {};
  for (const { id, origin, leftMs } of rows) {
    const { service, softwareVersion } = origin;
    // Servers that state no version are told apart by their process, which the streams may outlive.
    if (softwareVersion === undefined) continue;
    const versions = body[service] ??= {};
    (versions[softwareVersion] ??= []).push([id, Math.round(leftMs)]);
  }
  return new TextEncoder().encode(JSON.stringify(body));
}

/** Rows of a record; what is malformed is left out. */
function readRows(value: Uint8Array | undefined): OriginRow[] {
  if (!value) return [];
  const rows: OriginRow[] = [];
  for (const [service, versions] of Object.entries(readJson(value))) {
    for (const [softwareVersion, streams] of entriesOf(versions)) {
      if (!Array.isArray(streams)) continue;
      for (const stream of streams) {
        const [id, leftMs] = Array.isArray(stream) ? stream : [];
        if (typeof id !== "string" || !Number.isFinite(leftMs)) continue;
        rows.push({ id, origin: { service, softwareVersion }, leftMs });
      }
    }
  }
  return rows;
}

function entriesOf(value: unknown): [string, unknown][] {
  return typeof value === "object" && value !== null
    ? Object.entries(value)
    : [];
}
