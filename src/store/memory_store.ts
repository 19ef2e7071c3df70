/** In-memory key-value store with fault injection, for tests and the stand-in service. */
import { err, ok, type Result } from "true-myth/result";
import { type Clock, systemClock } from "../base/mod.ts";
import { findCommitRefusal } from "./commit_limits.ts";
import {
  type KeyRange,
  prefixRange,
  RevisionTable,
  type TableEvent,
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

/** Faults that a test injects. */
export interface StoreFaults {
  /** All calls fail without effect, and watches end. */
  down: boolean;
  /** Delay of every call before it takes effect. */
  slowMs: number;
  /** The next commit takes effect, but its caller gets `effect_unknown`. */
  loseNextAnswer: boolean;
  /** The next commit has no effect, and its caller gets `effect_unknown`. */
  loseNextRequest: boolean;
  /** The next commit takes effect this much later, and its caller gets `effect_unknown`; 0: off. */
  lateNextEffectMs: number;
}

/** Counts of calls and bytes since the store was created. */
export interface StoreCounters {
  reads: number;
  /** Commits and lease calls. */
  writes: number;
  /** Watches opened. */
  watches: number;
  /** Bytes of keys and values, read and written. */
  bytes: number;
}

/** Settings of a {@link MemoryStore}. */
export interface MemoryStoreOptions {
  clock: Clock;
  /** Time without events after which a watch reports its progress. */
  progressMs: number;
}

interface LeaseState {
  ttlMs: number;
  expiresMs: number;
}

const DEFAULT_OPTIONS: MemoryStoreOptions = {
  clock: systemClock,
  progressMs: 1000,
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
    bytes: 0,
  };
  /** The stored data; tests read and change it directly, bypassing the injected faults. */
  readonly table = RevisionTable.create();
  readonly #options: MemoryStoreOptions;
  readonly #leases = new Map<bigint, LeaseState>();
  readonly #closed = new AbortController();
  #nextLeaseId = 1n;

  private constructor(options: MemoryStoreOptions) {
    this.#options = options;
  }

  /**
   * @param options Settings that override the defaults.
   * @returns An empty store.
   */
  static create(options: Partial<MemoryStoreOptions> = {}): MemoryStore {
    return new MemoryStore({ ...DEFAULT_OPTIONS, ...options });
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
    const compacted = this.table.compactedRevision;
    if (from.revision !== 0n && from.revision <= compacted) {
      return yield err({ kind: "compacted", oldestRevision: compacted + 1n });
    }
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
        if (this.#isUnavailable()) return yield err(unavailable());
        const steps = this.#takeSteps(pending);
        for (const step of steps) yield ok(step);
        if (pending.length > 0) continue;
        const notified = new Promise<void>((resolve) => notify = resolve);
        await this.#waitForEvents(notified, signal);
      }
    } finally {
      unsubscribe();
    }
  }

  async grantLease(ttlMs: number): Promise<Result<StoreLease, StoreFailure>> {
    this.counters.writes++;
    if (!await this.#isReachable()) return err(unavailable());
    const { era } = this.table.position;
    const leaseId = this.#nextLeaseId++;
    this.#leases.set(leaseId, { ttlMs, expiresMs: this.#nowMs() + ttlMs });
    this.#scheduleExpiry(leaseId, ttlMs);
    return ok({ leaseId, ttlMs, era });
  }

  async renewLease(leaseId: bigint): Promise<Result<StoreLease, StoreFailure>> {
    this.counters.writes++;
    if (!await this.#isReachable()) return err(unavailable());
    const { era } = this.table.position;
    const lease = this.#leases.get(leaseId);
    if (!lease) return ok({ leaseId, ttlMs: 0, era });
    lease.expiresMs = this.#nowMs() + lease.ttlMs;
    return ok({ leaseId, ttlMs: lease.ttlMs, era });
  }

  async revokeLease(leaseId: bigint): Promise<Result<void, StoreFailure>> {
    this.counters.writes++;
    if (!await this.#isReachable()) return err(unavailable());
    this.#endLease(leaseId);
    return ok<void, StoreFailure>(undefined);
  }

  close(): void {
    this.#closed.abort();
  }

  /** Applies the injected delay, then tells whether the call reaches the store. */
  async #isReachable(): Promise<boolean> {
    const { slowMs } = this.faults;
    if (slowMs > 0) await this.#sleep(slowMs);
    this.#expireLeases();
    return !this.#isUnavailable();
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
    void this.#sleep(lateMs).then(() => this.table.commit(expect, writes));
    return true;
  }

  #hasExpiredLease(write: Write): boolean {
    return write.kind === "put" && write.leaseId !== undefined &&
      write.leaseId !== 0n && !this.#leases.has(write.leaseId);
  }

  #scheduleExpiry(leaseId: bigint, waitMs: number): void {
    void this.#sleep(waitMs).then(() => {
      this.#expireLeases();
      const lease = this.#leases.get(leaseId);
      if (!lease || this.#closed.signal.aborted) return;
      this.#scheduleExpiry(
        leaseId,
        Math.max(1, lease.expiresMs - this.#nowMs()),
      );
    });
  }

  #expireLeases(): void {
    const nowMs = this.#nowMs();
    for (const [leaseId, lease] of this.#leases) {
      if (lease.expiresMs <= nowMs) this.#endLease(leaseId);
    }
  }

  #endLease(leaseId: bigint): void {
    if (this.#leases.delete(leaseId)) this.table.deleteLeaseKeys(leaseId);
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
