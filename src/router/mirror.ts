/**
 * A process's copy of the platform's store, kept by a watch and by what other entries pass on. It
 * never goes back: what is older than what it holds is ignored.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { KeyValueEntry, Listing, WatchStep } from "../store/store.ts";

/** Steps that are kept for peers that are a little behind; a peer further behind gets it all. */
const KEPT_STEPS = 2000;
/** Processes whose last answer is kept: all that live, and those that they came after. */
const KEPT_ORIGINS = 2000;

/** A change of one key. */
export type MirrorChange =
  | { kind: "put"; entry: KeyValueEntry }
  | { kind: "delete"; key: string; revision: bigint };

/** Called for each change, in order. */
export type ChangeListener = (change: MirrorChange) => void;

/** What a peer needs to catch up. */
export type Catchup =
  | { kind: "steps"; revision: bigint; changes: MirrorChange[] }
  | { kind: "all"; revision: bigint; entries: KeyValueEntry[] };

/** An answer of the store that vouches for copies: whose it was, and how old it is. */
export interface Confirmation {
  /** The process that the store answered. */
  origin: string;
  /** Its how-manieth answer. */
  count: number;
  ageMs: number;
}

/** Up to which revision of the store a process knows everything, and who vouches for it. */
export interface Knowledge {
  revision: bigint;
  /** Left out: the store's answer is not known, or nothing is. */
  confirmed?: Confirmation;
}

/** Keys and values up to one revision of the store. */
export class StoreMirror {
  readonly #clock: Clock;
  readonly #entries = new Map<string, KeyValueEntry>();
  readonly #steps: MirrorChange[] = [];
  readonly #listeners: ChangeListener[] = [];
  /** Revision below which steps are no longer kept. */
  #stepsFrom = 0n;
  #revision = 0n;
  readonly #origin = randomUUID();
  #ownAnswers = 0;
  /**
   * The newest answer that each process has had, as far as heard. Peers pass on what vouches for
   * their copies, and each time it seems younger by the time that the news takes: taken twice, as on
   * a way in a circle, copies would never grow old.
   */
  readonly #answers = LRUMap.create<string, number>(KEPT_ORIGINS);
  #confirmed: { origin: string; count: number; atMs: number } | undefined;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Tells the age of what is known.
   * @returns A mirror that knows nothing yet.
   */
  static create(clock: Clock): StoreMirror {
    return new StoreMirror(clock);
  }

  /** Store revision up to which everything is known; 0: nothing is. */
  get revision(): bigint {
    return this.#revision;
  }

  /** Time since the store, or a peer that had just heard from it, vouched for the copy. */
  get ageMs(): number {
    return this.#clock.nowMs() - (this.#confirmed?.atMs ?? -Infinity);
  }

  /** What peers are told of the copy. */
  get knowledge(): Knowledge {
    const revision = this.#revision;
    if (!this.#confirmed) return { revision };
    const { origin, count } = this.#confirmed;
    return { revision, confirmed: { origin, count, ageMs: this.ageMs } };
  }

  /** @param listener Called for each change from now on. */
  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /**
   * @param key A whole key.
   * @returns Its entry, if it is known.
   */
  entry(key: string): KeyValueEntry | undefined {
    return this.#entries.get(key);
  }

  /**
   * @param prefix Prefix of the keys.
   * @returns The entries that are known.
   */
  entries(prefix: string): KeyValueEntry[] {
    return [...this.#entries.values()].filter(({ key }) =>
      key.startsWith(prefix)
    );
  }

  /**
   * Takes a whole list of the store: keys that it lacks are gone.
   *
   * @param listing The list.
   */
  replace(listing: Listing): void {
    this.#replace(listing);
    this.#answered(listing.revision);
  }

  /**
   * Takes a whole list that a peer has.
   *
   * @param listing The list.
   * @param confirmed What vouches for it.
   */
  replaceFrom(listing: Listing, confirmed?: Confirmation): void {
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
    // What lies between the last step and the list isn't known step by step.
    this.#steps.length = 0;
    this.#stepsFrom = listing.revision;
  }

  /**
   * Takes one step of a watch.
   *
   * @param step The step; steps come in the order of their revisions.
   */
  follow(step: WatchStep): void {
    switch (step.kind) {
      case "progress":
        this.#advance(step.revision);
        this.#answered(step.revision);
        return;
      case "put":
        this.#step({ kind: "put", entry: step.entry }, step.entry.modRevision);
        return;
      case "delete":
        this.#step(step, step.revision);
        return;
    }
  }

  /**
   * Notes that all steps up to a revision were taken, as a peer has them.
   *
   * @param knowledge What the peer knows.
   */
  catchUpTo(knowledge: Knowledge): void {
    this.#advance(knowledge.revision);
    this.confirm(knowledge);
  }

  /**
   * Notes that the copy was all there was a while ago.
   *
   * @param knowledge What a peer knows.
   */
  confirm({ revision, confirmed }: Knowledge): void {
    if (!confirmed || revision > this.#revision) return;
    const { origin, count, ageMs } = confirmed;
    if (count <= (this.#answers.get(origin) ?? 0)) return;
    this.#answers.set(origin, count);
    const atMs = this.#clock.nowMs() - ageMs;
    if (this.#confirmed && atMs <= this.#confirmed.atMs) return;
    this.#confirmed = { origin, count, atMs };
  }

  /**
   * @param after Revision that a peer has.
   * @returns What the peer lacks.
   */
  catchup(after: bigint): Catchup {
    const revision = this.#revision;
    if (after < this.#stepsFrom) {
      return { kind: "all", revision, entries: [...this.#entries.values()] };
    }
    const changes = this.#steps.filter((step) => revisionOf(step) > after);
    return { kind: "steps", revision, changes };
  }

  /** The store itself has just answered this process. */
  #answered(revision: bigint): void {
    const [origin, count, ageMs] = [this.#origin, ++this.#ownAnswers, 0];
    this.confirm({ revision, confirmed: { origin, count, ageMs } });
  }

  #step(change: MirrorChange, revision: bigint): void {
    // One commit may change several keys at one revision: equal ones are compared key by key.
    if (revision < this.#revision) return;
    this.#apply(change);
    this.#steps.push(change);
    if (this.#steps.length > KEPT_STEPS) {
      this.#stepsFrom = revisionOf(this.#steps.shift()!);
    }
    this.#advance(revision);
  }

  #advance(revision: bigint): void {
    if (revision > this.#revision) this.#revision = revision;
  }

  #apply(change: MirrorChange): void {
    if (change.kind === "put") {
      const known = this.#entries.get(change.entry.key);
      if (known && known.modRevision >= change.entry.modRevision) return;
      this.#entries.set(change.entry.key, change.entry);
    } else {
      const known = this.#entries.get(change.key);
      if (!known || known.modRevision > change.revision) return;
      this.#entries.delete(change.key);
    }
    for (const listener of this.#listeners) listener(change);
  }
}

function revisionOf(change: MirrorChange): bigint {
  return change.kind === "put" ? change.entry.modRevision : change.revision;
}
