/** Entries that share one workspace's limit, in virtual time, under several ways to share it. */
import type { Clock } from "../base/mod.ts";
import { seededRandom } from "../base/random.ts";
import { tellPauseMs } from "../router/tell_pace.ts";
import { type BucketNews, SharedBuckets } from "./shared_buckets.ts";
import type { RateLimit } from "./shared_bucket.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Ways to keep a limit over all entries. */
export const SharingWay = {
  /** Each has an equal part. */
  even: "even",
  /** Each subtracts what others have told, and nothing else. */
  toldOnly: "told_only",
  /** As {@link SharedBuckets} do. */
  shared: "shared",
} as const;

/** One of {@link SharingWay}. */
export type SharingWay = typeof SharingWay[keyof typeof SharingWay];

/** Settings of a {@link BucketFleet}. */
export interface BucketFleetOptions {
  way: SharingWay;
  entryCount: number;
  limit: RateLimit;
  seed: number;
}

/** What a fleet has admitted. */
export interface BucketFleetResult {
  /** Most that was taken in a window, and what the limit allows in it without any slack. */
  windowTaken: number;
  windowAllowed: number;
  asked: number;
  taken: number;
  /** What one bucket for all would have admitted. */
  ideal: number;
}

/** One entry. */
export interface BucketEntry {
  address: string;
  isUp: boolean;
  /** Entries on different sides don't hear each other. */
  side: number;
  demand: number;
}

interface Running extends BucketEntry {
  buckets: SharedBuckets;
  even: TokenBucket;
  tellAtMs: number;
  skewMs: number;
}

interface Datagram {
  atMs: number;
  from: string;
  to: Running;
  news: BucketNews;
}

const NAME = "workspace";
const TICK_MS = 10;
const WINDOW_MS = 8000;
const LOSS = 0.03;
const DELAY_MAX_MS = 20;
const SKEW_MAX_MS = 400;
/** Sizes of requests, as often as they stand here. */
const SIZES = [
  2400,
  2400,
  2400,
  2400,
  2400,
  2400,
  2400,
  12_000,
  12_000,
  40_000,
];
const MEAN_SIZE = SIZES.reduce((sum, size) => sum + size, 0) / SIZES.length;

/** Entries with a copy of the bucket each. */
export class BucketFleet {
  readonly #options: BucketFleetOptions;
  readonly #random: () => number;
  readonly #entries: Running[] = [];
  readonly #clock: Clock;
  #limit: RateLimit;
  #oracle: TokenBucket;
  #nowMs = 100_000;
  #inFlight: Datagram[] = [];
  /** Taken in each tick. */
  readonly #taken: number[] = [];
  #asked = 0;
  #ideal = 0;

  private constructor(options: BucketFleetOptions) {
    this.#options = options;
    this.#limit = options.limit;
    this.#random = seededRandom(options.seed);
    this.#clock = this.#clockOf(0);
    this.#oracle = this.#createOracle();
    for (let i = 0; i < options.entryCount; i++) this.#add(i);
  }

  /**
   * @param options Way, sizes and seed.
   * @returns Entries that have just started.
   */
  static create(options: BucketFleetOptions): BucketFleet {
    return new BucketFleet(options);
  }

  /** The entries. */
  get entries(): readonly BucketEntry[] {
    return this.#entries;
  }

  /** @param limit The limit from now on, at all entries. */
  setLimit(limit: RateLimit): void {
    this.#limit = limit;
    this.#oracle.resize(limit.perSecond, limit.burst);
    for (const entry of this.#entries) this.#configure(entry);
    this.#taken.length = 0;
  }

  /** @param address An entry that ends, and starts again later. */
  restart(address: string): void {
    const entry = this.#entries.find((one) => one.address === address)!;
    entry.buckets = this.#createBuckets(entry.skewMs);
    entry.even = this.#createEven();
    this.#configure(entry);
    entry.isUp = true;
  }

  /**
   * @param ms Time that passes.
   * @param perSecond Tokens that are asked for over all entries, by their demands.
   */
  run(ms: number, perSecond: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) this.#tick(perSecond);
  }

