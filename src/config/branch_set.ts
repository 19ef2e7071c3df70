/**
 * The newest known version of each team's branch. Older versions never replace newer ones.
 *
 * The set also tracks the store revision up to which it is complete. This distinguishes a deleted
 * team, which listings omit, from a team that is not known yet: if a team is not in the set, all
 * its versions up to that revision have been deleted.
 */
import { Result } from "true-myth";
import type { Listing } from "../store/store.ts";
import type { Branch, BranchVersion } from "../wire/gen/cicadahitch.ts";
import { type InvalidBranch, parseBranch, type TeamBranch } from "./branch.ts";
import { decodeStored, teamOfKey } from "./stored_branch.ts";
import { hashVersion } from "./version_hash.ts";

/** The newest known version of a team's branch, or the tombstone of a deleted team. */
export interface BranchRecord {
  team: string;
  /** Store revision of the write that created this version. */
  revision: bigint;
  /** Undefined if the team was deleted at this revision, or was never readable. */
  branch: TeamBranch | undefined;
  /** The stored JSON, unmodified; empty for a deleted team. */
  json: Uint8Array;
  /**
   * Why `json` can't be read, for example because a newer software version wrote it. `json` is
   * still sent to peers unmodified, and `branch` remains the last readable version.
   */
  readError?: ApplyFailure;
  /** Sequence number of this change within the set. */
  changeNumber: number;
}

/** Why a version of a branch was not applied. */
export type ApplyFailure =
  | { kind: "older"; revision: bigint }
  | { kind: "unreadable"; message: string }
  | InvalidBranch;

/** Called after a new version or a deletion has been stored in the set. */
export type BranchListener = (change: BranchRecord) => void;

/**
 * Maximum number of tombstones. Older deletions are covered by the revision up to which the set is
 * complete.
 */
const MAX_TOMBSTONES = 1024;
const EMPTY_JSON = new Uint8Array();

/** Stores the newest known version of each team's branch. */
export class BranchSet {
  readonly #branches = new Map<string, BranchRecord>();
  readonly #tombstones = new Set<string>();
  readonly #unreadTeams = new Set<string>();
  readonly #listeners = new Set<BranchListener>();
  #completeTo = 0n;
  #hash = 0n;
  #changes = 0;

  private constructor() {}

  /** @returns An empty set. */
  static create(): BranchSet {
    return new BranchSet();
  }

  /** Store revision up to which all writes are known; 0 if the set was never complete. */
  get completeTo(): bigint {
    return this.#completeTo;
  }

  /** Hash over the teams and revisions of all branches, without deleted teams. */
  get hash(): bigint {
    return this.#hash;
  }

  /** Number of branches that are sent to peers but whose newest version can't be read here. */
  get unreadCount(): number {
    return this.#unreadTeams.size;
  }

  /** Number of changes to this set, including tombstones and unreadable versions. */
  get changes(): number {
    return this.#changes;
  }

  /**
   * @param team The team's name.
   * @returns Its record; undefined if the team is unknown or deleted, or was never readable.
   */
  get(team: string): BranchRecord | undefined {
    const found = this.#branches.get(team);
    return found?.branch ? found : undefined;
  }

  /**
   * @param team The team's name.
   * @returns Its record, also if the team is deleted or its branch can't be read.
   */
  getRecord(team: string): BranchRecord | undefined {
    return this.#branches.get(team);
  }

