/** Simulates, in virtual time, entries that gossip suspected requests and parts over lossy links. */
import { Result } from "true-myth";
import { Metrics } from "../base/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/mod.ts";
import { registration, silentLog, TestClock } from "./_kit.ts";
import type { PromptPart } from "./model.ts";
import { Quarantine } from "./quarantine.ts";
import type { RoutedRequest } from "./request.ts";
import { SuspectRecords } from "./suspect_records.ts";
import {
  isSamePosition,
  nextPosition,
  START_POSITION,
} from "../store/position.ts";

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
  records: SuspectRecords;
  startedAtMs: number;
  /** The entry's copy of the store's records. */
  known: Map<string, KeyValueEntry>;
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
  readonly #stored = new Map<string, KeyValueEntry>();
  readonly #storedAtMs = new Map<string, number>();
  #polledAtMs = -Infinity;
  #ends = 0;
  writes = 0;
  /** Datagrams with rows about parts that each entry sent to each other, and the size of these rows. */
  readonly partNews = { datagrams: 0, bytes: 0 };

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
      parts: [],
      answeringMs: 20 + 100 * i,
      atMs,
      runMs: CRASH_AFTER_MS,
    }));
    entry.quarantine.ended(server, lost);
  }

  /**
   * Crashes a server.
   *
   * @param lost The parts of the prompts that each entry had in flight on it.
   */
  crash(lost: ReadonlyMap<SuspectEntry, readonly string[]>): void {
    const atMs = this.clock.nowMs();
    const server = registration(`i-${this.#ends++}`);
    for (const [{ quarantine }, parts] of lost) {
      const request = { requestId: "r", digest: "d", atMs, runMs: 0 };
      quarantine.parts.crashed(server, [{ ...request, parts }]);
    }
  }

  /** Advances the time by one tick. */
  async step(): Promise<void> {
    this.clock.advance(TICK_MS);
    for (const entry of this.entries) this.#broadcast(entry);
    if (this.isStoreDown) return;
    const nowMs = this.clock.nowMs();
    for (const entry of this.entries) this.#syncRecords(entry);
    if (nowMs - this.#polledAtMs < RECORD_POLL_MS) return;
    this.#polledAtMs = nowMs;
    for (const { records } of this.entries) await records.update();
  }

  #startEntry(): SuspectEntry {
    const { clock } = this;
    const { random, entryCount } = this.#options;
    const known = new Map<string, KeyValueEntry>();
    const quarantine = Quarantine.create({
      clock,
      log: silentLog,
      metrics: Metrics.create(),
      entryCount: () => entryCount,
      isResponsibleFor: () => true,
      onServerRefused: () => {},
    });
    const records = SuspectRecords.create({
      store: { commit: (expect, writes) => this.#commit(expect, writes) },
      clock,
      log: silentLog,
      random,
      quarantine,
      mirror: { entry: (key) => known.get(key) },
      isStoreServing: () => !this.isStoreDown,
    });
    const startedAtMs = clock.nowMs();
    return { quarantine, records, startedAtMs, known };
  }

  #broadcast(entry: SuspectEntry): void {
    if (!entry.quarantine.hasNews) return;
    const news = entry.quarantine.takeNews();
    const { crashes, answeredParts } = news;
    if (crashes || answeredParts) {
      this.partNews.datagrams++;
      this.partNews.bytes += JSON.stringify({ crashes, answeredParts }).length;
    }
    for (const other of this.entries) {
      if (other === entry || this.#options.random() < this.#options.loss) {
        continue;
      }
      other.quarantine.hear(news);
    }
  }

  #syncRecords({ known, records }: SuspectEntry): void {
    for (const [key, stored] of this.#stored) {
      const isNew = known.has(key) &&
        this.clock.nowMs() - this.#storedAtMs.get(key)! < WATCH_DELAY_MS;
      if (known.get(key) === stored || isNew) continue;
      known.set(key, stored);
      records.onWritten(key);
    }
  }

  #commit: KeyValueStore["commit"] = (expect, writes) => {
    this.writes++;
    const key = expect[0]!.key;
    const current = this.#stored.get(key);
    const modPosition = current?.modPosition;
    const position = nextPosition(modPosition ?? START_POSITION);
    const [write] = writes;
    if (
      !isSamePosition(expect[0]?.modPosition, modPosition) ||
      write?.kind !== "put"
    ) {
      const others = current ? [current] : [];
      return Promise.resolve(
        Result.ok({
          kind: "conflict",
          current: others,
          position: modPosition ?? START_POSITION,
        }),
      );
    }
    this.#stored.set(key, {
      key,
      value: write.value,
      modPosition: position,
      createPosition: nextPosition(START_POSITION),
    });
    this.#storedAtMs.set(key, this.clock.nowMs());
    return Promise.resolve(Result.ok({ kind: "committed", position }));
  };
}

/**
 * @param ids Ids of parts.
 * @returns A request whose prompt shares these parts, and whose last part is its own.
 */
export function requestWith(...ids: string[]): RoutedRequest {
  const toPart = (id: string): PromptPart => ({ id, tokens: 100 });
  const parts = [...ids, "own"].map(toPart);
  return { facts: { prompt: { parts } } } as unknown as RoutedRequest;
}
