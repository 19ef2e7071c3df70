/** In-memory key-value store with fault injection, for tests and the stand-in service. */
import { err, ok, type Result } from "true-myth/result";
import { systemClock } from "../base/mod.ts";
import { type LeaseSnapshot, LeaseTable } from "./_lease_table.ts";
import { findCommitRefusal } from "./commit_limits.ts";
import type {
  MemoryStoreOptions,
  StoreCounters,
  StoreFaults,
} from "./memory_store_options.ts";
import {
  type KeyRange,
  prefixRange,
  RevisionTable,
  type TableEvent,
  type TableSnapshot,
} from "./revision_table.ts";
import type { StorePosition } from "./position.ts";
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  KeyValueStore,
  Listing,
  StoreFailure,
  StoreLease,
  WatchStep,
  Write,
} from "./store.ts";

/** The state of a {@link MemoryStore} at one time. */
export interface StoreSnapshot {
  readonly table: TableSnapshot;
  readonly leases: LeaseSnapshot;
}

const DEFAULT_OPTIONS: MemoryStoreOptions = {
  clock: systemClock,
  progressMs: 1000,
  firstEra: 0,
};

/** {@link KeyValueStore} in memory. */
export class MemoryStore implements KeyValueStore {
  readonly faults: StoreFaults = {
    down: false,
    slowMs: 0,
    loseNextAnswer: false,
    loseNextRequest: false,
    lateNextEffectMs: 0,
  };
  readonly counters: StoreCounters = {
    reads: 0,
    writes: 0,
    watches: 0,
    goneWatches: 0,
    bytes: 0,
  };
  /** The stored data; tests read and change it directly, bypassing the injected faults. */
  readonly table: RevisionTable;
  readonly #options: MemoryStoreOptions;
  readonly #leases: LeaseTable;
  readonly #closed = new AbortController();
  /** Aborted when the store goes back to a snapshot. */
  #eraEnd = new AbortController();

