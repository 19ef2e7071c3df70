/** An agent's in-memory state of one shard: its claims and the records to be written. */
import type { StorePosition } from "../store/position.ts";
import type { ClaimEnd, ClaimRefusal } from "./claims_journal.ts";
import { type ClaimEntry, isNotRun } from "./_claim_entry.ts";
import type { ShardId } from "./_paths.ts";
import type { Head } from "./_records.ts";

/** A segment in the store, with its claims. */
export interface StoredSegment {
  number: number;
  claims: ClaimEntry[];
}

/** State that an agent keeps while it owns a shard. */
export interface OwnerState {
  /** The last committed head. */
  head: Head;
  modPosition: StorePosition;
  /** Number of the last commit that was built; it may not have taken effect. */
  commitNumber: number;
  /** Monotonic time at which the answer to the takeover arrived. */
  startedMs: number;
  /** Time of the takeover on the journal clock. */
  startedJournalMs: number;
  /** Monotonic time at which the last commit that confirmed the ownership was sent. */
  confirmedMs: number;
  /** Memory grant limit; lower than in the head while a commit that lowers it is in flight. */
  maxMemoryGrantMs: number;
}

/**
 * Owner of the shard, as known to this agent. `seenMs` is the time at which this agent first saw
 * the epoch of the head, `readMs` the time at which it last read the head.
 */
export type Ownership =
  | { kind: "none" }
  | { kind: "foreign"; head: Head; seenMs: number; readMs: number }
  | { kind: "owned"; ownerState: OwnerState };

/** Initial state of a shard that was taken over. */
export interface LoadedShard {
  ownerState: OwnerState;
  segments: StoredSegment[];
  /** All claims of the segments, in journal order. */
  claims: ClaimEntry[];
}

/** In-memory state of one shard. Its methods don't write to the store; the committer does. */
export class Shard {
  readonly id: ShardId;
  ownership: Ownership = { kind: "none" };
  /** The latest claim of each key. */
  readonly entries = new Map<string, ClaimEntry>();
  /** Claims made by this process, by run id; kept when the ownership is lost. */
  readonly ownClaims = new Map<string, ClaimEntry>();
  segments: StoredSegment[] = [];
  /** Number of claims in {@link segments}. */
  storedClaimCount = 0;
  /** Own claims that are not written yet. */
  queue: ClaimEntry[] = [];
  /** Claims whose end is not written yet. */
  ends: ClaimEntry[] = [];
  wantsMemoryMode = false;
  /** True if the shard is to be released, since the journal is closing. */
  isClosing = false;
  /** Longest retry window of any request or stored claim, in ms. */
  maxWindowMs = 0;

  private constructor(id: ShardId) {
    this.id = id;
  }

  /** @param id Identifies the shard. */
  static create(id: ShardId): Shard {
    return new Shard(id);
  }

  /** Undefined unless this agent owns the shard, as far as it knows. */
  get ownerState(): OwnerState | undefined {
    return this.ownership.kind === "owned"
      ? this.ownership.ownerState
      : undefined;
  }

  /** Number of claims that count towards the limit of the shard. */
  get claimCount(): number {
    return this.storedClaimCount + this.queue.length;
  }

  /**
   * Finds the claim that blocks a new claim of the same key.
   *
   * @param key See {@link ClaimEntry.key}.
   * @param nowMs Current monotonic time.
   * @returns The claim; undefined if the key may be claimed.
   */
  findActive(key: string, nowMs: number): ClaimEntry | undefined {
    const entry = this.entries.get(key);
    if (!entry || isNotRun(entry)) return undefined;
    return this.isExpired(entry, nowMs) ? undefined : entry;
  }

  /** True if the claim may be deleted: its retry window has passed and it is not open here. */
  isExpired(entry: ClaimEntry, nowMs: number): boolean {
    const isOpen = entry.phase !== "foreign" && !entry.end;
    if (isOpen) return false;
    return entry.expiresJournalMs <= this.journalMs(nowMs);
  }

  /** Time on the journal clock. It keeps running for own claims after the ownership is lost. */
  journalMs(nowMs: number): number {
    const { startedMs, startedJournalMs } = this.#clockOrigin;
    return startedJournalMs + (nowMs - startedMs);
  }

  /** Remaining time in which unknown keys may have been granted from memory by a predecessor. */
  quarantineMs(nowMs: number): number {
    if (!this.ownerState) return 0;
    const until = this.ownerState.head.quarantineUntilJournalMs;
    return Math.max(0, until - this.journalMs(nowMs));
  }

  /**
   * True if the claim may be granted without the store. This requires a committed head that allows
   * it, so that a successor refuses unknown keys until the limit and the retry window have passed.
   */
  mayGrantFromMemory(entry: ClaimEntry, nowMs: number): boolean {
    if (!this.ownerState || this.isClosing || !entry.allowsMemory) return false;
    const { head, confirmedMs, maxMemoryGrantMs } = this.ownerState;
    if (entry.windowMs > head.retryWindowMs) return false;
    return nowMs - confirmedMs < maxMemoryGrantMs;
  }

