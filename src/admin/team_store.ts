/**
 * Reads and writes the branch and the history of a team in the key-value service. Each write is one
 * commit of three keys: the branch, a new history entry and the head of the history. The commit is
 * conditional on the branch and the head being unchanged since they were read. The head survives
 * the deletion of the team, so a delayed commit can't take effect after the team was created again.
 */
import { Result } from "true-myth";
import { type Clock, systemClock } from "../base/mod.ts";
import {
  decodeStored,
  encodeStored,
  headKey,
  historyKey,
  historyPrefix,
  isHeadKey,
  MAX_STORED_BYTES,
  type StoredBranch,
  teamKey,
  type WriteMetadata,
} from "../config/mod.ts";
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  KeyValueStore,
  StoreFailure,
  Write,
} from "../store/store.ts";
import type { AdminFailure, CurrentVersion } from "./failures.ts";

/** State of a team in the store. */
export interface TeamSnapshot {
  team: string;
  /** Store revision of the branch; 0: the team does not exist. */
  revision: bigint;
  /** Store revision of the history's head, which every write changes; 0: never written. */
  headRevision: bigint;
  /** Conditions of a commit that replaces this state. */
  conditions: Expectation[];
  /** Sequence number of the last write to the team; 0: never written. */
  number: number;
  /** Metadata of the last write, deletions included. */
  lastWrite: WriteMetadata | undefined;
  /** Decoded branch value; undefined if there is none or it can't be decoded. */
  stored: StoredBranch | undefined;
}

/** A version in a team's history. */
export interface HistoryVersion {
  revision: bigint;
  stored: StoredBranch;
}

/** A write to a team. */
export interface TeamChange {
  /** Snapshot that the write is conditional on. */
  before: TeamSnapshot;
  /** The new branch; undefined deletes the team. */
  branch: unknown;
  writer: string;
  writeId: string;
  /** True if an earlier request may have sent a write with the same id. */
  mayBeRetry: boolean;
}

/** A write that was committed. */
export interface AcceptedWrite {
  team: string;
  revision: bigint;
  metadata: WriteMetadata;
  /** The stored value; empty for a deletion. */
  json: Uint8Array;
}

/** Settings of {@link TeamStore}. */
export interface TeamStoreOptions {
  store: KeyValueStore;
  clock?: Clock;
  /** Timeout of a read, in ms. */
  readTimeoutMs?: number;
  /** How long to retry a commit whose outcome is unknown, in ms. */
  resolveTimeoutMs?: number;
}

/** Maximum number of versions in a team's history; {@link MAX_HISTORY_BYTES} may allow fewer. */
export const MAX_HISTORY_VERSIONS = 20;
/** Maximum size of a team's history, estimated as if each version had the size of the latest. */
export const MAX_HISTORY_BYTES = 4_000_000;

const DEFAULT_READ_TIMEOUT_MS = 1000;
const DEFAULT_RESOLVE_TIMEOUT_MS = 5000;
/** Maximum number of retries of a commit whose outcome is unknown. */
const MAX_RESOLVE_ATTEMPTS = 50;
const EMPTY_JSON = new Uint8Array();

/** Reads and writes teams in the key-value service. */
export class TeamStore {
  readonly #store: KeyValueStore;
  readonly #clock: Clock;
  readonly #readTimeoutMs: number;
  readonly #resolveTimeoutMs: number;

  private constructor(options: TeamStoreOptions) {
    this.#store = options.store;
    this.#clock = options.clock ?? systemClock;
    this.#readTimeoutMs = options.readTimeoutMs ?? DEFAULT_READ_TIMEOUT_MS;
    this.#resolveTimeoutMs = options.resolveTimeoutMs ??
      DEFAULT_RESOLVE_TIMEOUT_MS;
  }

  /**
   * @param options The store and its timeouts.
   * @returns A team store that uses it.
   */
  static create(options: TeamStoreOptions): TeamStore {
    return new TeamStore(options);
  }

  /** @returns The team's current state in the store. */
  async read(team: string): Promise<Result<TeamSnapshot, AdminFailure>> {
    const [branch, head] = await Promise.all([
      this.#withTimeout(this.#store.get(teamKey(team))),
      this.#withTimeout(this.#store.get(headKey(team))),
    ]);
    if (branch.isErr || head.isErr) return storeUnavailable();
    return Result.ok(createSnapshot(team, branch.value, head.value));
  }

