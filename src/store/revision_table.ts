/** In-memory state of a multi-version key-value store: entries, revisions, history, subscribers. */
import { isSamePosition, positionAt, type StorePosition } from "./position.ts";
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  Write,
} from "./store.ts";

/** One change of a key. */
export type TableEvent =
  | { kind: "put"; entry: KeyValueEntry }
  | { kind: "delete"; key: string; position: StorePosition };

/** Keys from `from` (inclusive) to `to` (exclusive); without `to`, there is no upper bound. */
export interface KeyRange {
  from: string;
  to: string | undefined;
}

/** Receives the changes of one commit, in order. */
export type TableListener = (events: TableEvent[]) => void;

interface Subscriber {
  range: KeyRange;
  listener: TableListener;
}

interface StoredEntry extends KeyValueEntry {
  leaseId: bigint;
}

/** The state of a table at one revision. */
export interface TableSnapshot {
  readonly entries: ReadonlyMap<string, StoredEntry>;
  readonly history: readonly TableEvent[];
  readonly revision: bigint;
  readonly compactedRevision: bigint;
}

/** Revision of an empty store, as in etcd. */
const FIRST_REVISION = 1n;

/**
 * @param prefix Prefix of the keys; empty: all keys.
 * @returns The range of all keys with this prefix.
 */
export function prefixRange(prefix: string): KeyRange {
  if (prefix === "") return { from: "", to: undefined };
  const last = prefix.charCodeAt(prefix.length - 1);
  const to = prefix.slice(0, -1) + String.fromCharCode(last + 1);
  return { from: prefix, to };
}

/**
 * Multi-version key-value table. Changes are synchronous: subscribers are notified of a commit
 * before {@link RevisionTable.commit} returns.
 */
export class RevisionTable {
  #entries = new Map<string, StoredEntry>();
  readonly #subscribers = new Set<Subscriber>();
  #history: TableEvent[] = [];
  #era: number;
  #revision = FIRST_REVISION;
  #compactedRevision = 0n;

  private constructor(firstEra: number) {
    this.#era = firstEra;
  }

  /**
   * @param firstEra Era until the first {@link RevisionTable.restore}; 0: the store names none.
   * @returns An empty table.
   */
  static create(firstEra = 0): RevisionTable {
    return new RevisionTable(firstEra);
  }

  /** Revision of the last change. */
  get revision(): bigint {
    return this.#revision;
  }

