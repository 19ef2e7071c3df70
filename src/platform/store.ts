/** {@link KeyValueStore} client of the platform's store: HTTP with JSON bodies and long polling. */
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
  type CallAnswer,
  type CallFailure,
  HttpCaller,
} from "./http_call.ts";
import { StorePath } from "./names.ts";
import {
  commitBody,
  integerOf,
  positionOf,
  readConflict,
  readEntry,
  readPage,
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
  readonly #caller: HttpCaller;
  readonly #options: PlatformStoreOptions;
  #calls = 0;

  private constructor(options: PlatformStoreOptions) {
    this.#options = options;
    this.#caller = HttpCaller.create(options.address, options.connectMs);
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
    return this.#calls;
  }

  async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, StoreFailure>> {
    const path = `${StorePath.key}?key=${encodeURIComponent(key)}`;
    const answer = await this.#read(path);
    if (answer.isErr) return Result.err(answer.error);
    if (answer.value.status === 404) return Result.ok(undefined);
    return tryParse(() => readEntry(answer.value.body, 0));
  }

  async list(prefix: string): Promise<Result<Listing, StoreFailure>> {
    const entries: KeyValueEntry[] = [];
    let after = "";
    // The pages are no snapshot: a watch from the first page's position delivers later changes.
    let position: StorePosition | undefined;
    while (true) {
      const answer = await this.#read(rangePath(prefix, after));
      if (answer.isErr) return Result.err(answer.error);
      const page = tryParse(() => readPage(answer.value.body, 0));
      if (page.isErr) return Result.err(page.error);
      this.#reportUnreadable(page.value.unreadable);
      position ??= page.value.position;
      entries.push(...page.value.entries);
      if (page.value.nextAfter === undefined) break;
      after = page.value.nextAfter;
    }
    return Result.ok({ entries, position });
  }

  async commit(
    expect: Expectation[],
    writes: Write[],
  ): Promise<Result<CommitOutcome, StoreFailure>> {
    const refusal = findCommitRefusal(expect, writes);
    if (refusal) return Result.err({ kind: "unavailable", message: refusal });
    const expanded = await this.#expandRanges(writes);
    if (expanded.isErr) return Result.err(expanded.error);
    if (expect.length + expanded.value.length > MAX_COMMIT_ENTRIES) {
      const message = `More than ${MAX_COMMIT_ENTRIES} entries in one commit`;
      return Result.err({ kind: "unavailable", message });
    }
    const answer = await this.#send({
      method: "POST",
      path: StorePath.commit,
      body: commitBody(expect, expanded.value),
      idleTimeoutMs: this.#options.callMs,
    });
    if (answer.isErr) return Result.err(writeFailure(answer.error));
    const { status, body } = answer.value;
    if (status === 200) {
      return tryParse(() => ({
        kind: "committed",
        position: positionOf(body, "revision", 0),
      }));
    }
    if (status === 412) return tryParse(() => readConflict(body, 0));
    return Result.err(refusalFailure(status));
  }

  async *watch(
    prefix: string,
    from: StorePosition,
    signal: AbortSignal,
  ): AsyncIterable<Result<WatchStep, StoreFailure>> {
    const { callMs, watchWaitMs, watchSlackMs } = this.#options;
    const longPollMs = watchWaitMs + watchSlackMs;
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
    const { status, body } = answer.value;
    if (status !== 200) return Result.err(refusalFailure(status));
    return tryParse(() => ({
      leaseId: integerOf(body, "lease"),
      ttlMs: Number(body["ttl_ms"]),
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
    const { status, body } = answer.value;
    if (status === 404) return Result.ok({ leaseId, ttlMs: 0 });
    if (status !== 200) return Result.err(refusalFailure(status));
    return tryParse(() => ({ leaseId, ttlMs: Number(body["ttl_ms"]) }));
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
    const { status, body } = answer.value;
    if (status === 410) {
      return Result.err({
        kind: "compacted",
        oldestRevision: after.revision + 1n,
      });
    }
    if (status !== 200) return Result.err(refusalFailure(status));
    return tryParse(() => readWatch(body, 0));
  }

  async #read(path: string): Promise<Result<CallAnswer, StoreFailure>> {
    const { callMs } = this.#options;
    const answer = await this.#send({
      method: "GET",
      path,
      idleTimeoutMs: callMs,
    });
    if (answer.isErr) return Result.err(readFailure(answer.error));
    const { status } = answer.value;
    return status === 200 || status === 404
      ? Result.ok(answer.value)
      : Result.err(refusalFailure(status));
  }

  #reportUnreadable(unreadable: UnreadableItem[]): void {
    for (const item of unreadable) this.#options.onUnreadable?.(item);
  }

  #send(call: Call): Promise<Result<CallAnswer, CallFailure>> {
    this.#calls++;
    return this.#caller.send(call);
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
      const listing = await this.list("");
      if (listing.isErr) return Result.err(listing.error);
      for (const { key } of listing.value.entries) {
        if (key < write.from || key >= write.to) continue;
        expanded.push({ kind: "delete", key });
      }
    }
    return Result.ok(expanded);
  }
}

function rangePath(prefix: string, after: string): string {
  const query = new URLSearchParams({ prefix });
  if (after !== "") query.set("after", after);
  return `${StorePath.range}?${query}`;
}

/** Parses an answer. A malformed one counts as missing, so a write's effect is unknown. */
function tryParse<T>(parse: () => T): Result<T, StoreFailure> {
  try {
    return Result.ok(parse());
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err({ kind: "effect_unknown", message });
  }
}

/** The store guarantees that a refused call had no effect. */
function refusalFailure(status: number): StoreFailure {
  return { kind: "unavailable", message: `Refused with status ${status}` };
}

function readFailure(failure: CallFailure): StoreFailure {
  return { kind: "unavailable", message: failure.message };
}

function writeFailure(failure: CallFailure): StoreFailure {
  const kind = failure.kind === "unreachable"
    ? "unavailable"
    : "effect_unknown";
  return { kind, message: failure.message };
}
