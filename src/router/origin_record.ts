/**
 * Stores in the platform's store which software began the streams of an entry, while a service has
 * several software versions. If all entries end at once, those that start after them read it, and the
 * streams go on at their own version. A stream that began after the last write is not known then.
 */
import { randomUUID } from "node:crypto";
import type { Clock, Logger } from "../base/mod.ts";
import { readJson } from "../lease/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { StoreMirror } from "./mirror.ts";
import type { OriginRow, UnrecordedStreams } from "./origin_table.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import { WakeSignal } from "./wake_signal.ts";

/** Key prefix of the records; the entry's address follows. */
export const ORIGIN_RECORD_PREFIX = "cicadahitch/origins/";

/** Least mean time between two writes of an entry. */
const MIN_INTERVAL_MS = 500;
/** Most writes of all entries together, as the platform bounds the calls to its store. */
const MAX_WRITES_PER_S = 20;
/** Most writes of all entries together after a time without any, beyond that rate. */
const MAX_BURST_WRITES = 12;
/** Time in which streams that begin together are gathered for one write. */
const GATHER_MS = 20;
/** Interval at which obsolete records are looked for, and a store that was away is tried. */
const CHECK_INTERVAL_MS = 500;
/** Most bytes of all entries together, as each entry keeps a copy of the store. */
const MAX_BYTES_PER_S = 20_000;
/** Streams in a record; the latest ones are kept. */
const MAX_STREAMS = 2000;
/** Time with one version in all services after which records are deleted; entries that start read them. */
const OBSOLETE_AFTER_MS = 60_000;
/** Obsolete records that are deleted in one call. */
const MAX_DELETES = 32;

/** Streams by service and software version: the id of the first attempt, and the time left. */
type StreamsByVersion = Record<string, Record<string, [string, number][]>>;

/** A record; its process tells an entry's own writes from those of its earlier process. */
interface RecordBody {
  process: string;
  services: StreamsByVersion;
}

/** Dependencies of an {@link OriginRecord}. */
export interface OriginRecordOptions {
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  /** The local copy of the store. */
  mirror: Pick<StoreMirror, "entry" | "entries">;
  /** Address of this entry. */
  ownAddress: string;
  origins(): Pick<StreamOrigins, "unrecorded" | "learn" | "unrecordedCount">;
  /** Random number from 0 to 1. */
  random(): number;
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
  readonly #processId = randomUUID();
  readonly #wake = WakeSignal.create();
  #sizeBytes = 0;
  #lastMixedAtMs: number;
  /** Until when the writes so far use up the rate. */
  #usedUntilMs = -Infinity;

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
    const { process, rows } = readRecord(mirror.entry(key)?.value);
    // Streams that were completed since must not come back.
    if (process === this.#processId) return;
    // The next record of this entry replaces that of its earlier process and has to contain it.
    origins().learn(rows, { isOwn: key === this.#ownKey });
  }

  /** Records that the store was restored from an older copy, which may lack the last writes. */
  onRestored(): void {
    this.#options.origins().unrecordedCount.forget();
  }

  /** @param signal Stops the updates. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, origins } = this.#options;
    const wake = () => this.#wake.notify();
    origins().unrecordedCount.onDue(wake);
    signal.addEventListener("abort", wake, { once: true });
    while (!signal.aborted) {
      if (!this.#isDue()) await this.#wake.wait(CHECK_INTERVAL_MS);
      if (!signal.aborted) await clock.sleep(this.#pauseMs(), signal);
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
    const { store, clock, log } = this.#options;
    const services = toStreams(rows.slice(-MAX_STREAMS));
    const body: RecordBody = { process: this.#processId, services };
    const value = new TextEncoder().encode(JSON.stringify(body));
    this.#sizeBytes = value.length;
    this.#usedUntilMs = Math.max(clock.nowMs(), this.#usedUntilMs) +
      this.#intervalMs();
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

  #isDue(): boolean {
    const { origins, isStoreServing } = this.#options;
    return isStoreServing() && origins().unrecorded().kind === "rows";
  }

  /** Time until the next write, so that all entries together keep their rate. */
  #pauseMs(): number {
    const { entryCount, clock, random } = this.#options;
    const burst = Math.floor(MAX_BURST_WRITES / entryCount());
    const intervalMs = this.#intervalMs();
    // Many entries learn of a second version at once.
    if (burst === 0) return intervalMs * (0.5 + random());
    const dueAtMs = this.#usedUntilMs - burst * intervalMs;
    return Math.max(GATHER_MS, dueAtMs - clock.nowMs());
  }

  /** Mean time between two writes of this entry. */
  #intervalMs(): number {
    const entryCount = this.#options.entryCount();
    return Math.max(
      MIN_INTERVAL_MS,
      1000 * entryCount / MAX_WRITES_PER_S,
      1000 * entryCount * this.#sizeBytes / MAX_BYTES_PER_S,
    );
  }
}

function toStreams(rows: OriginRow[]): StreamsByVersion {
  const services: StreamsByVersion = {};
  for (const { id, origin, leftMs } of rows) {
    const { service, softwareVersion } = origin;
    // Servers that state no version are told apart by their process, which the streams may outlive.
    if (softwareVersion === undefined) continue;
    const versions = services[service] ??= {};
    (versions[softwareVersion] ??= []).push([id, Math.round(leftMs)]);
  }
  return services;
}

/** The process that wrote a record, and its rows; what is malformed is left out. */
function readRecord(
  value: Uint8Array | undefined,
): { process?: unknown; rows: OriginRow[] } {
  const rows: OriginRow[] = [];
  const { process, services } = value ? readJson(value) : {};
  for (const [service, versions] of entriesOf(services)) {
    for (const [softwareVersion, streams] of entriesOf(versions)) {
      if (!Array.isArray(streams)) continue;
      for (const stream of streams) {
        const [id, leftMs] = Array.isArray(stream) ? stream : [];
        if (typeof id !== "string" || !Number.isFinite(leftMs)) continue;
        rows.push({ id, origin: { service, softwareVersion }, leftMs });
      }
    }
  }
  return { process, rows };
}

function entriesOf(value: unknown): [string, unknown][] {
  return typeof value === "object" && value !== null
    ? Object.entries(value)
    : [];
}