  /** @returns What came of it. */
  result(): BucketFleetResult {
    const { perSecond, burst } = this.#limit;
    const ticks = WINDOW_MS / TICK_MS;
    let sum = 0;
    let most = 0;
    for (const [i, taken] of this.#taken.entries()) {
      sum += taken - (i >= ticks ? this.#taken[i - ticks]! : 0);
      most = Math.max(most, sum);
    }
    return {
      windowTaken: most,
      windowAllowed: perSecond * WINDOW_MS / 1000 + burst,
      asked: this.#asked,
      taken: this.#taken.reduce((total, taken) => total + taken, 0),
      ideal: this.#ideal,
    };
  }

  /** Counts asked, taken and ideal from now on. */
  reset(): void {
    this.#taken.length = 0;
    this.#asked = 0;
    this.#ideal = 0;
  }

  #tick(perSecond: number): void {
    this.#nowMs += TICK_MS;
    this.#taken.push(0);
    this.#deliver();
    const up = this.#entries.filter(({ isUp }) => isUp);
    const demand = up.reduce((sum, entry) => sum + entry.demand, 0);
    for (const entry of up) {
      const share = demand > 0 ? entry.demand / demand : 0;
      const mean = perSecond * TICK_MS / 1000 * share / MEAN_SIZE;
      for (let left = this.#poisson(mean); left > 0; left--) this.#ask(entry);
      if (this.#nowMs >= entry.tellAtMs) this.#tell(entry);
    }
  }

  #ask(entry: Running): void {
    const size = SIZES[Math.floor(this.#random() * SIZES.length)]!;
    this.#asked += size;
    if (this.#oracle.tokens > 0) {
      this.#oracle.take(size);
      this.#ideal += size;
    }
    if (!this.#admits(entry, size)) return;
    this.#taken[this.#taken.length - 1]! += size;
  }

  #admits(entry: Running, size: number): boolean {
    if (this.#options.way === SharingWay.even) {
      if (entry.even.tokens <= 0) return false;
      entry.even.take(size);
      return true;
    }
    return entry.buckets.tryTake(NAME, size).kind === "admitted";
  }

  #tell(entry: Running): void {
    const { entryCount, way } = this.#options;
    entry.tellAtMs = this.#nowMs + tellPauseMs(entryCount);
    const news = {
      startedAtMs: entry.buckets.startedAtMs,
      rows: entry.buckets.takeRows(),
    };
    if (way === SharingWay.even) return;
    for (const to of this.#entries) {
      if (to === entry || !to.isUp || to.side !== entry.side) continue;
      if (this.#random() < LOSS) continue;
      const atMs = this.#nowMs + this.#random() * DELAY_MAX_MS;
      this.#inFlight.push({ atMs, from: entry.address, to, news });
    }
  }

  #deliver(): void {
    const due = this.#inFlight.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#inFlight = this.#inFlight.filter(({ atMs }) => atMs > this.#nowMs);
    for (const { from, to, news } of due) {
      if (to.isUp) to.buckets.hear(from, news);
    }
  }

  #add(index: number): void {
    const skewMs = (this.#random() - 0.5) * 2 * SKEW_MAX_MS;
    const entry: Running = {
      address: `entry-${index}`,
      isUp: true,
      side: 0,
      demand: 1,
      buckets: this.#createBuckets(skewMs),
      even: this.#createEven(),
      tellAtMs: this.#nowMs +
        this.#random() * tellPauseMs(this.#options.entryCount),
      skewMs,
    };
    this.#entries.push(entry);
    this.#configure(entry);
  }

  #configure({ buckets, even }: Running): void {
    const { entryCount } = this.#options;
    const { perSecond, burst } = this.#limit;
    buckets.setLimits(new Map([[NAME, this.#limit]]));
    even.resize(perSecond / entryCount, burst / entryCount);
  }

  #createBuckets(skewMs: number): SharedBuckets {
    const { entryCount, way } = this.#options;
    const memberCount = () => way === SharingWay.toldOnly ? 1 : entryCount;
    const clock = this.#clockOf(skewMs);
    return SharedBuckets.create({ clock, random: this.#random, memberCount });
  }

  #createEven(): TokenBucket {
    const { entryCount } = this.#options;
    return TokenBucket.create({
      clock: this.#clock,
      perSecond: this.#limit.perSecond / entryCount,
      burst: this.#limit.burst / entryCount,
    });
  }

  #createOracle(): TokenBucket {
    const { perSecond, burst } = this.#limit;
    return TokenBucket.create({ clock: this.#clock, perSecond, burst });
  }

  #clockOf(skewMs: number): Clock {
    return {
      nowMs: () => this.#nowMs,
      wallMs: () => this.#nowMs + skewMs,
      sleep: () => Promise.resolve(),
    };
  }

  #poisson(mean: number): number {
    const limit = Math.exp(-mean);
    let count = 0;
    for (let left = this.#random(); left > limit; left *= this.#random()) {
      count++;
    }
    return count;
  }
}
