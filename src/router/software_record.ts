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
import type { SoftwareVersions } from "./software_versions.ts";

/** Key prefix of the records; the service's name follows. */
export const SOFTWARE_RECORD_PREFIX = "cicadahitch/software/";

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

  private constructor(options: SoftwareRecordOptions) {
    this.#options = options;
    this.#writer = RecordWriter.create({
      ...options,
      event: "software_versions_recorded",
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
    for (const version of readVersions(mirror.entry(key)?.value)) {
      const softwareVersion = version ?? undefined;
      versions.hear({ service, softwareVersion, ageMs: 0 });
    }
  }

  /** @param signal Stops the updates. */
  run(signal: AbortSignal): Promise<void> {
    return this.#writer.run(signal);
  }

  /** Writes the records of this entry that lack a version, and deletes the obsolete ones. */
  update(): Promise<void> {
    return this.#writer.update();
  }

  #puts(): RecordWrite[] {
    const { mirror, versions, isWriterOf } = this.#options;
    const writes: RecordWrite[] = [];
    for (const service of versions.services()) {
      const current = versions.current(service).map((one) => one ?? null);
      if (!this.#needsRecord(service, current)) continue;
      const key = SOFTWARE_RECORD_PREFIX + service;
      const recorded = readVersions(mirror.entry(key)?.value);
      if (!isOutdated(recorded, current) || !isWriterOf(key)) continue;
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

/** Versions in a record, null for servers that state none; empty if the record is malformed. */
function readVersions(value: Uint8Array | undefined): (string | null)[] {
  if (!value) return [];
  const { versions } = readJson(value);
  return Array.isArray(versions)
    ? versions.filter((one) => one === null || typeof one === "string")
    : [];
}
