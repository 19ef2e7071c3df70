/**
 * Reads and writes of one team in the key-value service. A write is one commit: the branch, its
 * place in the history and the history's head, on condition that neither branch nor head have
 * changed since they were read. The head outlives the team, so a commit that was delayed can't
 * take effect after the team was deleted and created again.
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
  KeyValueEntry,
  KeyValueStore,
  StoreFailure,
  Write,
} from "../store/store.ts";
import type { AdminFailure, CurrentVersion } from "./failures.ts";

/** A team as the store has it. */
export interface TeamSnapshot {
  team: string;
  /** Revision of the branch; 0: there is none. */
  revision: bigint;
  headRevision: bigint;
  /** Number of the last write; 0: none. */
  number: number;
  /** Who wrote last, deletes included. */
  lastWrite: WriteMetadata | undefined;
  /** The envelope; undefined also where it can't be read. */
  stored: StoredBranch | undefined;
}

/** A kept version of a team. */
export interface KeptVersion {
  revision: bigint;
  stored: StoredBranch;
}

/** What to write. */
export interface TeamChange {
  before: TeamSnapshot;
  /** Undefined: delete the team. */
  branch: unknown;
  writer: string;
  writeId: string;
  /** True: another request may have sent the same write. */
  mayBeRepeat: boolean;
}

/** A write that is known to have taken effect. */
export interface AcceptedWrite {
  team: string;
  revision: bigint;
  mark: WriteMetadata;
  /** The stored value; empty for a delete. */
  json: Uint8Array;
}

/** Settings of {@link TeamStore}. */
export interface TeamStoreOptions {
  store: KeyValueStore;
  clock?: Clock;
  /** A read without an answer for this long has failed, in ms. */
  readTimeoutMs?: number;
  /** How long a lost answer is looked for, in ms. */
  settleMs?: number;
}

/** Versions kept of a team, as far as they fit {@link MAX_HISTORY_BYTES}. */
export const MAX_KEPT_VERSIONS = 20;
/** Bound of a team's history, counted by its latest size. */
export const MAX_HISTORY_BYTES = 4_000_000;

const DEFAULT_READ_TIMEOUT_MS = 1000;
const DEFAULT_SETTLE_MS = 5000;
/** Times a lost answer is looked for, at most. */
const SETTLE_TRIES = 50;
const NOTHING = new Uint8Array();

/** Reads and writes teams. */
export class TeamStore {
  readonly #store: KeyValueStore;
  readonly #clock: Clock;
  readonly #readTimeoutMs: number;
  readonly #settleMs: number;

  private constructor(options: TeamStoreOptions) {
    this.#store = options.store;
    this.#clock = options.clock ?? systemClock;
    this.#readTimeoutMs = options.readTimeoutMs ?? DEFAULT_READ_TIMEOUT_MS;
    this.#settleMs = options.settleMs ?? DEFAULT_SETTLE_MS;
  }

  /**
   * @param options The store and its deadlines.
   * @returns Access to teams in it.
   */
  static create(options: TeamStoreOptions): TeamStore {
    return new TeamStore(options);
  }

  /** @returns The team as the store has it now. */
  async read(team: string): Promise<Result<TeamSnapshot, AdminFailure>> {
    const [branch, head] = await Promise.all([
      this.#inTime(this.#store.get(teamKey(team))),
      this.#inTime(this.#store.get(headKey(team))),
    ]);
    if (branch.isErr || head.isErr) return unavailable();
    return Result.ok(snapshotOf(team, branch.value, head.value));
  }

  /** @returns The kept versions, latest first. */
  async history(team: string): Promise<Result<KeptVersion[], AdminFailure>> {
    const listing = await this.#inTime(this.#store.list(historyPrefix(team)));
    if (listing.isErr) return unavailable();
    const versions: KeptVersion[] = [];
    for (const { key, value, modRevision } of listing.value.entries) {
      const stored = isHeadKey(key) ? undefined : readStored(value);
      if (stored) versions.push({ revision: modRevision, stored });
    }
    return Result.ok(versions.reverse());
  }

  /**
   * Writes a change. When the answer is lost, the same commit is sent again until its fate is
   * known: the condition lets it take effect at most once.
   *
   * @param change What to write, and what it replaces.
   * @returns The write, if and only if it is known to have taken effect.
   */
  async write(
    change: TeamChange,
  ): Promise<Result<AcceptedWrite, AdminFailure>> {
    const prepared = prepare(change, this.#clock.wallMs());
    if (prepared.isErr) return Result.err(prepared.error);
    const commit = prepared.value;
    const first = await this.#commit(commit);
    if (first.isErr) {
      if (first.error.kind !== "effect_unknown") return unavailable();
      return await this.#settle(commit);
    }
    if (first.value.kind === "committed") {
      return Result.ok(acceptedAt(commit, first.value.revision));
    }
    if (change.mayBeRepeat) return await this.#settle(commit);
    const now = currentSnapshot(commit, first.value.current);
    return Result.err({ kind: "conflict", current: currentOf(now) });
  }

  async #settle(commit: Commit): Promise<Result<AcceptedWrite, AdminFailure>> {
    const untilMs = this.#clock.nowMs() + this.#settleMs;
    while (this.#clock.nowMs() < untilMs) {
      const again = await this.#commit(commit);
      const fate = again.isOk && await this.#fateOf(commit, again.value);
      if (fate) return fate;
      await this.#clock.sleep(this.#settleMs / SETTLE_TRIES);
    }
    return unknown(commit);
  }

