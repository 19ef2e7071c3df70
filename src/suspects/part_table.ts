/**
 * Tracks which parts of prompts were in requests that ran on backend servers when these crashed, and
 * quarantines parts that probably crash every server. Such a part never appears in a successful
 * answer, so each answer clears the parts of its prompt. A part that comes only together with the
 * cause shares all its crashes and can't be told from it; a request that has one of them and not the
 * other decides.
 */
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { Suspect, SuspectList } from "./suspect.ts";

/** Number of crashes, without a successful answer since, at which a part is quarantined. */
export const CRASHES_TO_QUARANTINE = 5;
/** Number of crashes from which a part is gossiped repeatedly and persisted in the store. */
export const MIN_SHARED_CRASHES = 3;
/** Crashes closer together than this may have one cause, such as a failed rack. */
const SAME_MOMENT_MS = 250;
/** Number of different moments at which servers must have crashed. */
const MIN_MOMENTS = 2;
/** Two reports of a crash of the same server process, closer together than this, are about one crash. */
const SAME_CRASH_MS = 1500;
/**
 * Number of crashes that a part must have beyond those of another part before the other one no longer
 * counts as a possible cause.
 */
const MIN_LEAD = 2;
/** A part in an answer this short a time before a crash was not the crash's cause. */
const RECENT_ANSWER_MS = 2000;
/** Time from the last crash until a quarantined part is tried again; doubles with each further crash. */
const QUARANTINE_MS = 600_000;
const MAX_DOUBLINGS = 5;
/** Time from the last crash until a quarantined part, or one with fewer crashes, is forgotten. */
const QUARANTINED_EXPIRY_MS = 86_400_000;
const EXPIRY_MS = 600_000;
/** Interval at which expired parts are dropped. */
const SWEEP_MS = 10_000;
/** Maximum number of suspected parts; those with the fewest, then the oldest, crashes are evicted. */
const MAX_PARTS = 2048;
/** Maximum number of crashes kept per part; the oldest are dropped. */
const MAX_CRASHES = 16;
/** Maximum number of parts whose last answer is remembered. */
const MAX_ANSWERED = 4096;

/** A crash of a server process. */
export interface Crash {
  /** Id and incarnation of the server. */
  server: string;
  /** When it crashed, by this process's monotonic clock. */
  atMs: number;
}

/** Assessment of a request by the parts of its prompt. */
export type PartVerdict =
  | { kind: "clear" }
  /** The part, or another one that the request lacks, is the cause; only running it can tell. */
  | { kind: "ambiguous"; part: string; crashCount: number }
  /** The part's quarantine is over, and it has not been tried since. */
  | { kind: "due"; part: string; crashCount: number }
  | { kind: "quarantined"; part: string; crashCount: number; leftMs: number };

/** A crash as stored; all parts that it concerns refer to the same object. */
interface KnownCrash extends Crash {
  /** The time was told by this process's clock or as an age, not by another instance's clock. */
  isExact: boolean;
}

const CLEAR: PartVerdict = { kind: "clear" };

/** Table of suspected parts. */
export class PartTable implements SuspectList {
  readonly #clock: Clock;
  /** Crashes by part. */
  readonly #crashes = new Map<string, Set<KnownCrash>>();
  readonly #byServer = new Map<string, KnownCrash[]>();
  #sweptAtMs = -Infinity;
  /** When a successful answer to a prompt with the part was last seen. */
  readonly #answeredAtMs = LRUMap.create<string, number>(MAX_ANSWERED);

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock for the age of crashes and answers.
   * @returns A table without suspects.
   */
  static create(clock: Clock): PartTable {
    return new PartTable(clock);
  }

  /** Number of suspected parts. */
  get size(): number {
    return this.#crashes.size;
  }

