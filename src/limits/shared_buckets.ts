/** The shared buckets of all workspaces at one process, and what processes tell each other of them. */
import type { Clock } from "../base/mod.ts";
import {
  type BucketMembers,
  type RateLimit,
  SharedBucket,
} from "./shared_bucket.ts";

/** What a process tells of one bucket: its name, the total taken there, and its level. */
export type BucketRow = [string, number, number];

/** Whether a request may go on. */
export type BucketVerdict =
  | { kind: "admitted" }
  /** Not run; there is room for it then. */
  | { kind: "refused"; retryAfterMs: number };

/** Each change is told so often, as datagrams may be lost. */
const SENDS_PER_CHANGE = 3;
/** Rows in one datagram; the others wait for the next. */
const MAX_ROWS_PER_DATAGRAM = 40;
/** Those of them that are no news. */
const MAX_UNCHANGED_ROWS = 4;
/** Processes are counted this often; it is asked for with each request and datagram. */
const MEMBER_COUNT_TTL_MS = 50;
/** A silent process keeps its part of each rate for this long. */
const SILENT_MEMBER_TTL_MS = 20_000;
/** A process that started this much before another one has seen more. */
const OLDER_MARGIN_MS = 1000;
/** Added to the time at which there is room, by chance, so that refused callers come apart. */
const RETRY_JITTER_MS = 500;

/** What {@link SharedBuckets} work with. */
export interface SharedBucketsOptions {
  clock: Clock;
  /** 0 to 1. */
  random: () => number;
  /** Processes that may live, this one included. */
  memberCount(): number;
}

/** What another process tells. */
export interface MemberReport {
  /** When it started, since 1970, by its own clock. */
  startedAtMs: number;
  rows: readonly BucketRow[];
}

/** State of a bucket, for dumps. */
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

/** Buckets by name. */
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
   * @param options Clock and processes.
   * @returns No buckets.
   */
  static create(options: SharedBucketsOptions): SharedBuckets {
    return new SharedBuckets(options);
  }

  /** When this process started, since 1970. */
  get startedAtMs(): number {
    return this.#startedAtMs;
  }

  /** @param limits Limits in force from now on, by name; other names have none. */
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
   * @param name Whose bucket; one without a limit admits all.
   * @param count What the request takes.
   * @returns Whether it may go on; it has then taken it.
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
   * @param name Whose bucket.
   * @param count What is taken, whatever is left; negative: what is given back.
   */
  take(name: string, count: number): void {
    const tracked = this.#tracked.get(name);
    if (!tracked) return;
    tracked.bucket.take(count, this.#options.clock.nowMs());
    tracked.sendsLeft = SENDS_PER_CHANGE;
  }

  /** Whether something was taken that others were not told often enough. */
  get hasNews(): boolean {
    for (const { sendsLeft } of this.#tracked.values()) {
      if (sendsLeft > 0) return true;
    }
    return false;
  }

  /** @returns What is told next: news, and some of what was told before, for those that are new. */
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
      // Those that are left out come first next time.
      this.#tracked.delete(name);
      this.#tracked.set(name, tracked);
    }
    return rows;
  }

  /**
   * @param address Another process.
   * @param news What it tells.
   */
  hear(address: string, { startedAtMs, rows }: MemberReport): void {
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

  /** @returns The state of each bucket, for dumps. */
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