  /** @returns The records of all teams, including tombstones. */
  all(): BranchRecord[] {
    return [...this.#branches.values()];
  }

  /**
   * @param above Only versions above this revision are included.
   * @returns Team and revision of all branches, including deleted teams.
   */
  versions(above = 0n): BranchVersion[] {
    const versions: BranchVersion[] = [];
    for (const { team, revision } of this.#branches.values()) {
      if (revision > above) versions.push({ team, revision });
    }
    return versions;
  }

  /** @returns A branch with empty JSON for every tombstone in the set. */
  tombstones(): Branch[] {
    return [...this.#tombstones].map((team) => ({
      team,
      revision: this.revisionOf(team),
      json: Buffer.alloc(0),
    }));
  }

  /**
   * @param team The team's name.
   * @returns The revision of its newest known version; 0 if the team is unknown.
   */
  revisionOf(team: string): bigint {
    return this.#branches.get(team)?.revision ?? 0n;
  }

  /**
   * @param team The team's name.
   * @returns The revision up to which all versions of the team are known or superseded.
   */
  latestKnownRevision(team: string): bigint {
    const held = this.#branches.get(team);
    if (!held) return this.#completeTo;
    if (exists(held) || held.revision > this.#completeTo) return held.revision;
    return this.#completeTo;
  }

  /**
   * Applies a version of a branch if it is newer than the known one. An unreadable version is
   * stored and sent to peers as well, but the last readable version remains in effect.
   *
   * @param stored A branch as received from the store or a peer.
   * @returns The new record, or why the version did not take effect.
   */
  apply(stored: Branch): Result<BranchRecord, ApplyFailure> {
    const latestKnownRevision = this.latestKnownRevision(stored.team);
    if (stored.revision <= latestKnownRevision) {
      return Result.err({ kind: "older", revision: latestKnownRevision });
    }
    const decoded = decodeBranch(stored);
    const previous = this.#branches.get(stored.team)?.branch;
    const change: BranchRecord = {
      team: stored.team,
      revision: stored.revision,
      branch: decoded.isOk ? decoded.value : previous,
      json: stored.json,
      changeNumber: ++this.#changes,
    };
    if (decoded.isErr) change.readError = decoded.error;
    this.#storeRecord(change);
    return decoded.isOk ? Result.ok(change) : Result.err(decoded.error);
  }

  /**
   * Applies a complete listing of the team branches. A team that is not listed, and whose version
   * is not newer than the listing, has been deleted. Its tombstone gets the listing's revision,
   * since every later write to the team has a higher revision.
   *
   * @param listing All keys of team branches at one revision, which may be outdated.
   * @returns The versions that can't be read; outdated versions are omitted.
   */
  applyListing(listing: Listing): UnappliedBranch[] {
    const unapplied: UnappliedBranch[] = [];
    const listed = new Set<string>();
    for (const { key, value, modPosition } of listing.entries) {
      const team = teamOfKey(key);
      listed.add(team);
      const json = Buffer.from(value);
      const { revision } = modPosition;
      const applied = this.apply({ team, revision, json });
      if (applied.isErr && applied.error.kind !== "older") {
        unapplied.push({ team, revision, failure: applied.error });
      }
    }
    const { revision } = listing.position;
    this.deleteUnlisted(listed, revision);
    this.markCompleteTo(revision);
    return unapplied;
  }

  /**
   * Replaces each unlisted team by a tombstone, unless its version is newer than the list.
   *
   * @param listed All teams that existed at the revision.
   * @param revision Store revision of the list.
   */
  deleteUnlisted(listed: ReadonlySet<string>, revision: bigint): void {
    for (const record of this.all()) {
      if (!exists(record) || listed.has(record.team)) continue;
      if (record.revision > revision) continue;
      const changeNumber = ++this.#changes;
      const team = record.team;
      this.#storeRecord({
        team,
        revision,
        branch: undefined,
        json: EMPTY_JSON,
        changeNumber,
      });
    }
  }

  /**
   * Records that the set reflects all writes up to a revision. The caller must ensure this.
   *
   * @param revision Store revision; a lower one than before has no effect.
   */
  markCompleteTo(revision: bigint): void {
    if (revision > this.#completeTo) this.#completeTo = revision;
  }

  /**
   * @param listener Called after each change.
   * @returns A function that removes the listener.
   */
  onChange(listener: BranchListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #storeRecord(change: BranchRecord): void {
    const { team } = change;
    const previous = this.#branches.get(team);
    if (previous && exists(previous)) this.#hash ^= hashVersion(previous);
    if (exists(change)) this.#hash ^= hashVersion(change);
    this.#branches.set(team, change);
    this.#tombstones.delete(team);
    this.#unreadTeams.delete(team);
    if (!exists(change)) this.#tombstones.add(team);
    if (change.readError) this.#unreadTeams.add(team);
    if (this.#tombstones.size > MAX_TOMBSTONES) this.#dropOldestTombstone();
    for (const listener of this.#listeners) listener(change);
  }

  /** Drops the oldest tombstone, unless its revision is above {@link completeTo}. */
  #dropOldestTombstone(): void {
    const [oldest] = this.#tombstones;
    if (oldest === undefined) return;
    if (this.revisionOf(oldest) > this.#completeTo) return;
    this.#tombstones.delete(oldest);
    this.#branches.delete(oldest);
  }
}

/** A version of a branch that was stored but can't be read. */
export interface UnappliedBranch {
  team: string;
  revision: bigint;
  failure: ApplyFailure;
}

function exists(record: BranchRecord): boolean {
  return record.json.length > 0;
}

function decodeBranch(
  stored: Branch,
): Result<TeamBranch | undefined, ApplyFailure> {
  if (stored.json.length === 0) return Result.ok(undefined);
  return decodeStored(stored.json).andThen((value) =>
    parseBranch(value.branch)
  );
}
