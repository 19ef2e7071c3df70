/**
 * Requests under which backend servers ended, each known by its digest. One that ends server after
 * server is quarantined. Being there when a server ends proves nothing: all that ran there is
 * suspected, so an end counts only for the request that explains it best, a good answer clears a
 * request, and what is known is forgotten some time after the last end.
 */
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";

/** Ends of servers under a request before it is quarantined. */
export const ENDS_TO_QUARANTINE = 3;
/** Ends from which on a request is told of again and again, and kept in the store. */
export const SERIOUS_ENDS = 2;
/** A run that has brought output for this long is past what could have ended its server. */
export const SETTLED_MS = 1000;
/** What entries tell each other of times is so far off, with the way that it takes. */
const SKEW_MS = 100;
/** Ends beyond these add nothing to a verdict. */
const MAX_ENDS = 8;
/** Ends among them that no other suspect explains better. */
const LEAST_UNEXPLAINED = 2;
/** Time from the last end until a request is tried again. */
const FORGET_MS = 600_000;
/** Requests that are suspected at a time; those with the fewest and oldest ends are left out. */
const MAX_SUSPECTS = 1024;

/** A server that ended while it had a request. */
export interface ServerEnd {
  /** Id and start of the server. */
  server: string;
  /** Time since the server had begun to answer the request; left out: it had not. */
  answeringMs?: number;
  /** By this process's clock. */
  atMs: number;
  /** Time from when it was sent there. */
  runMs: number;
}

/** What is known of one request. */
export interface Suspect {
  digest: string;
  ends: readonly ServerEnd[];
}

/** What is thought of a request. */
export type Verdict =
  | { kind: "clear" }
  | { kind: "suspected"; endCount: number }
  | { kind: "quarantined"; endCount: number; leftMs: number };

const CLEAR: Verdict = { kind: "clear" };

/** By server. */
type Ends = Map<string, ServerEnd>;

/** A request's ends, and how many came one after the other. */
interface Row {
  ends: Ends;
  endCount: number;
}

/** Requests that are suspected. */
export class SuspectTable {
  readonly #clock: Clock;
  readonly #suspects = new Map<string, Row>();
  /** When requests were answered well; ends before that say nothing. */
  readonly #clearedAtMs = LRUMap.create<string, number>(MAX_SUSPECTS);

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Tells the age of ends.
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
   * @param digest A request.
   * @param end A server that ended under it.
   * @returns Whether this was news.
   */
  note(digest: string, end: ServerEnd): boolean {
    if (this.#isForgotten(end.atMs)) return false;
    if (end.atMs <= (this.#clearedAtMs.get(digest) ?? -Infinity)) return false;
    const ends: Ends = this.#suspects.get(digest)?.ends ?? new Map();
    if (ends.has(end.server) || ends.size >= MAX_ENDS) return false;
    ends.set(end.server, end);
    this.#suspects.set(digest, { ends, endCount: countInTurn(ends) });
    if (this.#suspects.size > MAX_SUSPECTS) this.#leaveOut();
    return this.#suspects.has(digest);
  }

  /**
   * A server has answered a request well.
   *
   * @param digest The request.
   * @param atMs When; later ends count.
   * @returns Whether it was suspected.
   */
  clear(digest: string, atMs: number): boolean {
    const before = this.#clearedAtMs.get(digest) ?? -Infinity;
    this.#clearedAtMs.set(digest, Math.max(before, atMs));
    const row = this.#suspects.get(digest);
    if (!row) return false;
    for (const [server, end] of row.ends) {
      if (end.atMs <= atMs) row.ends.delete(server);
    }
    row.endCount = countInTurn(row.ends);
    if (row.endCount === 0) this.#suspects.delete(digest);
    return true;
  }

  /**
   * @param digest A request.
   * @returns When it was last known to be answered well.
   */
  clearedAtMs(digest: string): number | undefined {
    return this.#clearedAtMs.get(digest);
  }

  /**
   * @param digest A request.
   * @returns What is thought of it.
   */
  verdict(digest: string): Verdict {
    const row = this.#suspects.get(digest);
    if (!row) return CLEAR;
    const leftMs = this.#leftMs(row.ends);
    if (leftMs <= 0) {
      this.#suspects.delete(digest);
      return CLEAR;
    }
    const { endCount } = row;
    return endCount >= ENDS_TO_QUARANTINE && this.#isLikelyCause(digest, row)
      ? { kind: "quarantined", endCount, leftMs }
      : { kind: "suspected", endCount };
  }

  /**
   * @param leastEnds Servers that must have ended under a request.
   * @returns Such requests, those with most ends first.
   */
  suspects(leastEnds: number): Suspect[] {
    const found: Suspect[] = [];
    for (const [digest, { ends }] of this.#suspects) {
      if (ends.size < leastEnds || this.#leftMs(ends) <= 0) continue;
      found.push({ digest, ends: [...ends.values()] });
    }
    return found.sort((a, b) => b.ends.length - a.ends.length);
  }

  #isForgotten(atMs: number): boolean {
    return this.#clock.nowMs() - atMs >= FORGET_MS;
  }

  #leftMs(ends: Ends): number {
    return lastOf(ends) + FORGET_MS - this.#clock.nowMs();
  }

  /** Requests that merely ran beside the cause share its ends, and have few others. */
  #isLikelyCause(digest: string, row: Row): boolean {
    const unexplained: Ends = new Map();
    for (const [server, end] of row.ends) {
      if (!this.#isExplained(digest, row, end)) unexplained.set(server, end);
    }
    return countInTurn(unexplained) >= LEAST_UNEXPLAINED;
  }

  #isExplained(digest: string, { endCount }: Row, end: ServerEnd): boolean {
    for (const [otherDigest, { ends, endCount: count }] of this.#suspects) {
      if (count < ENDS_TO_QUARANTINE || count < endCount) continue;
      const other = ends.get(end.server);
      if (!other || otherDigest === digest) continue;
      if (count > endCount || isLikelier(other, end)) return true;
    }
    return false;
  }

  #leaveOut(): void {
    let least: { digest: string; ends: Ends } | undefined;
    for (const [digest, { ends }] of this.#suspects) {
      if (!least || isWeaker(ends, least.ends)) least = { digest, ends };
    }
    if (least) this.#suspects.delete(least.digest);
  }
}

function lastOf(ends: Ends): number {
  let lastMs = -Infinity;
  for (const { atMs } of ends.values()) lastMs = Math.max(lastMs, atMs);
  return lastMs;
}

/**
 * Counts ends that came one after the other. Servers that end while attempts of one request run at
 * all of them have a cause of their own, such as their rack; attempts that waited did not run.
 */
function countInTurn(ends: Ends): number {
  const inOrder = [...ends.values()].sort((a, b) => a.atMs - b.atMs);
  let count = 0;
  let lastMs = -Infinity;
  for (const { atMs, answeringMs, runMs } of inOrder) {
    const ranMs = Math.max(0, (answeringMs ?? runMs) - SKEW_MS);
    if (atMs - ranMs < lastMs) continue;
    count++;
    lastMs = atMs;
  }
  return count;
}

/** A server ends soon after it has begun what ends it; most of the others wait, or are under way. */
function isLikelier(end: ServerEnd, than: ServerEnd): boolean {
  return (end.answeringMs ?? Infinity) < (than.answeringMs ?? Infinity);
}

function isWeaker(ends: Ends, other: Ends): boolean {
  if (ends.size !== other.size) return ends.size < other.size;
  return lastOf(ends) < lastOf(other);
}
