/**
 * Local replica of the platform's store, updated by a watch and by changes that other entries relay.
 * It never goes back: updates older than its own state are ignored.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { KeyValueEntry, Listing, WatchStep } from "../store/store.ts";

/** Recent changes kept for peers that lag a little; a peer further behind gets all entries. */
const MAX_KEPT_CHANGES = 2000;
/** Processes whose last answer count is kept: all live ones, and their predecessors. */
const MAX_KEPT_ORIGINS = 2000;

/** A change of one key in the store. */
export type MirrorChange =
  | { kind: "put"; entry: KeyValueEntry }
  | { kind: "delete"; key: string; revision: bigint };

/** Listener that is called for each change, in order. */
export type ChangeListener = (change: MirrorChange) => void;

/** The changes, or all entries, that bring a peer's replica up to a revision. */
export type Catchup =
  | { kind: "steps"; revision: bigint; changes: MirrorChange[] }
  | { kind: "all"; revision: bigint; entries: KeyValueEntry[] };

/** A store answer that confirms replicas as current: the process that received it, and its age. */
export interface Confirmation {
  /** Id of the process that received the answer from the store. */
  origin: string;
  /** Sequence number of the answer in that process. */
  count: number;
  ageMs: number;
}

/** Store revision up to which a process has all changes, and the store answer that confirms it. */
export interface SyncState {
  revision: bigint;
  /** Absent if no such answer is known, or the replica is empty. */
  confirmed?: Confirmation;
}

/** Replica of the store's keys and values at one revision. */
export class StoreMirror {
  readonly #clock: Clock;
  readonly #entries = new Map<string, KeyValueEntry>();
  readonly #changes: MirrorChange[] = [];
  readonly #listeners: ChangeListener[] = [];
  /** Changes after this revision are kept; older ones are not. */
  #changesFrom = 0n;
  #revision = 0n;
  readonly #origin = randomUUID();
  #ownAnswerCount = 0;
  /**
   * Highest known answer count by process. Each relayed confirmation appears younger by its transit
   * time; accepting one twice, as when peers confirm each other in a circle, would keep replicas from
   * ever aging.
   */
  readonly #answerCounts = LRUMap.create<string, number>(MAX_KEPT_ORIGINS);
  #confirmed: { origin: string; count: number; atMs: number } | undefined;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock for the replica's age.
   * @returns An empty replica.
   */
  static create(clock: Clock): StoreMirror {
    return new StoreMirror(clock);
  }

  /** Store revision up to which all changes are applied; 0 for an empty replica. */
  get revision(): bigint {
    return this.#revision;
  }

  /** Time since a store answer, direct or reported by a peer, last confirmed the replica. */
  get ageMs(): number {
    return this.#clock.nowMs() - (this.#confirmed?.atMs ?? -Infinity);
  }