  private constructor(options: MemoryStoreOptions) {
    this.#options = options;
    this.table = RevisionTable.create(options.firstEra);
    this.#leases = LeaseTable.create({
      clock: options.clock,
      signal: this.#closed.signal,
      onEnd: (leaseId) => this.table.deleteLeaseKeys(leaseId),
    });
  }

  /**
   * @param options Settings that override the defaults.
   * @returns An empty store.
   */
  static create(options: Partial<MemoryStoreOptions> = {}): MemoryStore {
    return new MemoryStore({ ...DEFAULT_OPTIONS, ...options });
  }

  /** Rises by one with each {@link restore}. */
  get era(): number {
    return this.table.position.era;
  }

  /** @returns A copy of the data and the leases. */
  snapshot(): StoreSnapshot {
    return { table: this.table.snapshot(), leases: this.#leases.snapshot() };
  }

  /**
   * Goes back to an earlier state; what was written since is lost. Open calls fail, without effect on
   * the restored state, and watches end.
   *
   * @param snapshot The state to go back to.
   */
  restore(snapshot: StoreSnapshot): void {
    this.table.restore(snapshot.table);
    this.#leases.restore(snapshot.leases);
    this.#eraEnd.abort();
    this.#eraEnd = new AbortController();
  }

  async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, StoreFailure>> {
    this.counters.reads++;
    if (!await this.#isReachable()) return err(unavailable());
    const entry = this.table.get(key);
    this.#countEntries(entry ? [entry] : []);
    return ok(entry);
  }

  list(prefix: string): Promise<Result<Listing, StoreFailure>> {
    return this.listRange(prefixRange(prefix));
  }

  /**
   * @param range Keys to list.
   * @returns The entries, and the position at which they were read.
   */
  async listRange(range: KeyRange): Promise<Result<Listing, StoreFailure>> {
    this.counters.reads++;
    if (!await this.#isReachable()) return err(unavailable());
    const entries = this.table.list(range);
    this.#countEntries(entries);
    return ok({ entries, position: this.table.position });
  }

  async commit(
    expect: Expectation[],
    writes: Write[],
  ): Promise<Result<CommitOutcome, StoreFailure>> {
    this.counters.writes++;
    this.#countWrites(writes);
    if (!await this.#isReachable()) return err(unavailable());
    if (expect.some(({ modPosition }) => this.#isOfEarlierEra(modPosition))) {
      return err(this.#eraChanged());
    }
    const refusal = findCommitRefusal(expect, writes);
    if (refusal) return err(unavailable(refusal));
    const expired = writes.find((write) => this.#hasExpiredLease(write));
    if (expired) return err(unavailable("The lease of a write has lapsed"));
    if (this.#consumeLostRequest()) return err(effectUnknown());
    if (this.#scheduleLateEffect(expect, writes)) return err(effectUnknown());
    const outcome = this.table.commit(expect, writes);
    if (outcome.kind === "conflict") this.#countEntries(outcome.current);
    if (this.#consumeLostAnswer()) return err(effectUnknown());
    return ok(outcome);
  }

  async *watch(
    prefix: string,
    from: StorePosition,
    signal: AbortSignal,
  ): AsyncGenerator<Result<WatchStep, StoreFailure>> {
    this.counters.watches++;
    if (!await this.#isReachable()) return yield err(unavailable());
    if (this.#isOfEarlierEra(from)) return yield err(this.#eraChanged());
    if (!this.#hasHistoryFrom(from)) {
      this.counters.goneWatches++;
      const oldestRevision = this.table.compactedRevision + 1n;
      return yield err({ kind: "compacted", oldestRevision });
    }
    const eraEnd = this.#eraEnd.signal;
    const pending: TableEvent[] = [];
    let notify = () => {};
    const unsubscribe = this.table.subscribe(
      prefixRange(prefix),
      from.revision,
      (events) => {
        pending.push(...events);
        notify();
      },
    );
    try {
      while (!signal.aborted) {
        if (this.#isUnavailable() || eraEnd.aborted) {
          return yield err(unavailable());
        }
        const steps = this.#takeSteps(pending);
        for (const step of steps) yield ok(step);
        if (pending.length > 0) continue;
        const notified = new Promise<void>((resolve) => notify = resolve);
        const ends = AbortSignal.any([signal, eraEnd]);
        await this.#waitForEvents(notified, ends);
      }
    } finally {
      unsubscribe();
    }
  }

  async grantLease(ttlMs: number): Promise<Result<StoreLease, StoreFailure>> {
    this.counters.writes++;
    if (!await this.#isReachable()) return err(unavailable());
    const leaseId = this.#leases.grant(ttlMs);
    return ok({ leaseId, ttlMs, era: this.era });
  }

  async renewLease(leaseId: bigint): Promise<Result<StoreLease, StoreFailure>> {
    this.counters.writes++;
    if (!await this.#isReachable()) return err(unavailable());
    const ttlMs = this.#leases.renew(leaseId);
    return ok({ leaseId, ttlMs, era: this.era });
  }

  async revokeLease(leaseId: bigint): Promise<Result<void, StoreFailure>> {
    this.counters.writes++;
    if (!await this.#isReachable()) return err(unavailable());
    this.#leases.end(leaseId);
    return ok<void, StoreFailure>(undefined);
  }

  close(): void {
    this.#closed.abort();
  }

  /** Applies the injected delay, then tells whether the call reaches the store. */
  async #isReachable(): Promise<boolean> {
    const { era } = this;
    const { slowMs } = this.faults;
    if (slowMs > 0) await this.#sleep(slowMs);
    this.#leases.expire();
    return !this.#isUnavailable() && era === this.era;
  }

  #isOfEarlierEra(position: StorePosition | undefined): boolean {
    return position !== undefined && position.era < this.era;
  }

  #eraChanged(): StoreFailure {
    return { kind: "era_changed", era: this.era, mayHaveEffect: false };
  }

  #hasHistoryFrom({ revision }: StorePosition): boolean {
    const { compactedRevision, position: current } = this.table;
    if (revision === 0n) return true;
    return revision > compactedRevision && revision <= current.revision + 1n;
  }

  #isUnavailable(): boolean {
    return this.faults.down || this.#closed.signal.aborted;
  }

  /** Waits for the next event or until progress is due; the caller then checks for faults. */
  async #waitForEvents(
    notified: Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const waitEnd = new AbortController();
    const signals = AbortSignal.any([
      signal,
      waitEnd.signal,
      this.#closed.signal,
    ]);
    const progressDue = this.#options.clock.sleep(
      this.#options.progressMs,
      signals,
    );
    await Promise.race([notified, progressDue]);
    waitEnd.abort();
  }

  #takeSteps(pending: TableEvent[]): WatchStep[] {
    const events = pending.splice(0);
    if (events.length > 0) return events;
    return [{ kind: "progress", position: this.table.position }];
  }

  #consumeLostRequest(): boolean {
    const lost = this.faults.loseNextRequest;
    this.faults.loseNextRequest = false;
    return lost;
  }

  #consumeLostAnswer(): boolean {
    const lost = this.faults.loseNextAnswer;
    this.faults.loseNextAnswer = false;
    return lost;
  }

  #scheduleLateEffect(expect: Expectation[], writes: Write[]): boolean {
    const lateMs = this.faults.lateNextEffectMs;
    if (lateMs === 0) return false;
    this.faults.lateNextEffectMs = 0;
    const { era } = this;
    void this.#sleep(lateMs).then(() => {
      if (era === this.era) this.table.commit(expect, writes);
    });
    return true;
  }

  #hasExpiredLease(write: Write): boolean {
    return write.kind === "put" && write.leaseId !== undefined &&
      write.leaseId !== 0n && !this.#leases.has(write.leaseId);
  }

  #sleep(ms: number): Promise<void> {
    return this.#options.clock.sleep(ms, this.#closed.signal);
  }

  #nowMs(): number {
    return this.#options.clock.nowMs();
  }

  #countEntries(entries: KeyValueEntry[]): void {
    for (const { key, value } of entries) {
      this.counters.bytes += key.length + value.length;
    }
  }

  #countWrites(writes: Write[]): void {
    for (const write of writes) {
      if (write.kind !== "put") continue;
      this.counters.bytes += write.key.length + write.value.length;
    }
  }
}

function unavailable(message = "The store is down"): StoreFailure {
  return { kind: "unavailable", message };
}

function effectUnknown(): StoreFailure {
  return { kind: "effect_unknown", message: "The answer was lost" };
}
