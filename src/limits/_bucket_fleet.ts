/** Simulates entries that share one workspace's limit by several strategies, in virtual time. */
import type { Clock } from "../base/mod.ts";
import { poisson, seededRandom } from "../base/random.ts";
import { gossipIntervalFor } from "../router/gossip_interval.ts";
import { type MemberReport, SharedBuckets } from "./shared_buckets.ts";
import type { RateLimit } from "./shared_bucket.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Strategies to enforce one limit at all entries together. */
export const SharingStrategy = {
  /** Each entry has an equal part of the limit. */
  even: "even",
  /** Each entry deducts only the usage that others have reported, without estimates. */
  reportedOnly: "told_only",
  /** The entries use {@link SharedBuckets}. */
  shared: "shared",
} as const;

/** One of {@link SharingStrategy}. */
export type SharingStrategy =
  typeof SharingStrategy[keyof typeof SharingStrategy];

/** Settings of a {@link BucketFleet}. */
export interface BucketFleetOptions {
  strategy: SharingStrategy;
  entryCount: number;
  limit: RateLimit;
  seed: number;
}

/** Tokens that a simulated fleet has admitted. */
export interface BucketFleetResult {
  /** Most tokens taken in any window, and the tokens that the limit allows in a window. */
  windowTaken: number;
  windowAllowed: number;
  requested: number;
  taken: number;
  /** Tokens that a single bucket for all entries would have admitted. */
  ideal: number;
}

/** One simulated entry. */
export interface BucketEntry {
  address: string;
  isUp: boolean;
  /** Entries in different partitions get no reports of each other. */
  partition: number;
  /** Relative weight of this entry's part of the load. */
  demand: number;
}

interface SimulatedEntry extends BucketEntry {
  buckets: SharedBuckets;
  even: TokenBucket;
  nextReportAtMs: number;
  clockSkewMs: number;
}

interface Datagram {
  dueAtMs: number;
  from: string;
  to: SimulatedEntry;
  report: MemberReport;
}

