/** Keeps records of the entries in the platform's store up to date. */
import type { Clock, Logger } from "../base/mod.ts";
import type { StorePosition } from "../store/position.ts";
import type { Expectation, KeyValueStore, Write } from "../store/store.ts";
import { WakeSignal } from "./wake_signal.ts";

/** Interval at which the records are compared with what is known. */
const CHECK_INTERVAL_MS = 500;
/** Default of {@link RecordWriterOptions.rewriteIntervalMs}. */
const REWRITE_INTERVAL_MS = 5000;
/** Time after a conflict in which the local copy of the store catches up. */
const CONFLICT_PAUSE_MS = 50;
/** Writes in one call, each with its condition. */
const MAX_WRITES = 16;

/** A write of one record. */
export type RecordWrite = Extract<Write, { kind: "put" | "delete" }>;

/** Dependencies of a {@link RecordWriter}. */
export interface RecordWriterOptions {
  store: Pick<KeyValueStore, "commit">;
  clock: Clock;
  log: Logger;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
  /** Event of the log line about a call. */
  event: string;
  /** Least time between two writes of one record by this entry. */
  rewriteIntervalMs?: number;
  /**
   * Position of a record in the local copy of the store, undefined if it isn't there. If given, a
   * record that has changed since is not written, and may be written again soon.
   */
  positionOf?(key: string): StorePosition | undefined;
  /** Returns the records that are missing, differ or are obsolete, as far as this entry writes them. */
  dueWrites(nowMs: number): RecordWrite[];
}

/** Writes records of one kind. */
export class RecordWriter {
  readonly #options: RecordWriterOptions;
  /** When this entry last wrote or deleted each record. */
  readonly #writtenAtMs = new Map<string, number>();
  readonly #wake = WakeSignal.create();

  private constructor(options: RecordWriterOptions) {
    this.#options = options;
  }

  /**
   * @param options The store, and what is due.
   * @returns A writer that writes once {@link run} is called.
   */
  static create(options: RecordWriterOptions): RecordWriter {
    return new RecordWriter(options);
  }

  /**
   * Updates the records periodically.
   *
   * @param signal Stops the updates.
   */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this.notify(), { once: true });
    while (!signal.aborted) {
      await this.#wake.wait(CHECK_INTERVAL_MS);
      if (!signal.aborted) await this.update();
    }
  }

  /** Updates the records now instead of at the end of the interval. */
  notify(): void {
    this.#wake.notify();
  }

  /** Writes the records that are due. */
  async update(): Promise<void> {
    const { store, clock, log, isStoreServing, event, dueWrites } =
      this.#options;
    if (!isStoreServing()) return;
    const nowMs = clock.nowMs();
    const writes = dueWrites(nowMs)
      .filter(({ key }) => this.#mayWrite(key, nowMs))
      .slice(0, MAX_WRITES);
    if (writes.length === 0) return;
    for (const { key } of writes) this.#writtenAtMs.set(key, nowMs);
    const committed = await store.commit(this.#conditionsOf(writes), writes);
    const isConflict = committed.isOk && committed.value.kind === "conflict";
    if (isConflict) this.#allowAgain(writes, nowMs + CONFLICT_PAUSE_MS);
    log.info({
      event,
      keys: writes.map(({ kind, key }) => `${kind} ${key}`),
      isWritten: committed.isOk && !isConflict,
    });
  }

  #allowAgain(writes: RecordWrite[], fromMs: number): void {
    const { rewriteIntervalMs = REWRITE_INTERVAL_MS } = this.#options;
    const writtenAtMs = fromMs - rewriteIntervalMs;
    for (const { key } of writes) this.#writtenAtMs.set(key, writtenAtMs);
  }

  #conditionsOf(writes: RecordWrite[]): Expectation[] {
    const { positionOf } = this.#options;
    if (!positionOf) return [];
    return writes.map(({ key }) => ({ key, modPosition: positionOf(key) }));
  }

  #mayWrite(key: string, nowMs: number): boolean {
    const { rewriteIntervalMs = REWRITE_INTERVAL_MS } = this.#options;
    const writtenAtMs = this.#writtenAtMs.get(key) ?? -Infinity;
    return nowMs - writtenAtMs >= rewriteIntervalMs;
  }
}
