/** Tracks which branch versions each other entry is known to have. */
import type { VersionDigest } from "../wire/gen/cicadahitch.ts";
import type { BranchSet } from "./branch_set.ts";

/**
 * The known state of a peer. Peers never revert to older versions, so recorded versions stay valid
 * until the peer restarts.
 */
export interface PeerRecord {
  processId: string;
  address: string;
  /** Store revision up to which the peer knows all writes. */
  completeTo: bigint;
  /** Number of the latest local change after which the peer had the same branches; 0 if never. */
  equalAtChange: number;
  /** Revisions that the peer listed, by team; cleared when both sides are equal. */
  versions: Map<string, bigint>;
  confirmedAgeMs: number;
  /** Number of the peer's branches whose newest version it can't read. */
  unreadCount: number;
  seenAtMs: number;
}

/** Maximum number of versions recorded per digest; only a peer that differs widely sends more. */
const MAX_RECORDED_VERSIONS = 64;

/** Keeps a record of each known peer, by address. */
export class PeerTable {
  readonly #branches: BranchSet;
  readonly #records = new Map<string, PeerRecord>();

  private constructor(branches: BranchSet) {
    this.#branches = branches;
  }

  /**
   * @param branches The local branches.
   * @returns An empty table.
   */
  static create(branches: BranchSet): PeerTable {
    return new PeerTable(branches);
  }

  /** @returns The records of all known peers. */
  all(): PeerRecord[] {
    return [...this.#records.values()];
  }

  /** @returns The record of the peer at this address; undefined if the peer is not known. */
  get(address: string): PeerRecord | undefined {
    return this.#records.get(address);
  }

  /**
   * Updates a peer's record from its digest.
   *
   * @param digest The peer's digest.
   * @param nowMs Current monotonic time.
   */
  update(digest: VersionDigest, nowMs: number): void {
    const record = this.#getOrCreateRecord(digest);
    record.seenAtMs = nowMs;
    record.confirmedAgeMs = digest.confirmedAgeMs;
    record.unreadCount = digest.unreadCount ?? 0;
    if (digest.revision > record.completeTo) {
      record.completeTo = digest.revision;
    }
    const recorded = digest.versions.slice(0, MAX_RECORDED_VERSIONS);
    for (const { team, revision } of recorded) {
      if (revision > (record.versions.get(team) ?? 0n)) {
        record.versions.set(team, revision);
      }
    }
    if (digest.hash === this.#branches.hash) this.#recordEqualSets(record);
  }

  /**
   * @param record The peer's record.
   * @param team The team's name.
   * @param revision Revision of a version of the team's branch.
   * @returns Whether the peer is known to have this version or a newer one.
   */
  hasVersion(record: PeerRecord, team: string, revision: bigint): boolean {
    if (record.completeTo >= revision) return true;
    if ((record.versions.get(team) ?? 0n) >= revision) return true;
    const held = this.#branches.getRecord(team);
    if (!held || held.json.length === 0) return false;
    return held.revision >= revision &&
      held.changeNumber <= record.equalAtChange;
  }

  /**
   * Removes peers whose last digest was received before a given time.
   *
   * @param beforeMs Monotonic time.
   */
  removeStale(beforeMs: number): void {
    for (const [address, { seenAtMs }] of this.#records) {
      if (seenAtMs < beforeMs) this.#records.delete(address);
    }
  }

  #getOrCreateRecord({ address, processId }: VersionDigest): PeerRecord {
    const known = this.#records.get(address);
    if (known?.processId === processId) return known;
    const record: PeerRecord = {
      processId,
      address,
      completeTo: 0n,
      equalAtChange: 0,
      versions: new Map(),
      confirmedAgeMs: 0,
      unreadCount: 0,
      seenAtMs: 0,
    };
    this.#records.set(address, record);
    return record;
  }

  /** Records that the peer has the same branches, and so knows all writes known locally. */
  #recordEqualSets(record: PeerRecord): void {
    const { changes, completeTo } = this.#branches;
    record.equalAtChange = changes;
    if (completeTo > record.completeTo) record.completeTo = completeTo;
    record.versions.clear();
  }
}