  /**
   * Records that a server crashed while it ran requests with these parts.
   *
   * @param crash The crash, by this process's clock or with an age that another process told.
   * @param parts Ids of the parts.
   * @returns Those that were recorded; not those for which it is known or expired, or which were
   *   answered shortly before or since.
   */
  record(crash: Crash, parts: readonly string[]): string[] {
    return this.#add({ ...crash, isExact: true }, parts);
  }

  /**
   * Records a crash whose time may be off by the difference of two instances' clocks.
   *
   * @param crash The crash.
   * @param parts Ids of the parts.
   * @returns Those that were recorded.
   */
  restore(crash: Crash, parts: readonly string[]): string[] {
    return this.#add({ ...crash, isExact: false }, parts);
  }

  /**
   * Records a successful answer to a prompt with the part, which clears it of earlier crashes.
   *
   * @param part Id of the part.
   * @param atMs Time of the answer.
   * @returns Whether the part was suspected.
   */
  clear(part: string, atMs: number): boolean {
    const before = this.#answeredAtMs.get(part) ?? -Infinity;
    this.#answeredAtMs.set(part, Math.max(before, atMs));
    const crashes = this.#crashes.get(part);
    if (!crashes) return false;
    for (const crash of crashes) {
      if (crash.atMs <= atMs) crashes.delete(crash);
    }
    if (crashes.size === 0) this.#crashes.delete(part);
    return true;
  }

  isCleared(part: string): boolean {
    return this.#answeredAtMs.get(part) !== undefined &&
      !this.#crashes.has(part);
  }

  /**
   * @param parts Ids of the parts of a prompt.
   * @returns The current assessment of requests with the prompt.
   */
  verdict(parts: readonly string[]): PartVerdict {
    let open: PartVerdict = CLEAR;
    for (const part of parts) {
      const crashes = this.#crashes.get(part);
      if (!crashes || !isSerious(crashes)) continue;
      const crashCount = crashes.size;
      const leftMs = this.#quarantineLeftMs(crashes);
      if (this.#hasRivalBeside(parts, crashes)) {
        open = { kind: "ambiguous", part, crashCount };
      } else if (leftMs > 0) {
        return { kind: "quarantined", part, crashCount, leftMs };
      } else {
        open = { kind: "due", part, crashCount };
      }
    }
    return open;
  }

  suspects(minCrashes: number): Suspect[] {
    const found: Suspect[] = [];
    for (const [digest, crashes] of this.#crashes) {
      if (crashes.size < minCrashes || this.#isExpired(crashes)) continue;
      // How long each run took is not tracked for parts.
      const ends = [...crashes].map(({ server, atMs }) => ({
        server,
        atMs,
        runMs: 0,
      }));
      found.push({ digest, ends });
    }
    return found.sort((a, b) => b.ends.length - a.ends.length);
  }

  #add(reported: KnownCrash, parts: readonly string[]): string[] {
    const ageMs = this.#clock.nowMs() - reported.atMs;
    if (ageMs >= QUARANTINED_EXPIRY_MS) return [];
    this.#dropExpired();
    const crash = this.#intern(reported);
    return parts.filter((part) => {
      const answeredAtMs = this.#answeredAtMs.get(part) ?? -Infinity;
      if (crash.atMs - answeredAtMs < RECENT_ANSWER_MS) return false;
      const crashes = this.#crashes.get(part) ?? new Set();
      if (crashes.has(crash)) return false;
      this.#crashes.set(part, crashes.add(crash));
      if (crashes.size > MAX_CRASHES) dropOldest(crashes);
      if (this.#crashes.size > MAX_PARTS) this.#evictWeakest();
      return this.#crashes.has(part);
    });
  }

  /** Drops expired parts, and crashes that concern no part any more. */
  #dropExpired(): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#sweptAtMs < SWEEP_MS) return;
    this.#sweptAtMs = nowMs;
    const inUse = new Set<KnownCrash>();
    for (const [part, crashes] of this.#crashes) {
      if (this.#isExpired(crashes)) this.#crashes.delete(part);
      else for (const crash of crashes) inUse.add(crash);
    }
    for (const [server, crashes] of this.#byServer) {
      const kept = crashes.filter((crash) => inUse.has(crash));
      if (kept.length > 0) this.#byServer.set(server, kept);
      else this.#byServer.delete(server);
    }
  }

  /** Returns the stored crash that a report is about, so that all its parts share it. */
  #intern(reported: KnownCrash): KnownCrash {
    const crashes = this.#byServer.get(reported.server) ?? [];
    const known = crashes.find((crash) => isSameCrash(crash, reported));
    if (known) return known;
    this.#byServer.set(reported.server, [...crashes, reported]);
    return reported;
  }

