/**
 * Local replica of the platform's store, updated by a watch and by changes that other entries relay.
 * It never goes back: updates older than its own state are ignored. A store that was restored from an
 * older copy is newer, as its era is; a full listing then replaces the content. All entries have
 * positions of the replica's era.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import { type MirrorChange, RecentChanges } from "./recent_changes.ts";
import {
  isAfter,
  isBefore,
  isStart,
  laterOf,
  START_POSITION,
  type StorePosition,
} from "../store/position.ts";
import type { KeyValueEntry, Listing, WatchStep } from "../store/store.ts";

/** Processes whose last answer count is kept: all live ones, and their predecessors. */
const MAX_KEPT_ORIGINS = 2000;

export type { MirrorChange } from "./recent_changes.ts";

/** Listener that is called for each change, in order. */
export type ChangeListener = (change: MirrorChange) => void;

/** Who gave a full listing: the store itself, or another entry. */
export type ListingSource = "store" | "entry";

/** A restore of the store, as the replica shows it. */
export interface EraChange {
  /** Position of the replica before. */
  from: StorePosition;
  /** Position of the listing that replaces its content. */
  to: StorePosition;
  /** Who gave the listing. */
  source: ListingSource;
  /** Keys with the same value in both. */
  kept: number;
  /** Keys with another value. */
  changed: number;
  /** Keys that the restored store lacks. */
  dropped: number;
  /** Keys that the replica didn't have. */
  added: number;
}

/** The changes, or all entries, that bring a peer's replica up to a position. */
export type Catchup =
  | { kind: "steps"; position: StorePosition; changes: MirrorChange[] }
  | { kind: "all"; position: StorePosition; entries: KeyValueEntry[] };

/** A store answer that confirms replicas as current: the process that received it, and its age. */
export interface Confirmation {
  /** Id of the process that received the answer from the store. */
  origin: string;
  /** Sequence number of the answer in that process. */
  count: number;
  ageMs: number;
}

/** Position up to which a process has all changes, and the store answer that confirms it. */
export interface SyncState {
  position: StorePosition;
  /** Absent if no such answer is known, or the replica is empty. */
  confirmed?: Confirmation;
}

/** Replica of the store's keys and values at one position. */
export class StoreMirror {
  readonly #clock: Clock;
  readonly #entries = new Map<string, KeyValueEntry>();
  readonly #recent = RecentChanges.create(START_POSITION);
  readonly #listeners: ChangeListener[] = [];
  readonly #eraListeners: ((change: EraChange) => void)[] = [];
  #position = START_POSITION;
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

  /** Position up to which all changes are applied; the start position for an empty replica. */
  get position(): StorePosition {
    return this.#position;
  }

  /** Time since a store answer, direct or reported by a peer, last confirmed the replica. */
  get ageMs(): number {
    return this.#clock.nowMs() - (this.#confirmed?.atMs ?? -Infinity);
  }

