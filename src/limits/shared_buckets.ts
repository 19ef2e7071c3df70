/** The shared buckets of all workspaces at one process, and the reports that processes exchange. */
import type { Clock } from "../base/mod.ts";
import {
  type BucketMembers,
  type RateLimit,
  SharedBucket,
} from "./shared_bucket.ts";

/** One bucket in a report: its name, the total that the process has taken, and the level. */
export type BucketRow = [string, number, number];

/** Whether a request is admitted. */
export type BucketVerdict =
  | { kind: "admitted" }
  /** The request was not run; the tokens should be available after this time. */
  | { kind: "refused"; retryAfterMs: number };

/** Number of times that each change is sent, since datagrams may be lost. */
const SENDS_PER_CHANGE = 3;
/** Bounds the rows of one datagram; the others wait for the next. */
const MAX_ROWS_PER_DATAGRAM = 40;
/** Bounds the rows of one datagram whose changes were already sent {@link SENDS_PER_CHANGE} times. */
const MAX_UNCHANGED_ROWS = 4;
/** Lifetime of the cached member count, which every request and datagram reads. */
const MEMBER_COUNT_TTL_MS = 50;
/** A silent process keeps its part of each rate for this long, then it is removed. */
const SILENT_MEMBER_TTL_MS = 20_000;
/** A process counts as older if its wall-clock start time is more than this earlier. */
const OLDER_MARGIN_MS = 1000;
/** Largest random delay added to a retry time, so that refused callers don't retry together. */
const RETRY_JITTER_MS = 500;

/** Settings of {@link SharedBuckets}. */
export interface SharedBucketsOptions {
  clock: Clock;
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** Processes that may be running, including this one. */
  memberCount(): number;
}

/** Report of another process. */
export interface MemberReport {
  /** When the process started, in ms since 1970 by its own clock. */
  startedAtMs: number;
  rows: readonly BucketRow[];
}

/** State of a bucket, for state dumps. */
export interface BucketState extends RateLimit {
  name: string;
  level: number;
  ownTotal: number;
  refused: number;
}

interface TrackedBucket {
  bucket: SharedBucket;
  sendsLeft: number;
  refused: number;
}

/** Shared buckets by name. */
export class SharedBuckets {
  readonly #options: SharedBucketsOptions;
  readonly #startedAtMs: number;
  readonly #tracked = new Map<string, TrackedBucket>();
  readonly #lastHeardAtMs = new Map<string, number>();
  readonly #memberStartedAtMs = new Map<string, number>();
  readonly #members: BucketMembers;
  #cachedCount = 1;
  #cachedCountAtMs = -Infinity;