  /** @returns The versions in the team's history, latest first. */
  async history(team: string): Promise<Result<HistoryVersion[], AdminFailure>> {
    const listing = await this.#withTimeout(
      this.#store.list(historyPrefix(team)),
    );
    if (listing.isErr) return storeUnavailable();
    const versions: HistoryVersion[] = [];
    for (const { key, value, modPosition } of listing.value.entries) {
      const stored = isHeadKey(key) ? undefined : decodeOrUndefined(value);
      if (stored) versions.push({ revision: modPosition.revision, stored });
    }
    return Result.ok(versions.reverse());
  }

  /**
   * Commits a change. If the outcome is unknown, sends the same commit again until the outcome is
   * known or a timeout expires. The commit's conditions let it take effect at most once.
   *
   * @param change The new branch and the snapshot that it replaces.
   * @returns The write if it is known to have been committed, otherwise a failure.
   */
  async write(
    change: TeamChange,
  ): Promise<Result<AcceptedWrite, AdminFailure>> {
    const prepared = prepareCommit(change, this.#clock.wallMs());
    if (prepared.isErr) return Result.err(prepared.error);
    const commit = prepared.value;
    const { before: { conditions }, writes } = commit;
    const sent = await this.#store.commit(conditions, writes);
    if (sent.isErr) {
      if (sent.error.kind !== "effect_unknown") return storeUnavailable();
      return await this.#resolve(commit);
    }
    if (sent.value.kind === "committed") {
      return Result.ok(toAcceptedWrite(commit, sent.value.position.revision));
    }
    if (change.mayBeRetry) return await this.#resolve(commit);
    const state = createConflictSnapshot(commit, sent.value.current);
    return Result.err({ kind: "conflict", current: toCurrentVersion(state) });
  }

  async #resolve(commit: Commit): Promise<Result<AcceptedWrite, AdminFailure>> {
    const { before: { conditions }, writes } = commit;
    const untilMs = this.#clock.nowMs() + this.#resolveTimeoutMs;
    while (this.#clock.nowMs() < untilMs) {
      const retry = await this.#store.commit(conditions, writes);
      const result = retry.isOk && await this.#classify(commit, retry.value);
      if (result) return result;
      await this.#clock.sleep(this.#resolveTimeoutMs / MAX_RESOLVE_ATTEMPTS);
    }
    return unresolved(commit);
  }

  /**
   * Decides whether the commit took effect. After a conflict, the current value was written either
   * by an earlier attempt of this commit or by another writer.
   */
  async #classify(
    commit: Commit,
    outcome: CommitOutcome,
  ): Promise<Result<AcceptedWrite, AdminFailure> | undefined> {
    if (outcome.kind === "committed") {
      return Result.ok(toAcceptedWrite(commit, outcome.position.revision));
    }
    const current = createConflictSnapshot(commit, outcome.current);
    if (current.lastWrite?.writeId === commit.metadata.writeId) {
      return Result.ok(
        toAcceptedWrite(commit, current.headRevision),
      );
    }
    const conflict: Result<AcceptedWrite, AdminFailure> = Result.err({
      kind: "conflict",
      current: toCurrentVersion(current),
    });
    if (current.number <= commit.metadata.number) return conflict;
    const entry = await this.#findInHistory(commit);
    return entry &&
      (entry.kind === "own" ? Result.ok(entry.accepted) : conflict);
  }

  /** Finds who made the write with the commit's number; undefined if the entry can't be read. */
  async #findInHistory(commit: Commit): Promise<
    { kind: "own"; accepted: AcceptedWrite } | { kind: "other" } | undefined
  > {
    const key = historyKey(commit.before.team, commit.metadata.number);
    const found = await this.#withTimeout(this.#store.get(key));
    if (found.isErr || !found.value) return undefined;
    const { value, modPosition: { revision } } = found.value;
    if (decodeOrUndefined(value)?.writeId !== commit.metadata.writeId) {
      return { kind: "other" };
    }
    return { kind: "own", accepted: toAcceptedWrite(commit, revision) };
  }

  async #withTimeout<T>(
    call: Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> {
    const stop = new AbortController();
    const late = this.#clock.sleep(this.#readTimeoutMs, stop.signal).then(() =>
      Result.err<T, StoreFailure>({ kind: "unavailable", message: "Timed out" })
    );
    const result = await Promise.race([call, late]);
    stop.abort();
    return result;
  }
}

