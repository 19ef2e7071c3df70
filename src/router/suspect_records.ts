/** Records in the platform's store of suspected requests and of suspected parts of prompts. */
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import {
  MIN_SHARED_CRASHES,
  MIN_SHARED_ENDS,
  PART_RECORD_KEY,
  SUSPECT_RECORD_KEY,
  SuspectRecord,
} from "../suspects/mod.ts";
import type { StoreMirror } from "./mirror.ts";
import type { Quarantine } from "./quarantine.ts";

/** Dependencies of {@link SuspectRecords}. */
export interface SuspectRecordsOptions {
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  /** Returns a number from 0 to 1. */
  random: () => number;
  quarantine: Quarantine;
  /** The local copy of the store. */
  mirror: Pick<StoreMirror, "entry">;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
}

/** The records of all suspects. */
export class SuspectRecords {
  readonly #requests: SuspectRecord;
  readonly #parts: SuspectRecord;

  private constructor(options: SuspectRecordsOptions) {
    const { quarantine, mirror } = options;
    this.#requests = SuspectRecord.create({
      ...options,
      key: SUSPECT_RECORD_KEY,
      minEnds: MIN_SHARED_ENDS,
      source: quarantine,
      record: () => mirror.entry(SUSPECT_RECORD_KEY),
    });
    this.#parts = SuspectRecord.create({
      ...options,
      key: PART_RECORD_KEY,
      minEnds: MIN_SHARED_CRASHES,
      source: quarantine.parts,
      record: () => mirror.entry(PART_RECORD_KEY),
    });
  }

  /**
   * @param options Store and suspects.
   * @returns Records that are updated once {@link run} is called.
   */
  static create(options: SuspectRecordsOptions): SuspectRecords {
    return new SuspectRecords(options);
  }

  /** @param key Key that was written; ignored if it is no such record's. */
  onWritten(key: string): void {
    if (key === SUSPECT_RECORD_KEY) this.#requests.loadStored();
    if (key === PART_RECORD_KEY) this.#parts.loadStored();
  }

  /** Records that the store was restored from an older copy, which may lack the last writes. */
  onRestored(): void {
    this.#requests.forgetWrite();
    this.#parts.forgetWrite();
  }

  /** Writes each record that is outdated, if no other entry is expected to. */
  async update(): Promise<void> {
    await this.#requests.update();
    await this.#parts.update();
  }

  /**
   * Updates the records periodically.
   *
   * @param signal Stops the updates.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#requests.run(signal), this.#parts.run(signal)]);
  }
}