  private constructor(options: SharedBucketsOptions) {
    this.#options = options;
    this.#startedAtMs = Math.round(options.clock.wallMs());
    const count = () => this.#memberCount();
    this.#members = {
      get count() {
        return count();
      },
      lastHeardAtMs: this.#lastHeardAtMs,
    };
  }

  /**
   * @param options Clock, randomness and processes.
   * @returns An empty set of buckets.
   */
  static create(options: SharedBucketsOptions): SharedBuckets {
    return new SharedBuckets(options);
  }

  /** When this process started, in ms since 1970. */
  get startedAtMs(): number {
    return this.#startedAtMs;
  }

  /** @param limits The new limits by name; buckets of other names are removed. */
  setLimits(limits: ReadonlyMap<string, RateLimit>): void {
    const nowMs = this.#options.clock.nowMs();
    for (const name of this.#tracked.keys()) {
      if (!limits.has(name)) this.#tracked.delete(name);
    }
    for (const [name, limit] of limits) {
      const known = this.#tracked.get(name);
      if (known) known.bucket.resize(limit, nowMs);
      else this.#track(name, limit, nowMs);
    }
  }

  /**
   * @param name Name of the bucket; a name without a limit admits all requests.
   * @param count Tokens that the request needs.
   * @returns Whether the request is admitted; the tokens have then been taken.
   */
  tryTake(name: string, count: number): BucketVerdict {
    const tracked = this.#tracked.get(name);
    if (!tracked) return { kind: "admitted" };
    const { clock, random } = this.#options;
    const nowMs = clock.nowMs();
    if (tracked.bucket.tryTake(count, nowMs)) {
      tracked.sendsLeft = SENDS_PER_CHANGE;
      return { kind: "admitted" };
    }
    tracked.refused++;
    const availableInMs = tracked.bucket.reserveRetry(count, nowMs);
    const retryAfterMs = availableInMs + RETRY_JITTER_MS * random();
    return { kind: "refused", retryAfterMs };
  }

  /**
   * @param name Name of the bucket.
   * @param count Tokens to take regardless of the level; a negative count returns tokens.
   */
  take(name: string, count: number): void {
    const tracked = this.#tracked.get(name);
    if (!tracked) return;
    tracked.bucket.take(count, this.#options.clock.nowMs());
    tracked.sendsLeft = SENDS_PER_CHANGE;
  }

  /** Whether a change was sent fewer than {@link SENDS_PER_CHANGE} times. */
  get hasUnsentChanges(): boolean {
    for (const { sendsLeft } of this.#tracked.values()) {
      if (sendsLeft > 0) return true;
    }
    return false;
  }

  /** @returns Rows of the next report: changes, and some unchanged buckets for new processes. */
  takeRows(): BucketRow[] {
    const nowMs = this.#options.clock.nowMs();
    const rows: BucketRow[] = [];
    let unchangedCount = 0;
    for (const [name, tracked] of [...this.#tracked]) {
      if (rows.length === MAX_ROWS_PER_DATAGRAM) break;
      const { bucket, sendsLeft } = tracked;
      if (sendsLeft === 0 && unchangedCount++ >= MAX_UNCHANGED_ROWS) continue;
      rows.push([name, bucket.total, Math.round(bucket.level(nowMs))]);
      bucket.markReported();
      tracked.sendsLeft = Math.max(0, sendsLeft - 1);
      // Moves the bucket to the end, so that buckets left out come first in the next report.
      this.#tracked.delete(name);
      this.#tracked.set(name, tracked);
    }
    return rows;
  }

  /**
   * @param address Another process.
   * @param report Its report; ignored if it is from before a restart of that process.
   */
  applyReport(address: string, { startedAtMs, rows }: MemberReport): void {
    const nowMs = this.#options.clock.nowMs();
    const previousStartedAtMs = this.#memberStartedAtMs.get(address);
    if (
      previousStartedAtMs !== undefined && startedAtMs < previousStartedAtMs
    ) return;
    const hasRestarted = previousStartedAtMs !== undefined &&
      startedAtMs > previousStartedAtMs;
    const isOlder = startedAtMs + OLDER_MARGIN_MS < this.#startedAtMs;
    this.#memberStartedAtMs.set(address, startedAtMs);
    this.#lastHeardAtMs.set(address, nowMs);
    const reports = new Map(
      rows.map(([name, total, level]) => [name, { total, level }]),
    );
    for (const [name, { bucket }] of this.#tracked) {
      if (hasRestarted) bucket.resetMember(address);
      bucket.applyReport(address, reports.get(name), { nowMs, isOlder });
    }
    this.#forgetSilentMembers(nowMs);
  }

  /** @returns The state of each bucket, for state dumps. */
  state(): BucketState[] {
    const nowMs = this.#options.clock.nowMs();
    return [...this.#tracked].map(([name, { bucket, refused }]) => ({
      name,
      ...bucket.limit,
      level: Math.round(bucket.level(nowMs)),
      ownTotal: bucket.total,
      refused,
    }));
  }

  #memberCount(): number {
    const { clock, memberCount } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#cachedCountAtMs >= MEMBER_COUNT_TTL_MS) {
      this.#cachedCountAtMs = nowMs;
      this.#cachedCount = memberCount();
    }
    return this.#cachedCount;
  }

  #track(name: string, limit: RateLimit, nowMs: number): void {
    const members = this.#members;
    const bucket = SharedBucket.create({ limit, members, nowMs });
    this.#tracked.set(name, { bucket, sendsLeft: 0, refused: 0 });
  }

  #forgetSilentMembers(nowMs: number): void {
    for (const [address, heardAtMs] of this.#lastHeardAtMs) {
      if (nowMs - heardAtMs <= SILENT_MEMBER_TTL_MS) continue;
      this.#lastHeardAtMs.delete(address);
      for (const { bucket } of this.#tracked.values()) bucket.forget(address);
    }
  }
}
