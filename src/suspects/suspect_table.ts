/**
 * Tracks requests, by digest, that were running on backend servers when these terminated, and
 * quarantines a request that terminates one server after another. Running on a server at its end
 * proves nothing, as all requests there become suspects. Therefore an end counts only for the
 * request that is its most likely cause, a successful answer clears a request, and suspicion
 * expires some time after the last end.
 */
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { ServerEnd, Suspect, SuspectList } from "./suspect.ts";

/** Number of server ends at which a request is quarantined. */
export const ENDS_TO_QUARANTINE = 3;
/** Number of server ends from which a suspect is gossiped repeatedly and persisted in the store. */
export const MIN_SHARED_ENDS = 2;
/**
 * A run that has produced output for this long is no longer a possible cause of its server's end.
 */
export const CLEARED_AFTER_MS = 1000;
/** Error of the times that entries exchange, network latency included. */
const TIMING_ERROR_MS = 100;
/** Maximum number of ends kept per request; further ones would not change the verdict. */
const MAX_ENDS = 8;
/** Number of ends, not better explained by another suspect, that a quarantine requires. */
const MIN_UNEXPLAINED_ENDS = 2;
/** Time from a request's last end until the suspicion expires and the request may run again. */
const EXPIRY_MS = 600_000;
/** Maximum number of suspects; those with the fewest, then the oldest, ends are evicted. */
const MAX_SUSPECTS = 1024;

/** Assessment of a request. */
export type Verdict =
  | { kind: "clear" }
  | { kind: "suspected"; endCount: number }
  | { kind: "quarantined"; endCount: number; leftMs: number };

const CLEAR: Verdict = { kind: "clear" };

/** Ends of one request by server. */
type Ends = Map<string, ServerEnd>;

/** A request's ends, and how many of them were sequential (see {@link countSequentialEnds}). */
interface Row {
  ends: Ends;
  endCount: number;
}

/** Table of suspected requests. */
export class SuspectTable implements SuspectList {
  readonly #clock: Clock;
  readonly #suspects = new Map<string, Row>();
  /** When requests were last answered successfully; earlier ends don't count. */
  readonly #clearedAtMs = LRUMap.create<string, number>(MAX_SUSPECTS);

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock for the age of ends.
   * @returns A table without suspects.
   */
  static create(clock: Clock): SuspectTable {
    return new SuspectTable(clock);
  }

  /** Number of requests that are suspected. */
  get size(): number {
    return this.#suspects.size;
  }