/**
 * @param snapshot State of a team.
 * @returns The current version, as reported to the caller of a write that conflicts with it.
 */
export function toCurrentVersion(snapshot: TeamSnapshot): CurrentVersion {
  const isDeleted = snapshot.revision === 0n;
  const revision = isDeleted ? snapshot.headRevision : snapshot.revision;
  return {
    version: Number(revision),
    writer: snapshot.lastWrite?.writer ?? "",
    writtenAtMs: snapshot.lastWrite?.writtenAtMs ?? 0,
    deleted: isDeleted && revision > 0n,
  };
}

/** A commit that can be sent repeatedly and takes effect at most once. */
interface Commit {
  before: TeamSnapshot;
  metadata: WriteMetadata;
  json: Uint8Array;
  writes: Write[];
}

function prepareCommit(
  change: TeamChange,
  writtenAtMs: number,
): Result<Commit, AdminFailure> {
  const { before, branch, writer, writeId } = change;
  const { team } = before;
  const metadata = { writeId, writer, writtenAtMs, number: before.number + 1 };
  const version = encodeStored({ ...metadata, branch });
  const sizeBytes = version.length;
  if (sizeBytes > MAX_STORED_BYTES) {
    const maxBytes = MAX_STORED_BYTES;
    return Result.err({ kind: "too_large", sizeBytes, maxBytes });
  }
  const key = teamKey(team);
  const head = encodeStored(metadata);
  const writes: Write[] = [
    branch === undefined
      ? { kind: "delete", key }
      : { kind: "put", key, value: version },
    {
      kind: "put",
      key: historyKey(team, metadata.number),
      value: version,
    },
    { kind: "put", key: headKey(team), value: head },
    ...pruneWrites(team, metadata.number, sizeBytes),
  ];
  const json = branch === undefined ? EMPTY_JSON : version;
  return Result.ok({ before, metadata, json, writes });
}

/** Returns the writes that delete versions beyond the limits of the history. */
function pruneWrites(team: string, number: number, sizeBytes: number): Write[] {
  const maxFitting = Math.floor(MAX_HISTORY_BYTES / sizeBytes);
  const retained = Math.min(MAX_HISTORY_VERSIONS, maxFitting);
  const oldest = number - retained + 1;
  if (oldest <= 1) return [];
  const from = historyKey(team, 0);
  return [{ kind: "delete_range", from, to: historyKey(team, oldest) }];
}

function createSnapshot(
  team: string,
  branch: KeyValueEntry | undefined,
  head: KeyValueEntry | undefined,
): TeamSnapshot {
  const stored = branch && decodeOrUndefined(branch.value);
  const headMetadata = head && decodeOrUndefined(head.value);
  const lastWrite = headMetadata ?? stored;
  return {
    team,
    revision: branch?.modPosition.revision ?? 0n,
    headRevision: head?.modPosition.revision ?? 0n,
    conditions: [
      { key: teamKey(team), modPosition: branch?.modPosition },
      { key: headKey(team), modPosition: head?.modPosition },
    ],
    number: Math.max(headMetadata?.number ?? 0, stored?.number ?? 0),
    lastWrite,
    stored,
  };
}

function createConflictSnapshot(
  { before: { team } }: Commit,
  current: KeyValueEntry[],
): TeamSnapshot {
  const find = (key: string) => current.find((entry) => entry.key === key);
  return createSnapshot(team, find(teamKey(team)), find(headKey(team)));
}

function decodeOrUndefined(value: Uint8Array): StoredBranch | undefined {
  return decodeStored(value).unwrapOr(undefined as StoredBranch | undefined);
}

function toAcceptedWrite(commit: Commit, revision: bigint): AcceptedWrite {
  const { before, metadata, json } = commit;
  return { team: before.team, revision, metadata, json };
}

function storeUnavailable<T>(): Result<T, AdminFailure> {
  return Result.err({ kind: "store_unavailable" });
}

function unresolved<T>({ before, metadata }: Commit): Result<T, AdminFailure> {
  const { team } = before;
  return Result.err({
    kind: "outcome_unknown",
    team,
    writeId: metadata.writeId,
  });
}