  /** Whether another part, which the prompt lacks, explains all crashes but less than a lead. */
  #hasRivalBeside(
    parts: readonly string[],
    crashes: ReadonlySet<KnownCrash>,
  ): boolean {
    for (const [other, others] of this.#crashes) {
      if (others.size + MIN_LEAD <= crashes.size) continue;
      if (parts.includes(other) || this.#isExpired(others)) continue;
      let lead = 0;
      for (const crash of crashes) if (!others.has(crash)) lead++;
      if (lead < MIN_LEAD) return true;
    }
    return false;
  }

  #quarantineLeftMs(crashes: ReadonlySet<KnownCrash>): number {
    const further = crashes.size - CRASHES_TO_QUARANTINE;
    const forMs = QUARANTINE_MS * 2 ** Math.min(further, MAX_DOUBLINGS);
    return lastAtMs(crashes) + forMs - this.#clock.nowMs();
  }

  #isExpired(crashes: ReadonlySet<KnownCrash>): boolean {
    const expiryMs = isSerious(crashes) ? QUARANTINED_EXPIRY_MS : EXPIRY_MS;
    return this.#clock.nowMs() - lastAtMs(crashes) >= expiryMs;
  }

  #evictWeakest(): void {
    let weakest: [string, ReadonlySet<KnownCrash>] | undefined;
    for (const row of this.#crashes) {
      if (!weakest || isWeaker(row[1], weakest[1])) weakest = row;
    }
    if (weakest) this.#crashes.delete(weakest[0]);
  }
}

/** Whether the crashes suffice for a quarantine, if no other part explains them. */
function isSerious(crashes: ReadonlySet<KnownCrash>): boolean {
  return crashes.size >= CRASHES_TO_QUARANTINE &&
    countMoments(crashes) >= MIN_MOMENTS;
}

function countMoments(crashes: ReadonlySet<KnownCrash>): number {
  const times = [...crashes].map(({ atMs }) => atMs).sort((a, b) => a - b);
  let count = 0;
  let lastMs = -Infinity;
  for (const atMs of times) {
    if (atMs - lastMs < SAME_MOMENT_MS) continue;
    count++;
    lastMs = atMs;
  }
  return count;
}

/** Whether two reports about the same server process are about one crash. */
function isSameCrash(known: KnownCrash, crash: KnownCrash): boolean {
  if (!known.isExact || !crash.isExact) return true;
  return Math.abs(known.atMs - crash.atMs) < SAME_CRASH_MS;
}

function lastAtMs(crashes: ReadonlySet<KnownCrash>): number {
  let lastMs = -Infinity;
  for (const { atMs } of crashes) lastMs = Math.max(lastMs, atMs);
  return lastMs;
}

function dropOldest(crashes: Set<KnownCrash>): void {
  let oldest: KnownCrash | undefined;
  for (const crash of crashes) {
    if (!oldest || crash.atMs < oldest.atMs) oldest = crash;
  }
  if (oldest) crashes.delete(oldest);
}

function isWeaker(
  crashes: ReadonlySet<KnownCrash>,
  other: ReadonlySet<KnownCrash>,
): boolean {
  if (crashes.size !== other.size) return crashes.size < other.size;
  return lastAtMs(crashes) < lastAtMs(other);
}
