/**
 * {@link KeyValueStore} client of the platform's store: HTTP with JSON bodies and long polling. Each
 * answer names its era; one of an earlier era than the newest known is not used.
 */
import { Result } from "true-myth";
import { findCommitRefusal } from "../store/commit_limits.ts";
import { laterOf, positionAt, type StorePosition } from "../store/position.ts";
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
} from "../store/store.ts";
import {
  type Call,
  type CallFailure,
  TOTAL_TIMEOUT_FACTOR,
} from "./http_call.ts";
import { StorePath } from "./names.ts";
import { type StoreAnswer, StoreCaller } from "./store_caller.ts";
import { StoreLister } from "./store_lister.ts";
import {
  overtakenFailure,
  readFailure,
  refusalFailure,
  tryParse,
  writeFailure,
} from "./store_failures.ts";
import {
  commitBody,
  integerOf,
  positionOf,
  readConflict,
  readEntry,
  readWatch,
  type UnreadableItem,
  type WatchAnswer,
} from "./store_bodies.ts";

/** Settings of a {@link PlatformStore}. */
export interface PlatformStoreOptions {
  /** `ip:port`. */
  address: string;
  connectMs: number;
  /** Idle timeout of every call, except for polls that wait for an event. */
  callMs: number;
  /** How long the store may hold a poll of a watch until an event occurs. */
  watchWaitMs: number;
  /** Time beyond `watchWaitMs` after which an unanswered poll of a watch times out. */
  watchSlackMs: number;
  /** Called for each unreadable item of a list or watch; the answer's other items are used. */
  onUnreadable?(item: UnreadableItem): void;
  /** Monotonic clock; tests replace it. */
  nowMs?(): number;
}

/** How long the first poll of a watch waits for an event. */
const FIRST_POLL_WAIT_MS = 0;

/** The platform's documented limit on the sum of conditions and writes in one commit. */
const MAX_COMMIT_ENTRIES = 32;

/** One long poll of a watch. */
interface Poll {
  prefix: string;
  /** Only events after this position are returned. */
  after: StorePosition;
  /** How long the store may wait for an event before it answers. */
  waitMs: number;
  callMs: number;
  signal: AbortSignal;
}

/** Client of the platform's store. */
export class PlatformStore implements KeyValueStore {
  readonly #caller: StoreCaller;
  readonly #lister: StoreLister;
  readonly #options: PlatformStoreOptions;