  /** Revision and confirmation of the replica, as sent to peers. */
  get syncState(): SyncState {
    const revision = this.#revision;
    if (!this.#confirmed) return { revision };
    const { origin, count } = this.#confirmed;
    return { revision, confirmed: { origin, count, ageMs: this.ageMs } };
  }

  /** @param listener Called for each later change. */
  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /**
   * @param key The full key.
   * @returns The key's entry, if there is one.
   */
  entry(key: string): KeyValueEntry | undefined {
    return this.#entries.get(key);
  }

  /**
   * @param prefix Prefix of the keys.
   * @returns The entries with these keys.
   */
  entries(prefix: string): KeyValueEntry[] {
    return [...this.#entries.values()].filter(({ key }) =>
      key.startsWith(prefix)
    );
  }

  /**
   * Replaces the content with a full listing from the store; keys that it lacks are deleted.
   *
   * @param listing The listing.
   */
  replace(listing: Listing): void {
    this.#replace(listing);
    this.#confirmByStore(listing.revision);
  }

  /**
   * Replaces the content with a peer's full listing.
   *
   * @param listing The listing.
   * @param confirmed The store answer that confirms it.
   */
  replaceFromPeer(listing: Listing, confirmed?: Confirmation): void {
    this.#replace(listing);
    this.confirm({ revision: listing.revision, confirmed });
  }

  #replace(listing: Listing): void {
    if (listing.revision < this.#revision) return;
    const listed = new Set(listing.entries.map(({ key }) => key));
    for (const [key, { modRevision }] of this.#entries) {
      if (listed.has(key) || modRevision > listing.revision) continue;
      this.#apply({ kind: "delete", key, revision: listing.revision });
    }
    for (const entry of listing.entries) this.#apply({ kind: "put", entry });
    this.#revision = listing.revision;
    // The single changes between the last step and the listing are unknown.
    this.#changes.length = 0;
    this.#changesFrom = listing.revision;
  }

  /**
   * Applies one step of a watch.
   *
   * @param step The step; steps must come in the order of their revisions.
   */
  applyStep(step: WatchStep): void {
    switch (step.kind) {
      case "progress":
        this.#advance(step.revision);
        this.#confirmByStore(step.revision);
        return;
      case "put":
        this.#applyChange(
          { kind: "put", entry: step.entry },
          step.entry.modRevision,
        );
        return;
      case "delete":
        this.#applyChange(step, step.revision);
        return;
    }
  }

  /**
   * Advances the revision after all changes from a peer up to its revision were applied.
   *
   * @param syncState The peer's sync state.
   */
  advanceTo(syncState: SyncState): void {
    this.#advance(syncState.revision);
    this.confirm(syncState);
  }

  /**
   * Applies a peer's confirmation, unless it is for a later revision than the replica's, or not newer
   * than those already applied.
   *
   * @param syncState The peer's sync state.
   */
  confirm({ revision, confirmed }: SyncState): void {
    if (!confirmed || revision > this.#revision) return;
    const { origin, count, ageMs } = confirmed;
    if (count <= (this.#answerCounts.get(origin) ?? 0)) return;
    this.#answerCounts.set(origin, count);
    const atMs = this.#clock.nowMs() - ageMs;
    if (this.#confirmed && atMs <= this.#confirmed.atMs) return;
    this.#confirmed = { origin, count, atMs };
  }

  /**
   * @param after The peer's revision.
   * @returns The changes that the peer lacks, or all entries if it is too far behind.
   */
  changesSince(after: bigint): Catchup {
    const revision = this.#revision;
    if (after < this.#changesFrom) {
      return { kind: "all", revision, entries: [...this.#entries.values()] };
    }
    const changes = this.#changes.filter((step) => revisionOf(step) > after);
    return { kind: "steps", revision, changes };
  }

  /** Confirms the replica by an answer that this process just received from the store. */
  #confirmByStore(revision: bigint): void {
    const [origin, count, ageMs] = [this.#origin, ++this.#ownAnswerCount, 0];
    this.confirm({ revision, confirmed: { origin, count, ageMs } });
  }

  #applyChange(change: MirrorChange, revision: bigint): void {
    // One commit may change several keys at the same revision: an equal revision is checked per key.
    if (revision < this.#revision) return;
    this.#apply(change);
    this.#changes.push(change);
    if (this.#changes.length > MAX_KEPT_CHANGES) {
      this.#changesFrom = revisionOf(this.#changes.shift()!);
    }
    this.#advance(revision);
  }

  #advance(revision: bigint): void {
    if (revision > this.#revision) this.#revision = revision;
  }

  #apply(change: MirrorChange): void {
    if (change.kind === "put") {
      const current = this.#entries.get(change.entry.key);
      if (current && current.modRevision >= change.entry.modRevision) return;
      this.#entries.set(change.entry.key, change.entry);
    } else {
      const current = this.#entries.get(change.key);
      if (!current || current.modRevision > change.revision) return;
      this.#entries.delete(change.key);
    }
    for (const listener of this.#listeners) listener(change);
  }
}

function revisionOf(change: MirrorChange): bigint {
  return change.kind === "put" ? change.entry.modRevision : change.revision;
}
