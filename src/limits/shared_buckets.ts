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
const TELLINGS = 3;
/** Rows in one datagram; the others wait for the next. */
const MAX_ROWS = 40;
/** Those of them that are no news. */
const MAX_RETOLD = 4;
/** Processes are counted this often; it is asked for with each request and datagram. */
const COUNT_MS = 50;
/** A silent process keeps its part of each rate for this long. */
const FORGET_MS = 20_000;
/** A process that started this much before another one has seen more. */
const OLDER_BY_MS = 1000;
/** Added to the time at which there is room, by chance, so that refused callers come apart. */
const RETRY_SPREAD_MS = 500;

/** What {@link SharedBuckets} work with. */
export interface SharedBucketsOptions {
  clock: Clock;
  /** 0 to 1. */
  random: () => number;
  /** Processes that may live, this one included. */
  memberCount(): number;
}

/** What another process tells. */
export interface BucketNews {
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

interface Tracked {
  bucket: SharedBucket;
  tellingsLeft: number;
  refused: number;
}

/** Buckets by name. */
export class SharedBuckets {
  readonly #options: SharedBucketsOptions;
  readonly #startedAtMs: number;
  readonly #tracked = new Map<string, Tracked>();
  readonly #heardAtMs = new Map<string, number>();
  readonly #startsAtMs = new Map<string, number>();
  readonly #members: BucketMembers;
  #counted = 1;
  #countedAtMs = -Infinity;

  private constructor(options: SharedBucketsOptions) {
    this.#options = options;
    this.#startedAtMs = Math.round(options.clock.wallMs());
    const count = () => this.#memberCount();
    this.#members = {
      get count() {
        return count();
      },
      heardAtMs: this.#heardAtMs,
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
      tracked.tellingsLeft = TELLINGS;
      return { kind: "admitted" };
    }
    tracked.refused++;
    const roomInMs = tracked.bucket.book(count, nowMs);
    const retryAfterMs = roomInMs + RETRY_SPREAD_MS * random();
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
    tracked.tellingsLeft = TELLINGS;
  }

  /** Whether something was taken that others were not told often enough. */
  get hasNews(): boolean {
    for (const { tellingsLeft } of this.#tracked.values()) {
      if (tellingsLeft > 0) return true;
    }
    return false;
  }

  /** @returns What is told next: news, and some of what was told before, for those that are new. */
  takeRows(): BucketRow[] {
    const nowMs = this.#options.clock.nowMs();
    const rows: BucketRow[] = [];
    let retold = 0;
    for (const [name, tracked] of [...this.#tracked]) {
      if (rows.length === MAX_ROWS) break;
      const { bucket, tellingsLeft } = tracked;
      if (tellingsLeft === 0 && retold++ >= MAX_RETOLD) continue;
      rows.push([name, bucket.total, Math.round(bucket.level(nowMs))]);
      bucket.told();
      tracked.tellingsLeft = Math.max(0, tellingsLeft - 1);
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
  hear(address: string, { startedAtMs, rows }: BucketNews): void {
    const nowMs = this.#options.clock.nowMs();
    const before = this.#startsAtMs.get(address);
    if (before !== undefined && startedAtMs < before) return;
    const isReborn = before !== undefined && startedAtMs > before;
    const isOlder = startedAtMs + OLDER_BY_MS < this.#startedAtMs;
    this.#startsAtMs.set(address, startedAtMs);
    this.#heardAtMs.set(address, nowMs);
    const told = new Map(
      rows.map(([name, total, level]) => [name, { total, level }]),
    );
    for (const [name, { bucket }] of this.#tracked) {
      if (isReborn) bucket.reborn(address);
      bucket.hear(address, told.get(name), { nowMs, isOlder });
    }
    this.#forgetSilent(nowMs);
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
    if (nowMs - this.#countedAtMs >= COUNT_MS) {
      this.#countedAtMs = nowMs;
      this.#counted = memberCount();
    }
    return this.#counted;
  }

  #track(name: string, limit: RateLimit, nowMs: number): void {
    const members = this.#members;
    const bucket = SharedBucket.create({ limit, members, nowMs });
    this.#tracked.set(name, { bucket, tellingsLeft: 0, refused: 0 });
  }

  #forgetSilent(nowMs: number): void {
    for (const [address, heardAtMs] of this.#heardAtMs) {
      if (nowMs - heardAtMs <= FORGET_MS) continue;
      this.#heardAtMs.delete(address);
      for (const { bucket } of this.#tracked.values()) bucket.forget(address);
    }
  }
}