  private constructor(options: PlatformStoreOptions) {
    this.#options = options;
    this.#caller = StoreCaller.create(options.address, options.connectMs);
    this.#lister = StoreLister.create({
      read: (path) => this.#read(path),
      newestEra: () => this.#caller.newestEra,
      onUnreadable: (items) => this.#reportUnreadable(items),
      nowMs: options.nowMs ?? (() => performance.now()),
      maxAgeMs: options.callMs * TOTAL_TIMEOUT_FACTOR,
    });
  }

  /**
   * @param options Address, timeouts and callbacks.
   * @returns A client that connects on the first call.
   */
  static create(options: PlatformStoreOptions): PlatformStore {
    return new PlatformStore(options);
  }

  /** Number of calls sent so far, including the polls of watches. */
  get calls(): number {
    return this.#caller.calls;
  }

  async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, StoreFailure>> {
    const path = `${StorePath.key}?key=${encodeURIComponent(key)}`;
    const answer = await this.#read(path);
    if (answer.isErr) return Result.err(answer.error);
    const { status, body, era } = answer.value;
    if (status === 404) return Result.ok(undefined);
    return tryParse(() => readEntry(body, era));
  }

  list(prefix: string): Promise<Result<Listing, StoreFailure>> {
    return this.#lister.continue(prefix);
  }

  async commit(
    expect: Expectation[],
    writes: Write[],
  ): Promise<Result<CommitOutcome, StoreFailure>> {
    for (const { modPosition } of expect) {
      if (modPosition) this.#caller.learnEra(modPosition.era);
    }
    const refusal = findCommitRefusal(expect, writes);
    if (refusal) return Result.err({ kind: "unavailable", message: refusal });
    const expanded = await this.#expandRanges(writes);
    if (expanded.isErr) return Result.err(expanded.error);
    if (expect.length + expanded.value.length > MAX_COMMIT_ENTRIES) {
      const message = `More than ${MAX_COMMIT_ENTRIES} entries in one commit`;
      return Result.err({ kind: "unavailable", message });
    }
    if (this.#isOutdated(expect)) return this.#eraChanged();
    const answer = await this.#send({
      method: "POST",
      path: StorePath.commit,
      body: commitBody(expect, expanded.value),
      idleTimeoutMs: this.#options.callMs,
    });
    if (answer.isErr) return Result.err(writeFailure(answer.error));
    const { status, body, era } = answer.value;
    if (status === 200) {
      // The restored store may have compared the conditions with other writes of the same revisions.
      if (this.#isOvertaken(era) || this.#isOutdated(expect)) {
        return this.#eraChanged({ mayHaveEffect: true });
      }
      return tryParse(() => ({
        kind: "committed",
        position: positionOf(body, "revision", era),
      }));
    }
    if (status !== 412) return Result.err(refusalFailure(status));
    if (this.#isOvertaken(era)) return this.#eraChanged();
    return tryParse(() => readConflict(body, era));
  }

  async *watch(
    prefix: string,
    from: StorePosition,
    signal: AbortSignal,
  ): AsyncIterable<Result<WatchStep, StoreFailure>> {
    const { callMs, watchWaitMs, watchSlackMs } = this.#options;
    const longPollMs = watchWaitMs + watchSlackMs;
    this.#caller.learnEra(from.era);
    let after = positionAt(from.era, from.revision - 1n);
    // The first poll returns at once, so a caller that lost its connection soon sees it restored.
    let timing = { waitMs: FIRST_POLL_WAIT_MS, callMs };
    while (!signal.aborted) {
      const answer = await this.#poll({ prefix, after, ...timing, signal });
      timing = { waitMs: watchWaitMs, callMs: longPollMs };
      if (signal.aborted) return;
      if (answer.isErr) {
        yield Result.err(answer.error);
        return;
      }
      const { steps, unreadable, position } = answer.value;
      this.#reportUnreadable(unreadable);
      for (const step of steps) yield Result.ok(step);
      after = laterOf(after, position);
      yield Result.ok({ kind: "progress", position: after });
    }
  }

  async grantLease(ttlMs: number): Promise<Result<StoreLease, StoreFailure>> {
    const answer = await this.#send({
      method: "POST",
      path: StorePath.lease,
      body: { ttl_ms: ttlMs },
      idleTimeoutMs: this.#options.callMs,
    });
    if (answer.isErr) return Result.err(writeFailure(answer.error));
    const { status, body, era } = answer.value;
    if (status !== 200) return Result.err(refusalFailure(status));
    if (this.#isOvertaken(era)) {
      return this.#eraChanged({ mayHaveEffect: true });
    }
    return tryParse(() => ({
      leaseId: integerOf(body, "lease"),
      ttlMs: Number(body["ttl_ms"]),
      era,
    }));
  }

  async renewLease(
    leaseId: bigint,
  ): Promise<Result<StoreLease, StoreFailure>> {
    const answer = await this.#send({
      method: "POST",
      path: `${StorePath.renew}${leaseId}`,
      idleTimeoutMs: this.#options.callMs,
    });
    if (answer.isErr) return Result.err(writeFailure(answer.error));
    const { status, body, era } = answer.value;
    if (status !== 200 && status !== 404) {
      return Result.err(refusalFailure(status));
    }
    if (this.#isOvertaken(era)) return this.#eraChanged();
    if (status === 404) return Result.ok({ leaseId, ttlMs: 0, era });
    return tryParse(() => ({ leaseId, ttlMs: Number(body["ttl_ms"]), era }));
  }

  async revokeLease(leaseId: bigint): Promise<Result<void, StoreFailure>> {
    const answer = await this.#send({
      method: "DELETE",
      path: `${StorePath.revoke}${leaseId}`,
      idleTimeoutMs: this.#options.callMs,
    });
    if (answer.isErr) return Result.err(writeFailure(answer.error));
    const { status } = answer.value;
    return status < 300 || status === 404
      ? Result.ok(undefined)
      : Result.err(refusalFailure(status));
  }

  close(): void {
    // Not awaited: calls in flight fail, and nothing depends on the connections being closed.
    void this.#caller.close();
  }

  async #poll(
    { prefix, after, waitMs, callMs, signal }: Poll,
  ): Promise<Result<WatchAnswer, StoreFailure>> {
    if (this.#isOvertaken(after.era)) return this.#eraChanged();
    const query = new URLSearchParams({
      prefix,
      after: String(after.revision),
      wait_ms: String(waitMs),
    });
    const answer = await this.#send({
      method: "GET",
      path: `${StorePath.watch}?${query}`,
      idleTimeoutMs: callMs,
      signal,
    });
    if (answer.isErr) return Result.err(readFailure(answer.error));
    const { status, body, era } = answer.value;
    if (this.#isOvertaken(after.era)) return this.#eraChanged();
    if (status !== 200 && status !== 410) {
      return Result.err(refusalFailure(status));
    }
    if (this.#isOvertaken(era)) return Result.err(overtakenFailure(era));
    if (status === 410) {
      return Result.err({
        kind: "compacted",
        oldestRevision: after.revision + 1n,
      });
    }
    return tryParse(() => readWatch(body, era));
  }

  async #read(path: string): Promise<Result<StoreAnswer, StoreFailure>> {
    const { callMs } = this.#options;
    const answer = await this.#send({
      method: "GET",
      path,
      idleTimeoutMs: callMs,
    });
    if (answer.isErr) return Result.err(readFailure(answer.error));
    const { status, era } = answer.value;
    if (status !== 200 && status !== 404) {
      return Result.err(refusalFailure(status));
    }
    if (this.#isOvertaken(era)) return Result.err(overtakenFailure(era));
    return Result.ok(answer.value);
  }

  #reportUnreadable(unreadable: UnreadableItem[]): void {
    for (const item of unreadable) this.#options.onUnreadable?.(item);
  }

  #send(call: Call): Promise<Result<StoreAnswer, CallFailure>> {
    return this.#caller.send(call);
  }

  /** Whether the store has answered in a newer era than this one. */
  #isOvertaken(era: number): boolean {
    return era < this.#caller.newestEra;
  }

  /** Whether a condition names a write of an earlier era; its revision may be another write's now. */
  #isOutdated(expect: Expectation[]): boolean {
    return expect.some(({ modPosition }) =>
      modPosition !== undefined && this.#isOvertaken(modPosition.era)
    );
  }

  #eraChanged<T>(
    { mayHaveEffect } = { mayHaveEffect: false },
  ): Result<T, StoreFailure> {
    const era = this.#caller.newestEra;
    return Result.err({ kind: "era_changed", era, mayHaveEffect });
  }

  /** Replaces range deletions by single ones, since the platform can only delete single keys. */
  async #expandRanges(
    writes: Write[],
  ): Promise<Result<Exclude<Write, { kind: "delete_range" }>[], StoreFailure>> {
    const expanded: Exclude<Write, { kind: "delete_range" }>[] = [];
    for (const write of writes) {
      if (write.kind !== "delete_range") {
        expanded.push(write);
        continue;
      }
      const listing = await this.#lister.begin("");
      if (listing.isErr) return Result.err(listing.error);
      for (const { key } of listing.value.entries) {
        if (key < write.from || key >= write.to) continue;
        expanded.push({ kind: "delete", key });
      }
    }
    return Result.ok(expanded);
  }
}