  /**
   * Records the end of a server that was handling a request.
   *
   * @param digest Digest of the request.
   * @param end The server's end.
   * @returns Whether the end was recorded; false if it is known, expired or older than an answer.
   */
  recordEnd(digest: string, end: ServerEnd): boolean {
    if (this.#isExpired(end.atMs)) return false;
    if (end.atMs <= (this.#clearedAtMs.get(digest) ?? -Infinity)) return false;
    const ends: Ends = this.#suspects.get(digest)?.ends ?? new Map();
    if (ends.has(end.server) || ends.size >= MAX_ENDS) return false;
    ends.set(end.server, end);
    this.#suspects.set(digest, { ends, endCount: countSequentialEnds(ends) });
    if (this.#suspects.size > MAX_SUSPECTS) this.#evictWeakest();
    return this.#suspects.has(digest);
  }

  /**
   * Clears a request that a server has answered successfully.
   *
   * @param digest Digest of the request.
   * @param atMs Time of the answer; only later ends count.
   * @returns Whether the request was suspected.
   */
  clear(digest: string, atMs: number): boolean {
    const before = this.#clearedAtMs.get(digest) ?? -Infinity;
    this.#clearedAtMs.set(digest, Math.max(before, atMs));
    const row = this.#suspects.get(digest);
    if (!row) return false;
    for (const [server, end] of row.ends) {
      if (end.atMs <= atMs) row.ends.delete(server);
    }
    row.endCount = countSequentialEnds(row.ends);
    if (row.endCount === 0) this.#suspects.delete(digest);
    return true;
  }

  /**
   * @param digest Digest of a request.
   * @returns When the request was last answered successfully, if known.
   */
  clearedAtMs(digest: string): number | undefined {
    return this.#clearedAtMs.get(digest);
  }

  /**
   * @param digest Digest of a request.
   * @returns The current assessment of the request.
   */
  verdict(digest: string): Verdict {
    const row = this.#suspects.get(digest);
    if (!row) return CLEAR;
    const leftMs = this.#remainingMs(row.ends);
    if (leftMs <= 0) {
      this.#suspects.delete(digest);
      return CLEAR;
    }
    const { endCount } = row;
    return endCount >= ENDS_TO_QUARANTINE && this.#isLikelyCause(digest, row)
      ? { kind: "quarantined", endCount, leftMs }
      : { kind: "suspected", endCount };
  }

  isCleared(digest: string): boolean {
    return this.clearedAtMs(digest) !== undefined &&
      this.verdict(digest).kind === "clear";
  }

  /**
   * @param minEnds Minimum number of server ends.
   * @returns Requests with at least that many ends, those with the most ends first.
   */
  suspects(minEnds: number): Suspect[] {
    const found: Suspect[] = [];
    for (const [digest, { ends }] of this.#suspects) {
      if (ends.size < minEnds || this.#remainingMs(ends) <= 0) continue;
      found.push({ digest, ends: [...ends.values()] });
    }
    return found.sort((a, b) => b.ends.length - a.ends.length);
  }

  #isExpired(atMs: number): boolean {
    return this.#clock.nowMs() - atMs >= EXPIRY_MS;
  }

  #remainingMs(ends: Ends): number {
    return lastEndMs(ends) + EXPIRY_MS - this.#clock.nowMs();
  }

  /** A request that only ran beside the cause shares the cause's ends and has few others. */
  #isLikelyCause(digest: string, row: Row): boolean {
    const unexplained: Ends = new Map();
    for (const [server, end] of row.ends) {
      if (!this.#isExplained(digest, row, end)) unexplained.set(server, end);
    }
    return countSequentialEnds(unexplained) >= MIN_UNEXPLAINED_ENDS;
  }

  #isExplained(digest: string, { endCount }: Row, end: ServerEnd): boolean {
    for (const [otherDigest, { ends, endCount: count }] of this.#suspects) {
      if (count < ENDS_TO_QUARANTINE || count < endCount) continue;
      const other = ends.get(end.server);
      if (!other || otherDigest === digest) continue;
      if (count > endCount || isMoreLikelyCause(other, end)) return true;
    }
    return false;
  }

  #evictWeakest(): void {
    let weakest: { digest: string; ends: Ends } | undefined;
    for (const [digest, { ends }] of this.#suspects) {
      if (!weakest || isWeaker(ends, weakest.ends)) weakest = { digest, ends };
    }
    if (weakest) this.#suspects.delete(weakest.digest);
  }
}

function lastEndMs(ends: Ends): number {
  let lastMs = -Infinity;
  for (const { atMs } of ends.values()) lastMs = Math.max(lastMs, atMs);
  return lastMs;
}

/**
 * Counts sequential ends: those whose attempt began after the previously counted end. Servers that
 * end while attempts of one request run on all of them probably share another cause, such as a
 * failed rack. An attempt's time in a queue does not count as running.
 */
function countSequentialEnds(ends: Ends): number {
  const inOrder = [...ends.values()].sort((a, b) => a.atMs - b.atMs);
  let count = 0;
  let lastMs = -Infinity;
  for (const { atMs, answeringMs, runMs } of inOrder) {
    const ranMs = Math.max(0, (answeringMs ?? runMs) - TIMING_ERROR_MS);
    if (atMs - ranMs < lastMs) continue;
    count++;
    lastMs = atMs;
  }
  return count;
}

/**
 * Compares two requests on the same server. A server ends soon after it begins the request that
 * causes the end, so the one that began most recently is the likelier cause; requests that had not
 * begun are the least likely.
 */
function isMoreLikelyCause(end: ServerEnd, other: ServerEnd): boolean {
  return (end.answeringMs ?? Infinity) < (other.answeringMs ?? Infinity);
}

function isWeaker(ends: Ends, other: Ends): boolean {
  if (ends.size !== other.size) return ends.size < other.size;
  return lastEndMs(ends) < lastEndMs(other);
}