  /** Position of the last change. */
  get position(): StorePosition {
    return positionAt(this.#era, this.#revision);
  }

  /** History up to this revision (inclusive) was deleted. */
  get compactedRevision(): bigint {
    return this.#compactedRevision;
  }

  /**
   * @param key The key.
   * @returns The key's entry, if it exists.
   */
  get(key: string): KeyValueEntry | undefined {
    const stored = this.#entries.get(key);
    return stored && toPublicEntry(stored);
  }

  /**
   * @param range Keys to list.
   * @returns The entries, sorted by key.
   */
  list(range: KeyRange): KeyValueEntry[] {
    const found: KeyValueEntry[] = [];
    for (const stored of this.#entries.values()) {
      if (contains(range, stored.key)) found.push(toPublicEntry(stored));
    }
    return found.sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /**
   * Applies all of `writes` if all conditions of `expect` hold, else none.
   *
   * @param expect Conditions.
   * @param writes Changes, which all get the same revision.
   * @returns The new revision, or the entries that conflict with the conditions.
   */
  commit(expect: Expectation[], writes: Write[]): CommitOutcome {
    if (!this.#isSatisfied(expect)) {
      return {
        kind: "conflict",
        current: this.#currentEntries(expect),
        position: this.position,
      };
    }
    const revision = this.#revision + 1n;
    const events: TableEvent[] = [];
    for (const write of writes) this.#apply(write, revision, events);
    this.#publish(revision, events);
    return { kind: "committed", position: this.position };
  }

  /**
   * Deletes the keys that are attached to a lease.
   *
   * @param leaseId A lease that expired or was revoked.
   */
  deleteLeaseKeys(leaseId: bigint): void {
    const writes: Write[] = [];
    for (const stored of this.#entries.values()) {
      if (stored.leaseId === leaseId) {
        writes.push({ kind: "delete", key: stored.key });
      }
    }
    this.commit([], writes);
  }

  /**
   * Deletes old history, as the service does from time to time.
   *
   * @param revision Last revision whose events are deleted.
   */
  compact(revision: bigint): void {
    this.#compactedRevision = revision;
    this.#history = this.#history.filter((event) =>
      revisionOf(event) > revision
    );
  }

  /** @returns A copy of the table's state. */
  snapshot(): TableSnapshot {
    return {
      entries: new Map(this.#entries),
      history: [...this.#history],
      revision: this.#revision,
      compactedRevision: this.#compactedRevision,
    };
  }

  /**
   * Goes back to an earlier state, in a new era. Later revisions will be given out again, to other
   * changes. Subscribers are not notified; those of before must end their subscriptions.
   *
   * @param snapshot The state to go back to.
   */
  restore(snapshot: TableSnapshot): void {
    const era = ++this.#era;
    this.#entries = new Map();
    for (const [key, entry] of snapshot.entries) {
      this.#entries.set(key, inEra(era, entry));
    }
    this.#history = snapshot.history.map((event) => eventInEra(era, event));
    this.#revision = snapshot.revision;
    this.#compactedRevision = snapshot.compactedRevision;
  }

  /**
   * Delivers the retained events from `fromRevision` on at once, and later events as they occur.
   *
   * @param range Keys to watch.
   * @param fromRevision First revision to deliver; 0: future events only.
   * @param listener Receives the events.
   * @returns A function that ends the subscription.
   */
  subscribe(
    range: KeyRange,
    fromRevision: bigint,
    listener: TableListener,
  ): () => void {
    const subscriber = { range, listener };
    const replayed = fromRevision === 0n ? [] : this.#eventsSince(fromRevision);
    deliver(subscriber, replayed);
    this.#subscribers.add(subscriber);
    return () => void this.#subscribers.delete(subscriber);
  }

  #isSatisfied(expect: Expectation[]): boolean {
    return expect.every(({ key, modPosition }) =>
      isSamePosition(this.#entries.get(key)?.modPosition, modPosition)
    );
  }

  #currentEntries(expect: Expectation[]): KeyValueEntry[] {
    const keys = new Set(expect.map(({ key }) => key));
    return [...keys].flatMap((key) => this.get(key) ?? []);
  }

  #apply(write: Write, revision: bigint, events: TableEvent[]): void {
    switch (write.kind) {
      case "put":
        return this.#put(write, revision, events);
      case "delete":
        return this.#delete(write.key, revision, events);
      case "delete_range": {
        const matching = this.list({ from: write.from, to: write.to });
        for (const { key } of matching) this.#delete(key, revision, events);
        return;
      }
    }
  }

  #put(
    write: Extract<Write, { kind: "put" }>,
    revision: bigint,
    events: TableEvent[],
  ): void {
    const position = positionAt(this.#era, revision);
    const stored: StoredEntry = {
      key: write.key,
      value: write.value,
      modPosition: position,
      createPosition: this.#entries.get(write.key)?.createPosition ?? position,
      leaseId: write.leaseId ?? 0n,
    };
    this.#entries.set(write.key, stored);
    events.push({ kind: "put", entry: toPublicEntry(stored) });
  }

  #delete(key: string, revision: bigint, events: TableEvent[]): void {
    if (!this.#entries.delete(key)) return;
    const position = positionAt(this.#era, revision);
    events.push({ kind: "delete", key, position });
  }

  #publish(revision: bigint, events: TableEvent[]): void {
    if (events.length === 0) return;
    this.#revision = revision;
    this.#history.push(...events);
    for (const subscriber of this.#subscribers) deliver(subscriber, events);
  }

  #eventsSince(revision: bigint): TableEvent[] {
    const history = this.#history;
    let first = history.length;
    while (first > 0 && revisionOf(history[first - 1]!) >= revision) first--;
    return history.slice(first);
  }
}

function toPublicEntry(stored: StoredEntry): KeyValueEntry {
  const { key, value, modPosition, createPosition } = stored;
  return { key, value, modPosition, createPosition };
}

function inEra<T extends KeyValueEntry>(era: number, entry: T): T {
  return {
    ...entry,
    modPosition: positionAt(era, entry.modPosition.revision),
    createPosition: positionAt(era, entry.createPosition.revision),
  };
}

function eventInEra(era: number, event: TableEvent): TableEvent {
  if (event.kind === "put") return { ...event, entry: inEra(era, event.entry) };
  return { ...event, position: positionAt(era, event.position.revision) };
}

function revisionOf(event: TableEvent): bigint {
  const { revision } = event.kind === "put"
    ? event.entry.modPosition
    : event.position;
  return revision;
}

function keyOf(event: TableEvent): string {
  return event.kind === "put" ? event.entry.key : event.key;
}

function contains(range: KeyRange, key: string): boolean {
  return key >= range.from && (range.to === undefined || key < range.to);
}

function deliver(subscriber: Subscriber, events: TableEvent[]): void {
  const wanted = events.filter((event) =>
    contains(subscriber.range, keyOf(event))
  );
  if (wanted.length > 0) subscriber.listener(wanted);
}
