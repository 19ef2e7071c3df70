/**
 * Interface of the platform's key-value service. Implementations: `etcd_store.ts` over etcd's API,
 * `platform/store.ts` over the platform's HTTP API, and `memory_store.ts` in memory, for tests.
 */
import type { Result } from "true-myth/result";
import type { StorePosition } from "./position.ts";

/** A key, its value, and the positions that compare-and-swap conditions refer to. */
export interface KeyValueEntry {
  key: string;
  value: Uint8Array;
  /** Position of the last write to this key. */
  modPosition: StorePosition;
  /** Position at which the key was created. */
  createPosition: StorePosition;
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** The call had no effect and never will. */
  | { kind: "unavailable"; message: string }
  /** A write may have taken effect, or may still do so. */
  | { kind: "effect_unknown"; message: string }
  /**
   * The store was restored from an older copy since the positions of the call were read. A commit
   * may have taken effect although its conditions no longer name the same writes.
   */
  | { kind: "era_changed"; era: number; mayHaveEffect: boolean }
  /** A watch requested revisions that the store has compacted. */
  | { kind: "compacted"; oldestRevision: bigint };

/** Condition of a commit: the key's current `modPosition`; undefined: the key must not exist. */
export interface Expectation {
  key: string;
  modPosition: StorePosition | undefined;
}

/** One write of a commit. */
export type Write =
  | { kind: "put"; key: string; value: Uint8Array; leaseId?: bigint }
  | { kind: "delete"; key: string }
  /** Deletes the keys from `from` (inclusive) to `to` (exclusive). */
  | { kind: "delete_range"; from: string; to: string };

/** The store's answer to a commit. */
export type CommitOutcome =
  | { kind: "committed"; position: StorePosition }
  /** A condition failed; `current` holds the entries of the expected keys that exist. */
  | { kind: "conflict"; current: KeyValueEntry[]; position: StorePosition };

/** The entries of a list call. */
export interface Listing {
  entries: KeyValueEntry[];
  /** Position of the list; a watch from the next position misses no change. */
  position: StorePosition;
}

/** One item of a watch: an event or a progress notification. */
export type WatchStep =
  | { kind: "put"; entry: KeyValueEntry }
  | { kind: "delete"; key: string; position: StorePosition }
  /** The store guarantees that all events up to `position` have been delivered. */
  | { kind: "progress"; position: StorePosition };

/** A lease, which expires after `ttlMs` unless it is renewed. */
export interface StoreLease {
  leaseId: bigint;
  /** Era of the answer; a restored store may give out the ids of lost leases again. */
  era: number;
  ttlMs: number;
}

/** Client of the key-value service; every call counts towards the service's rate limits. */
export interface KeyValueStore {
  /** Reads one key. */
  get(key: string): Promise<Result<KeyValueEntry | undefined, StoreFailure>>;
  /** Reads all keys that start with `prefix`. */
  list(prefix: string): Promise<Result<Listing, StoreFailure>>;
  /** Applies all of `writes` if all conditions of `expect` hold, else none. */
  commit(
    expect: Expectation[],
    writes: Write[],
  ): Promise<Result<CommitOutcome, StoreFailure>>;
  /**
   * Watches a prefix from a position (inclusive). Ends with a failure when the connection is lost
   * or idle for too long; the caller then starts a new watch after the last received position.
   */
  watch(
    prefix: string,
    from: StorePosition,
    signal: AbortSignal,
  ): AsyncIterable<Result<WatchStep, StoreFailure>>;
  grantLease(ttlMs: number): Promise<Result<StoreLease, StoreFailure>>;
  /** Renews a lease once; a `ttlMs` of 0 in the result means that the lease no longer exists. */
  renewLease(leaseId: bigint): Promise<Result<StoreLease, StoreFailure>>;
  revokeLease(leaseId: bigint): Promise<Result<void, StoreFailure>>;
  close(): void;
}