  #commit(commit: Commit): Promise<Result<CommitOutcome, StoreFailure>> {
    const { before } = commit;
    return this.#store.commit([
      { key: teamKey(before.team), modRevision: before.revision },
      { key: headKey(before.team), modRevision: before.headRevision },
    ], commit.writes);
  }

  /** Tells apart who won: another writer, or an earlier copy of this commit. */
  async #fateOf(
    commit: Commit,
    outcome: CommitOutcome,
  ): Promise<Result<AcceptedWrite, AdminFailure> | undefined> {
    if (outcome.kind === "committed") {
      return Result.ok(acceptedAt(commit, outcome.revision));
    }
    const now = currentSnapshot(commit, outcome.current);
    if (now.lastWrite?.writeId === commit.mark.writeId) {
      return Result.ok(acceptedAt(commit, now.headRevision));
    }
    const lost: Result<AcceptedWrite, AdminFailure> = Result.err({
      kind: "conflict",
      current: currentOf(now),
    });
    if (now.number <= commit.mark.number) return lost;
    const below = await this.#findInHistory(commit);
    return below && (below.kind === "own" ? Result.ok(below.accepted) : lost);
  }

  /** More writes are on top; whose had this number? Undefined: can't be told now. */
  async #findInHistory(commit: Commit): Promise<
    { kind: "own"; accepted: AcceptedWrite } | { kind: "other" } | undefined
  > {
    const key = historyKey(commit.before.team, commit.mark.number);
    const found = await this.#inTime(this.#store.get(key));
    if (found.isErr || !found.value) return undefined;
    const { value, modRevision } = found.value;
    if (readStored(value)?.writeId !== commit.mark.writeId) {
      return { kind: "other" };
    }
    return { kind: "own", accepted: acceptedAt(commit, modRevision) };
  }

  async #inTime<T>(
    call: Promise<Result<T, StoreFailure>>,
  ): Promise<Result<T, StoreFailure>> {
    const stop = new AbortController();
    const late = this.#clock.sleep(this.#readTimeoutMs, stop.signal).then(() =>
      Result.err<T, StoreFailure>({ kind: "unavailable", message: "Too late" })
    );
    const answer = await Promise.race([call, late]);
    stop.abort();
    return answer;
  }
}

/**
 * @param snapshot A team.
 * @returns What a caller whose write lost is told.
 */
export function currentOf(snapshot: TeamSnapshot): CurrentVersion {
  const deleted = snapshot.revision === 0n;
  const revision = deleted ? snapshot.headRevision : snapshot.revision;
  return {
    version: Number(revision),
    writer: snapshot.lastWrite?.writer ?? "",
    writtenAtMs: snapshot.lastWrite?.writtenAtMs ?? 0,
    deleted: deleted && revision > 0n,
  };
}

/** A commit that can be sent more than once. */
interface Commit {
  before: TeamSnapshot;
  mark: WriteMetadata;
  json: Uint8Array;
  writes: Write[];
}

function prepare(
  change: TeamChange,
  writtenAtMs: number,
): Result<Commit, AdminFailure> {
  const { before, branch, writer, writeId } = change;
  const { team } = before;
  const mark = { writeId, writer, writtenAtMs, number: before.number + 1 };
  const version = encodeStored({ ...mark, branch });
  const sizeBytes = version.length;
  if (sizeBytes > MAX_STORED_BYTES) {
    const maxBytes = MAX_STORED_BYTES;
    return Result.err({ kind: "too_large", sizeBytes, maxBytes });
  }
  const key = teamKey(team);
  const head = encodeStored(mark);
  const writes: Write[] = [
    branch === undefined
      ? { kind: "delete", key }
      : { kind: "put", key, value: version },
    {
      kind: "put",
      key: historyKey(team, mark.number),
      value: version,
    },
    { kind: "put", key: headKey(team), value: head },
    ...pruning(team, mark.number, sizeBytes),
  ];
  const json = branch === undefined ? NOTHING : version;
  return Result.ok({ before, mark, json, writes });
}

/** Deletes versions beyond those that are kept. */
function pruning(team: string, number: number, sizeBytes: number): Write[] {
  const fitting = Math.floor(MAX_HISTORY_BYTES / sizeBytes);
  const kept = Math.min(MAX_KEPT_VERSIONS, fitting);
  const oldest = number - kept + 1;
  if (oldest <= 1) return [];
  const from = historyKey(team, 0);
  return [{ kind: "delete_range", from, to: historyKey(team, oldest) }];
}

function snapshotOf(
  team: string,
  branch: KeyValueEntry | undefined,
  head: KeyValueEntry | undefined,
): TeamSnapshot {
  const stored = branch && readStored(branch.value);
  const headMark = head && readStored(head.value);
  const lastWrite = headMark ?? stored;
  return {
    team,
    revision: branch?.modRevision ?? 0n,
    headRevision: head?.modRevision ?? 0n,
    number: Math.max(headMark?.number ?? 0, stored?.number ?? 0),
    lastWrite,
    stored,
  };
}

function currentSnapshot(
  { before: { team } }: Commit,
  current: KeyValueEntry[],
): TeamSnapshot {
  const find = (key: string) => current.find((entry) => entry.key === key);
  return snapshotOf(team, find(teamKey(team)), find(headKey(team)));
}

function readStored(value: Uint8Array): StoredBranch | undefined {
  return decodeStored(value).unwrapOr(undefined as StoredBranch | undefined);
}

function acceptedAt(commit: Commit, revision: bigint): AcceptedWrite {
  const { before, mark, json } = commit;
  return { team: before.team, revision, mark, json };
}

function unavailable<T>(): Result<T, AdminFailure> {
  return Result.err({ kind: "store_unavailable" });
}

function unknown<T>({ before, mark }: Commit): Result<T, AdminFailure> {
  const { team } = before;
  return Result.err({ kind: "outcome_unknown", team, writeId: mark.writeId });
}