const BUCKET_NAME = "workspace";
const TICK_MS = 10;
const WINDOW_MS = 8000;
const LOSS_RATE = 0.03;
const MAX_DELAY_MS = 20;
const MAX_CLOCK_SKEW_MS = 400;
/** Request sizes in tokens; each element is equally likely. */
const REQUEST_SIZES = [
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
const MEAN_REQUEST_SIZE = REQUEST_SIZES.reduce((sum, size) => sum + size, 0) /
  REQUEST_SIZES.length;

/** A simulated fleet in which each entry has its own copy of the bucket. */
export class BucketFleet {
  readonly #options: BucketFleetOptions;
  readonly #random: () => number;
  readonly #entries: SimulatedEntry[] = [];
  readonly #clock: Clock;
  #limit: RateLimit;
  #singleBucket: TokenBucket;
  #nowMs = 100_000;
  #datagrams: Datagram[] = [];
  /** Tokens taken in each tick. */
  readonly #takenPerTick: number[] = [];
  #requested = 0;
  #ideal = 0;

  private constructor(options: BucketFleetOptions) {
    this.#options = options;
    this.#limit = options.limit;
    this.#random = seededRandom(options.seed);
    this.#clock = this.#createClock(0);
    this.#singleBucket = this.#createSingleBucket();
    for (let i = 0; i < options.entryCount; i++) this.#addEntry(i);
  }

  /**
   * @param options Strategy, sizes and seed.
   * @returns A fleet whose entries have just started.
   */
  static create(options: BucketFleetOptions): BucketFleet {
    return new BucketFleet(options);
  }

  /** All entries, including those that are down. */
  get entries(): readonly BucketEntry[] {
    return this.#entries;
  }

  /** @param limit The new limit of all entries; also clears the tokens counted so far. */
  setLimit(limit: RateLimit): void {
    this.#limit = limit;
    this.#singleBucket.resize(limit.perSecond, limit.burst);
    for (const entry of this.#entries) this.#configure(entry);
    this.#takenPerTick.length = 0;
  }

  /** @param address An entry that starts again, without the state that it had. */
  restart(address: string): void {
    const entry = this.#entries.find((one) => one.address === address)!;
    entry.buckets = this.#createBuckets(entry.clockSkewMs);
    entry.even = this.#createEvenBucket();
    this.#configure(entry);
    entry.isUp = true;
  }

  /**
   * @param ms Virtual time to simulate.
   * @param perSecond Tokens per second requested from all entries, in proportion to their demands.
   */
  run(ms: number, perSecond: number): void {
    for (let timeMs = 0; timeMs < ms; timeMs += TICK_MS) this.#tick(perSecond);
  }

  /** @returns The tokens requested and taken since the last reset. */
  result(): BucketFleetResult {
    const { perSecond, burst } = this.#limit;
    const ticks = WINDOW_MS / TICK_MS;
    let sum = 0;
    let windowTaken = 0;
    for (const [i, taken] of this.#takenPerTick.entries()) {
      sum += taken - (i >= ticks ? this.#takenPerTick[i - ticks]! : 0);
      windowTaken = Math.max(windowTaken, sum);
    }
    return {
      windowTaken,
      windowAllowed: perSecond * WINDOW_MS / 1000 + burst,
      requested: this.#requested,
      taken: this.#takenPerTick.reduce((total, taken) => total + taken, 0),
      ideal: this.#ideal,
    };
  }

  /** Clears the counts of requested and taken tokens. */
  reset(): void {
    this.#takenPerTick.length = 0;
    this.#requested = 0;
    this.#ideal = 0;
  }

  #tick(perSecond: number): void {
    this.#nowMs += TICK_MS;
    this.#takenPerTick.push(0);
    this.#deliverReports();
    const up = this.#entries.filter(({ isUp }) => isUp);
    const demand = up.reduce((sum, entry) => sum + entry.demand, 0);
    for (const entry of up) {
      const share = demand > 0 ? entry.demand / demand : 0;
      const mean = perSecond * TICK_MS / 1000 * share / MEAN_REQUEST_SIZE;
      for (let left = poisson(mean, this.#random); left > 0; left--) {
        this.#send(entry);
      }
      if (this.#nowMs >= entry.nextReportAtMs) this.#sendReport(entry);
    }
  }

  #send(entry: SimulatedEntry): void {
    const size =
      REQUEST_SIZES[Math.floor(this.#random() * REQUEST_SIZES.length)]!;
    this.#requested += size;
    if (this.#singleBucket.tokens > 0) {
      this.#singleBucket.take(size);
      this.#ideal += size;
    }
    if (!this.#admits(entry, size)) return;
    this.#takenPerTick[this.#takenPerTick.length - 1]! += size;
  }

  #admits(entry: SimulatedEntry, size: number): boolean {
    if (this.#options.strategy === SharingStrategy.even) {
      if (entry.even.tokens <= 0) return false;
      entry.even.take(size);
      return true;
    }
    return entry.buckets.tryTake(BUCKET_NAME, size).kind === "admitted";
  }

  #sendReport(from: SimulatedEntry): void {
    const { entryCount, strategy } = this.#options;
    from.nextReportAtMs = this.#nowMs + gossipIntervalFor(entryCount);
    const report = {
      startedAtMs: from.buckets.startedAtMs,
      rows: from.buckets.takeRows(),
    };
    if (strategy === SharingStrategy.even) return;
    for (const to of this.#entries) {
      if (to === from || !to.isUp || to.partition !== from.partition) continue;
      if (this.#random() < LOSS_RATE) continue;
      const dueAtMs = this.#nowMs + this.#random() * MAX_DELAY_MS;
      this.#datagrams.push({ dueAtMs, from: from.address, to, report });
    }
  }

  #deliverReports(): void {
    const due = this.#datagrams.filter(({ dueAtMs }) => dueAtMs <= this.#nowMs);
    this.#datagrams = this.#datagrams.filter(({ dueAtMs }) =>
      dueAtMs > this.#nowMs
    );
    for (const { from, to, report } of due) {
      if (to.isUp) to.buckets.applyReport(from, report);
    }
  }

  #addEntry(index: number): void {
    const clockSkewMs = (this.#random() - 0.5) * 2 * MAX_CLOCK_SKEW_MS;
    const entry: SimulatedEntry = {
      address: `entry-${index}`,
      isUp: true,
      partition: 0,
      demand: 1,
      buckets: this.#createBuckets(clockSkewMs),
      even: this.#createEvenBucket(),
      nextReportAtMs: this.#nowMs +
        this.#random() * gossipIntervalFor(this.#options.entryCount),
      clockSkewMs,
    };
    this.#entries.push(entry);
    this.#configure(entry);
  }

  #configure({ buckets, even }: SimulatedEntry): void {
    const { entryCount } = this.#options;
    const { perSecond, burst } = this.#limit;
    buckets.setLimits(new Map([[BUCKET_NAME, this.#limit]]));
    even.resize(perSecond / entryCount, burst / entryCount);
  }

  #createBuckets(clockSkewMs: number): SharedBuckets {
    const { entryCount, strategy } = this.#options;
    const memberCount = () =>
      strategy === SharingStrategy.reportedOnly ? 1 : entryCount;
    const clock = this.#createClock(clockSkewMs);
    return SharedBuckets.create({ clock, random: this.#random, memberCount });
  }

  #createEvenBucket(): TokenBucket {
    const { entryCount } = this.#options;
    return TokenBucket.create({
      clock: this.#clock,
      perSecond: this.#limit.perSecond / entryCount,
      burst: this.#limit.burst / entryCount,
    });
  }

  #createSingleBucket(): TokenBucket {
    const { perSecond, burst } = this.#limit;
    return TokenBucket.create({ clock: this.#clock, perSecond, burst });
  }

  #createClock(clockSkewMs: number): Clock {
    return {
      nowMs: () => this.#nowMs,
      wallMs: () => this.#nowMs + clockSkewMs,
      sleep: () => Promise.resolve(),
    };
  }
}
