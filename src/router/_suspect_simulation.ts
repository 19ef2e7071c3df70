/** Simulates, in virtual time, entries that gossip suspected requests over lossy links. */
import { Result } from "true-myth";
import { Metrics } from "../base/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/mod.ts";
import { SUSPECT_RECORD_KEY, SuspectRecord } from "../suspects/mod.ts";
import { registration, silentLog, TestClock } from "./_kit.ts";
import { Quarantine } from "./quarantine.ts";

/** Interval of datagrams, and step of the simulation. */
export const TICK_MS = 50;
/** Interval at which entries check the store's record. */
const RECORD_POLL_MS = 500;
/** Delay until all entries see a change in the store. */
const WATCH_DELAY_MS = 200;
/** How long a request runs until its server crashes. */
const CRASH_AFTER_MS = 60;

/** A simulated entry. */
export interface SuspectEntry {
  quarantine: Quarantine;
  record: SuspectRecord;
  startedAtMs: number;
  /** The entry's copy of the store's record. */
  known: KeyValueEntry | undefined;
}

/** Settings of a {@link SuspectSimulation}. */
export interface SuspectSimulationOptions {
  entryCount: number;
  /** Share of datagrams that are lost. */
  loss: number;
  random: () => number;
}

/** Simulation of entries and a store. */
export class SuspectSimulation {
  readonly clock = new TestClock();
  readonly entries: SuspectEntry[] = [];
  isStoreDown = false;
  readonly #options: SuspectSimulationOptions;
  #stored: KeyValueEntry | undefined;
  #storedAtMs = -Infinity;
  #polledAtMs = -Infinity;
  #ends = 0;
  writes = 0;

  private constructor(options: SuspectSimulationOptions) {
    this.#options = options;
    for (let i = 0; i < options.entryCount; i++) {
      this.entries.push(this.#startEntry());
    }
  }

  static create(options: SuspectSimulationOptions): SuspectSimulation {
    return new SuspectSimulation(options);
  }

  /** Kills an entry's process and starts a new one. */
  restart(index: number): void {
    this.entries[index] = this.#startEntry();
  }

  /**
   * Ends a server while these requests of one entry are in flight on it; it started to answer the
   * first one last.
   */
  end(entry: SuspectEntry, digests: string[]): void {
    const atMs = this.clock.nowMs();
    const server = registration(`i-${this.#ends++}`);
    const lost = digests.map((digest, i) => ({
      requestId: digest,
      digest,
      answeringMs: 20 + 100 * i,
      atMs,
      runMs: CRASH_AFTER_MS,
    }));
    entry.quarantine.ended(server, lost);
  }

  /** Advances the time by one tick. */
  async step(): Promise<void> {
    this.clock.advance(TICK_MS);
    for (const entry of this.entries) this.#broadcast(entry);
    if (this.isStoreDown) return;
    const nowMs = this.clock.nowMs();
    for (const entry of this.entries) this.#syncRecord(entry);
    if (nowMs - this.#polledAtMs < RECORD_POLL_MS) return;
    this.#polledAtMs = nowMs;
    for (const { record } of this.entries) await record.update();
  }

  #startEntry(): SuspectEntry {
    const { clock } = this;
    const { random, entryCount } = this.#options;
    const quarantine = Quarantine.create({
      clock,
      log: silentLog,
      metrics: Metrics.create(),
      entryCount: () => entryCount,
    });
    const record = SuspectRecord.create({
      store: { commit: (expect, writes) => this.#commit(expect, writes) },
      clock,
      log: silentLog,
      random,
      source: quarantine,
      record: () => entry.known,
      isStoreServing: () => !this.isStoreDown,
    });
    const startedAtMs = clock.nowMs();
    const entry: SuspectEntry = {
      quarantine,
      record,
      startedAtMs,
      known: undefined,
    };
    return entry;
  }

  #broadcast(entry: SuspectEntry): void {
    if (!entry.quarantine.hasNews) return;
    const news = entry.quarantine.takeNews();
    for (const other of this.entries) {
      if (other === entry || this.#options.random() < this.#options.loss) {
        continue;
      }
      other.quarantine.hear(news);
    }
  }

  #syncRecord(entry: SuspectEntry): void {
    if (entry.known === this.#stored) return;
    const isNew = entry.known !== undefined &&
      this.clock.nowMs() - this.#storedAtMs < WATCH_DELAY_MS;
    if (isNew) return;
    entry.known = this.#stored;
    entry.record.loadStored();
  }

  #commit: KeyValueStore["commit"] = (expect, writes) => {
    this.writes++;
    const modRevision = this.#stored?.modRevision ?? 0n;
    const revision = modRevision + 1n;
    const [write] = writes;
    if (expect[0]?.modRevision !== modRevision || write?.kind !== "put") {
      const current = this.#stored ? [this.#stored] : [];
      return Promise.resolve(
        Result.ok({ kind: "conflict", current, revision: modRevision }),
      );
    }
    this.#stored = {
      key: SUSPECT_RECORD_KEY,
      value: write.value,
      modRevision: revision,
      createRevision: 1n,
    };
    this.#storedAtMs = this.clock.nowMs();
    return Promise.resolve(Result.ok({ kind: "committed", revision }));
  };
}
