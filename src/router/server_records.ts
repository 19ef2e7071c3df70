/** What the platform's store records about servers, beside their registrations, and what ends them. */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { Fleet } from "./fleet.ts";
import type { StoreMirror } from "./mirror.ts";
import { ORIGIN_RECORD_PREFIX, OriginRecord } from "./origin_record.ts";
import { RATE_RECORD_PREFIX, RateRecord } from "./rate_record.ts";
import type { RoutingTable } from "./routing_table.ts";
import type { Quarantine } from "./quarantine.ts";
import { SoftwareCheck } from "./software_check.ts";
import { SOFTWARE_RECORD_PREFIX, SoftwareRecord } from "./software_record.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import { SuspectRecords } from "./suspect_records.ts";

/** Dependencies of {@link ServerRecords}. */
export interface ServerRecordsOptions {
  store: Pick<KeyValueStore, "commit" | "get">;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  fleet: Fleet;
  quarantine: Quarantine;
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** The local copy of the store. */
  mirror: StoreMirror;
  /** The configuration in force. */
  table(): Pick<RoutingTable, "isResumable"> | undefined;
  /** Address of this entry. */
  ipAddress: string;
  origins(): StreamOrigins;
  /** Number of entries. */
  entryCount(): number;
  /** Whether this entry is the one responsible for a record, by its key or its server's key. */
  isWriterOf(key: string): boolean;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
}

/** The records of servers' rates, of software versions and the streams they began, and of suspects. */
export class ServerRecords {
  readonly rates: RateRecord;
  readonly software: SoftwareRecord;
  readonly softwareCheck: SoftwareCheck;
  readonly #origins: OriginRecord;
  readonly #suspects: SuspectRecords;

  private constructor(options: ServerRecordsOptions) {
    const { versions } = options.fleet;
    this.rates = RateRecord.create(options);
    this.software = SoftwareRecord.create({
      ...options,
      versions,
      isResumable: (service) => options.table()?.isResumable(service) ?? false,
      // Without a configuration, a record that is still needed would look obsolete.
      isStoreServing: () =>
        options.table() !== undefined && options.isStoreServing(),
    });
    this.softwareCheck = SoftwareCheck.create({ ...options, versions });
    this.#origins = OriginRecord.create({
      ...options,
      ownAddress: options.ipAddress,
    });
    this.#suspects = SuspectRecords.create(options);
    options.mirror.onEraChange(() => {
      this.#suspects.onRestored();
      this.#origins.onRestored();
    });
  }

  /**
   * @param options Store, servers, suspects, and which records this entry writes.
   * @returns Records that are updated once {@link run} is called.
   */
  static create(options: ServerRecordsOptions): ServerRecords {
    return new ServerRecords(options);
  }

  /** @param key Key that was written; ignored if it is no such record's. */
  onWritten(key: string): void {
    this.#suspects.onWritten(key);
    if (key.startsWith(RATE_RECORD_PREFIX)) this.rates.onWritten(key);
    if (key.startsWith(SOFTWARE_RECORD_PREFIX)) this.software.onWritten(key);
    if (key.startsWith(ORIGIN_RECORD_PREFIX)) this.#origins.onWritten(key);
  }

  /**
   * Updates the records periodically.
   *
   * @param signal Stops the updates.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.rates.run(signal),
      this.software.run(signal),
      this.#origins.run(signal),
      this.#suspects.run(signal),
    ]);
  }
}