  /** Adds a new own claim to the write queue. */
  enqueue(entry: ClaimEntry): void {
    this.entries.set(entry.key, entry);
    this.ownClaims.set(entry.claimant.runId, entry);
    this.queue.push(entry);
  }

  /** Grants a waiting own claim. */
  grant(entry: ClaimEntry, nowMs: number): void {
    if (entry.phase !== "waiting" || entry.end) return;
    entry.phase = "granted";
    entry.expiresJournalMs = this.journalMs(nowMs) + entry.windowMs;
    entry.decide(undefined);
  }

  /**
   * Refuses a waiting own claim. If its record may still reach the store, its end is written later,
   * so that the key can be claimed again.
   */
  refuse(entry: ClaimEntry, refusal: ClaimRefusal, nowMs: number): void {
    if (entry.phase !== "waiting" || entry.end) return;
    entry.decide(refusal);
    const queueIndex = this.queue.indexOf(entry);
    if (queueIndex >= 0) {
      this.queue.splice(queueIndex, 1);
      this.forget(entry);
    }
    this.end(entry, { kind: "not_run" }, nowMs);
  }

  /** Records the end of a claim; later ends are ignored. */
  end(entry: ClaimEntry, end: ClaimEnd, nowMs: number): void {
    if (entry.end) return;
    entry.end = end;
    entry.endedMs = nowMs;
    entry.expiresJournalMs = this.journalMs(nowMs) + entry.windowMs;
    if (this.ownerState && this.#isTracked(entry)) this.ends.push(entry);
  }

  /** Adds a segment that was committed. */
  addSegment(segment: StoredSegment): void {
    this.segments.push(segment);
    this.storedClaimCount += segment.claims.length;
  }

  /** Drops the segments before a number, with their claims. */
  trimSegments(oldestSegment: number): void {
    while (this.segments[0] && this.segments[0].number < oldestSegment) {
      const { claims } = this.segments.shift()!;
      this.storedClaimCount -= claims.length;
      for (const entry of claims) this.forget(entry);
    }
  }

  /** Removes a claim from the in-memory maps. */
  forget(entry: ClaimEntry): void {
    if (this.entries.get(entry.key) === entry) this.entries.delete(entry.key);
    if (this.ownClaims.get(entry.claimant.runId) === entry) {
      this.ownClaims.delete(entry.claimant.runId);
    }
  }

  /** Makes this agent the owner, with the state loaded by the takeover. */
  startOwnership(loaded: LoadedShard): void {
    this.ownership = { kind: "owned", ownerState: loaded.ownerState };
    this.segments = loaded.segments;
    this.storedClaimCount = loaded.claims.length;
    this.entries.clear();
    for (const entry of loaded.claims) this.entries.set(entry.key, entry);
    this.maxWindowMs = Math.max(
      this.maxWindowMs,
      loaded.ownerState.head.retryWindowMs,
    );
    this.#requeueOwnClaims(loaded.ownerState.startedMs);
  }

  /** Ends the ownership: refuses waiting claims and drops all but the own claims. */
  endOwnership(refusal: ClaimRefusal, nowMs: number): void {
    for (const own of this.ownClaims.values()) this.refuse(own, refusal, nowMs);
    this.#lastClockOrigin = this.#clockOrigin;
    this.ownership = { kind: "none" };
    this.segments = [];
    this.storedClaimCount = 0;
    this.queue = [];
    this.ends = [];
    this.entries.clear();
    for (const own of this.ownClaims.values()) this.entries.set(own.key, own);
  }

  /** Drops expired own claims of a shard that is not owned. */
  forgetExpired(nowMs: number): void {
    if (this.ownerState) return;
    for (const entry of this.ownClaims.values()) {
      if (this.isExpired(entry, nowMs)) this.forget(entry);
    }
  }

  #lastClockOrigin = { startedMs: 0, startedJournalMs: 0 };

  get #clockOrigin(): { startedMs: number; startedJournalMs: number } {
    return this.ownerState ?? this.#lastClockOrigin;
  }

  #isTracked(entry: ClaimEntry): boolean {
    return entry.phase === "foreign" ||
      this.ownClaims.get(entry.claimant.runId) === entry;
  }

  /** Queues own claims and ends that are missing from the journal to be written again. */
  #requeueOwnClaims(nowMs: number): void {
    for (const entry of this.ownClaims.values()) {
      const isWritten = entry.segment > 0;
      const isObsolete = isNotRun(entry) || this.isExpired(entry, nowMs);
      if (!isWritten && isObsolete) this.forget(entry);
      if (!isWritten && !isObsolete) this.#requeue(entry, nowMs);
      if (isWritten && entry.end && !entry.isEndWritten) this.ends.push(entry);
    }
  }

  #requeue(entry: ClaimEntry, nowMs: number): void {
    if (this.entries.has(entry.key)) return;
    entry.expiresJournalMs = this.journalMs(nowMs) + entry.windowMs;
    this.entries.set(entry.key, entry);
    this.queue.push(entry);
    if (entry.end) this.ends.push(entry);
  }
}