  /** Position and confirmation of the replica, as sent to peers. */
  get syncState(): SyncState {
    const position = this.#position;
    if (!this.#confirmed) return { position };
    const { origin, count } = this.#confirmed;
    return { position, confirmed: { origin, count, ageMs: this.ageMs } };
  }

  /** @param listener Called for each later change. */
  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /** @param listener Called at each change of the era, before the changes of its listing. */
  onEraChange(listener: (change: EraChange) => void): void {
    this.#eraListeners.push(listener);
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
    this.#replace(listing, "store");
    this.#confirmByStore(listing.position);
  }

  /**
   * Replaces the content with a peer's full listing.
   *
   * @param listing The listing.
   * @param confirmed The store answer that confirms it.
   */
  replaceFromPeer(listing: Listing, confirmed?: Confirmation): void {
    this.#replace(listing, "entry");
    this.confirm({ position: listing.position, confirmed });
  }

  #replace(listing: Listing, source: ListingSource): void {
    if (isBefore(listing.position, this.#position)) return;
    const listed = new Set(listing.entries.map(({ key }) => key));
    const isFromCopy = this.#announceEra(listing, source);
    for (const [key, { modPosition }] of this.#entries) {
      if (listed.has(key) || isAfter(modPosition, listing.position)) continue;
      this.#apply({ kind: "delete", key, position: listing.position });
    }
    for (const entry of listing.entries) this.#applyListed(entry, isFromCopy);
    this.#position = listing.position;
    // The single changes between the last step and the listing are unknown.
    this.#recent.clear(listing.position);
  }

  /** Tells the listeners of a new era; returns whether there is one. */
  #announceEra(
    { entries, position: to }: Listing,
    source: ListingSource,
  ): boolean {
    const from = this.#position;
    if (isStart(from) || to.era === from.era) return false;
    let [kept, changed] = [0, 0];
    for (const { key, value } of entries) {
      const current = this.#entries.get(key);
      if (!current) continue;
      if (isSameValue(current.value, value)) kept++;
      else changed++;
    }
    const dropped = this.#entries.size - kept - changed;
    const added = entries.length - kept - changed;
    const change = { from, to, source, kept, changed, dropped, added };
    for (const listener of this.#eraListeners) listener(change);
    return true;
  }

  /** Listeners don't hear of a copy's values that they know: nobody has written them since. */
  #applyListed(entry: KeyValueEntry, isFromCopy: boolean): void {
    if (!isFromCopy) return this.#apply({ kind: "put", entry });
    const current = this.#entries.get(entry.key);
    if (current && isSameValue(current.value, entry.value)) {
      this.#entries.set(entry.key, entry);
      return;
    }
    this.#apply({ kind: "put", entry, isFromCopy });
  }

  /**
   * Applies one step of a watch. Steps of another era are ignored: what lies between is unknown.
   *
   * @param step The step; steps must come in the order of their positions.
   */
  applyStep(step: WatchStep): void {
    switch (step.kind) {
      case "progress":
        this.#advance(step.position);
        this.#confirmByStore(step.position);
        return;
      case "put":
        this.#applyChange(
          { kind: "put", entry: step.entry },
          step.entry.modPosition,
        );
        return;
      case "delete":
        this.#applyChange(step, step.position);
        return;
    }
  }

  /**
   * Advances the position after all changes from a peer up to its position were applied.
   *
   * @param syncState The peer's sync state.
   */
  advanceTo(syncState: SyncState): void {
    this.#advance(syncState.position);
    this.confirm(syncState);
  }

  /**
   * Applies a peer's confirmation, unless it is for a later position than the replica's or of another
   * era, or not newer than those already applied.
   *
   * @param syncState The peer's sync state.
   */
  confirm({ position, confirmed }: SyncState): void {
    if (!confirmed || isAfter(position, this.#position)) return;
    if (!this.#isOfEra(position)) return;
    const { origin, count, ageMs } = confirmed;
    if (count <= (this.#answerCounts.get(origin) ?? 0)) return;
    this.#answerCounts.set(origin, count);
    const atMs = this.#clock.nowMs() - ageMs;
    if (this.#confirmed && atMs <= this.#confirmed.atMs) return;
    this.#confirmed = { origin, count, atMs };
  }

  /**
   * @param after The peer's position.
   * @returns The changes that the peer lacks, or all entries if it is too far behind, or in an
   *   earlier era.
   */
  changesSince(after: StorePosition): Catchup {
    const position = this.#position;
    const changes = this.#recent.since(after);
    return changes
      ? { kind: "steps", position, changes }
      : { kind: "all", position, entries: [...this.#entries.values()] };
  }

  /** Confirms the replica by an answer that this process just received from the store. */
  #confirmByStore(position: StorePosition): void {
    const [origin, count, ageMs] = [this.#origin, ++this.#ownAnswerCount, 0];
    this.confirm({ position, confirmed: { origin, count, ageMs } });
  }

  #applyChange(change: MirrorChange, position: StorePosition): void {
    // One commit may change several keys at the same position: an equal position is checked per key.
    if (isBefore(position, this.#position) || !this.#isOfEra(position)) return;
    this.#apply(change);
    this.#recent.add(change);
    this.#advance(position);
  }

  #advance(position: StorePosition): void {
    if (!this.#isOfEra(position)) return;
    this.#position = laterOf(this.#position, position);
  }

  #isOfEra({ era }: StorePosition): boolean {
    return era === this.#position.era;
  }

  #apply(change: MirrorChange): void {
    if (change.kind === "put") {
      const current = this.#entries.get(change.entry.key);
      if (current && !isAfter(change.entry.modPosition, current.modPosition)) {
        return;
      }
      this.#entries.set(change.entry.key, change.entry);
    } else {
      const current = this.#entries.get(change.key);
      if (!current || isAfter(current.modPosition, change.position)) return;
      this.#entries.delete(change.key);
    }
    for (const listener of this.#listeners) listener(change);
  }
}

function isSameValue(a: Uint8Array, b: Uint8Array): boolean {
  return Buffer.compare(a, b) === 0;
}
