/** Entries that tell each other of suspected requests, over links that lose datagrams, in virtual time. */
import { Result } from "true-myth";
import { Metrics } from "../base/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/mod.ts";
import { SUSPECT_RECORD_KEY, SuspectRecord } from "../suspects/mod.ts";
import { registration, silentLog, TestClock } from "./_kit.ts";
import { Quarantine } from "./quarantine.ts";

/** Pause between datagrams, and step of the world. */
export const TICK_MS = 50;
/** Pause between looks at the record. */
const LOOK_MS = 500;
/** Time until a change of the store is known everywhere. */
const MIRROR_MS = 200;
/** Time that a request runs until its server ends. */
const RUN_MS = 60;

/** One entry. */
export interface SuspectEntry {
  quarantine: Quarantine;
  record: SuspectRecord;
  startedAtMs: number;
  /** What it has of the store's record. */
  known: KeyValueEntry | undefined;
}

/** Settings of a {@link SuspectWorld}. */
export interface SuspectWorldOptions {
  entryCount: number;
  /** Share of the datagrams that are lost. */
  loss: number;
  random: () => number;
}

/** Entries and a store. */
export class SuspectWorld {
  readonly clock = new TestClock();
  readonly entries: SuspectEntry[] = [];
  isStoreAway = false;
  readonly #options: SuspectWorldOptions;
  #stored: KeyValueEntry | undefined;
  #storedAtMs = -Infinity;
  #lookedAtMs = -Infinity;
  #ends = 0;
  writes = 0;

  private constructor(options: SuspectWorldOptions) {
    this.#options = options;
    for (let i = 0; i < options.entryCount; i++) {
      this.entries.push(this.#open());
    }
  }

  static create(options: SuspectWorldOptions): SuspectWorld {
    return new SuspectWorld(options);
  }

  /** The entry's process is gone, and another one takes its place. */
  restart(index: number): void {
    this.entries[index] = this.#open();
  }

  /** A server ends under these requests, all of them at one entry; it had begun the first one last. */
  end(entry: SuspectEntry, digests: string[]): void {
    const atMs = this.clock.nowMs();
    const server = registration(`i-${this.#ends++}`);
    const lost = digests.map((digest, i) => ({
      requestId: digest,
      digest,
      answeringMs: 20 + 100 * i,
      atMs,
      runMs: RUN_MS,
    }));
    entry.quarantine.ended(server, lost);
  }

  /** Time goes on by a tick. */
  async step(): Promise<void> {
    this.clock.advance(TICK_MS);
    for (const entry of this.entries) this.#tell(entry);
    if (this.isStoreAway) return;
    const nowMs = this.clock.nowMs();
    for (const entry of this.entries) this.#mirror(entry);
    if (nowMs - this.#lookedAtMs < LOOK_MS) return;
    this.#lookedAtMs = nowMs;
    for (const { record } of this.entries) await record.update();
  }

  #open(): SuspectEntry {
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
      isStoreServing: () => !this.isStoreAway,
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

  #tell(entry: SuspectEntry): void {
    if (!entry.quarantine.hasNews) return;
    const news = entry.quarantine.takeNews();
    for (const other of this.entries) {
      if (other === entry || this.#options.random() < this.#options.loss) {
        continue;
      }
      other.quarantine.hear(news);
    }
  }

  #mirror(entry: SuspectEntry): void {
    if (entry.known === this.#stored) return;
    const isNew = entry.known !== undefined &&
      this.clock.nowMs() - this.#storedAtMs < MIRROR_MS;
    if (isNew) return;
    entry.known = this.#stored;
    entry.record.recall();
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
