/**
 * Stores in the platform's store which software versions serve streams that clients may take up. If all
 * entries restart at once, the record alone tells them that such a stream may be of a version whose
 * servers have left. A service with one version is recorded once.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { readJson } from "../lease/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { StoreMirror } from "./mirror.ts";
import { type RecordWrite, RecordWriter } from "./record_writer.ts";
import type { SoftwareVersions, StreamOrigin } from "./software_versions.ts";

/** Key prefix of the records; the service's name follows. */
export const SOFTWARE_RECORD_PREFIX = "cicadahitch/software/";

/** Least time between two writes of one record by this entry. */
const REWRITE_INTERVAL_MS = 500;
/** Interval at which a stream that waits for a record looks for it. */
const POLL_MS = 5;
/** Longest time for which streams of a version wait for its record, from the first of them on. */
const MAX_WAIT_MS = 1000;

/** Dependencies of {@link SoftwareRecord}. */
export interface SoftwareRecordOptions {
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  versions: SoftwareVersions;
  /** The local copy of the store. */
  mirror: Pick<StoreMirror, "entry" | "entries">;
  /** Whether this entry writes the record with this key. */
  isWriterOf(key: string): boolean;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
  /** Whether clients may take up streams of a service. Default: only services with several versions count. */
  isResumable?(service: string): boolean;
}

/** Keeps the records up to date. */
export class SoftwareRecord {
  readonly #options: SoftwareRecordOptions;
  readonly #writer: RecordWriter;
  /** Number of streams that wait for each record. */
  readonly #waiting = new Map<string, number>();
  /** When the first stream waited for a version that is not recorded, by record and version. */
  readonly #awaitedAtMs = new Map<string, number>();

  private constructor(options: SoftwareRecordOptions) {
    this.#options = options;
    this.#writer = RecordWriter.create({
      ...options,
      event: "software_versions_recorded",
      rewriteIntervalMs: REWRITE_INTERVAL_MS,
      // Another entry may have added a version that this one doesn't know yet.
      positionOf: (key) => options.mirror.entry(key)?.modPosition,
      dueWrites: () => [...this.#puts(), ...this.#deletes()],
    });
  }

  /**
   * @param options Store, versions, and which records this entry writes.
   * @returns A record that is updated once {@link run} is called.
   */
  static create(options: SoftwareRecordOptions): SoftwareRecord {
    return new SoftwareRecord(options);
  }

  /** @param key Key of a record that was written. */
  onWritten(key: string): void {
    const { mirror, versions } = this.#options;
    const service = key.slice(SOFTWARE_RECORD_PREFIX.length);
    for (const version of readRecordedVersions(mirror.entry(key)?.value)) {
      const softwareVersion = version ?? undefined;
      versions.hear({ service, softwareVersion, ageMs: 0 });
    }
  }

  /** @param signal Stops the updates. */
  run(signal: AbortSignal): Promise<void> {
    this.#options.versions.onJoined(() => this.#writer.notify());
    return this.#writer.run(signal);
  }

  /**
   * Waits until the version of a stream is recorded: without the record, entries that start later take
   * the version of the servers that they find for it. If the store is away or takes no writes, the
   * stream goes on.
   *
   * @param origin Origin of a stream that clients may take up and whose first event is not delivered yet.
   */
  async untilRecorded(origin: StreamOrigin): Promise<void> {
    const key = SOFTWARE_RECORD_PREFIX + origin.service;
    const version = origin.softwareVersion ?? null;
    if (this.#isRecorded(key, version)) return;
    const nowMs = this.#options.clock.nowMs();
    const awaited = `${key} ${version}`;
    const startMs = this.#awaitedAtMs.get(awaited) ?? nowMs;
    this.#awaitedAtMs.set(awaited, startMs);
    const endMs = startMs + MAX_WAIT_MS;
    if (nowMs >= endMs) return;
    this.#addWaiting(key, 1);
    const isRecorded = await this.#waitFor(key, version, { endMs });
    this.#addWaiting(key, -1);
    if (isRecorded) this.#awaitedAtMs.delete(awaited);
  }

  async #waitFor(
    key: string,
    version: string | null,
    { endMs }: { endMs: number },
  ): Promise<boolean> {
    const { clock, log, isStoreServing } = this.#options;
    while (isStoreServing() && clock.nowMs() < endMs) {
      this.#writer.notify();
      await clock.sleep(POLL_MS);
      if (this.#isRecorded(key, version)) return true;
    }
    log.warn({ event: "software_version_not_recorded", key, version });
    return false;
  }

  #addWaiting(key: string, count: number): void {
    this.#waiting.set(key, (this.#waiting.get(key) ?? 0) + count);
  }

  #isRecorded(key: string, version: string | null): boolean {
    const { value } = this.#options.mirror.entry(key) ?? {};
    return readRecordedVersions(value).includes(version);
  }

  /** Writes the records of this entry that lack a version, and deletes the obsolete ones. */
  update(): Promise<void> {
    return this.#writer.update();
  }

  #puts(): RecordWrite[] {
    const { mirror, versions } = this.#options;
    const writes: RecordWrite[] = [];
    for (const service of versions.services()) {
      const current = versions.current(service).map((one) => one ?? null);
      if (!this.#needsRecord(service, current)) continue;
      const key = SOFTWARE_RECORD_PREFIX + service;
      const recorded = readRecordedVersions(mirror.entry(key)?.value);
      if (!isOutdated(recorded, current) || !this.#mayPut(key)) continue;
      const value = new TextEncoder().encode(
        JSON.stringify({ versions: current }),
      );
      writes.push({ kind: "put", key, value });
    }
    return writes;
  }

  #deletes(): RecordWrite[] {
    const { mirror, versions, isWriterOf } = this.#options;
    return mirror.entries(SOFTWARE_RECORD_PREFIX)
      .filter(({ key }) => {
        const service = key.slice(SOFTWARE_RECORD_PREFIX.length);
        const isNeeded = this.#needsRecord(service, versions.current(service));
        return !isNeeded && isWriterOf(key);
      })
      .map(({ key }) => ({ kind: "delete", key }));
  }

  /** The entry that writes a record may be away while streams wait here. */
  #mayPut(key: string): boolean {
    return (this.#waiting.get(key) ?? 0) > 0 || this.#options.isWriterOf(key);
  }

  /** Whether the service is to have a record. */
  #needsRecord(service: string, current: readonly unknown[]): boolean {
    const { versions, isResumable } = this.#options;
    if (versions.isMixed(service)) return true;
    return current.length > 0 && (isResumable?.(service) ?? false);
  }
}

/** Whether a record lacks a version, or has several where one is left. */
function isOutdated(
  recorded: (string | null)[],
  current: (string | null)[],
): boolean {
  const isComplete = current.every((version) => recorded.includes(version));
  return !isComplete || current.length === 1 && recorded.length > 1;
}

/**
 * @param value Value of a record; undefined if there is none.
 * @returns Its versions, null for servers that state none; empty if it is missing or malformed.
 */
export function readRecordedVersions(
  value: Uint8Array | undefined,
): (string | null)[] {
  if (!value) return [];
  const { versions } = readJson(value);
  return Array.isArray(versions)
    ? versions.filter((one) => one === null || typeof one === "string")
    : [];
}
