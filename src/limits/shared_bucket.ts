/**
 * A token bucket shared by several processes, each with its own copy. Every process reports its total
 * to the others. Between two reports, a process is assumed to keep taking tokens at its average rate.
 * A process without recent reports is silent: each copy reserves an equal part of the rate for it, so
 * that both sides of a network partition together stay within the limit.
 */

/** Refill rate and capacity of a bucket, in the unit that requests are counted in. */
export interface RateLimit {
  perSecond: number;
  burst: number;
}

/** The processes that share a {@link SharedBucket}. */
export interface BucketMembers {
  /** Processes that may be running, including this one. */
  readonly count: number;
  /** When the last report of each other process arrived, by address. */
  readonly lastHeardAtMs: ReadonlyMap<string, number>;
}

/** Report of one process about one bucket. */
export interface BucketReport {
  /** Tokens that the process has taken from the bucket since its copy was created. */
  total: number;
  /** Level of the process's copy. */
  level: number;
}

/** Usage of another process, from its reports. */
interface MemberUsage {
  total: number;
  /** Exponential moving average of its rate, which estimates its usage between two reports. */
  perMs: number;
  /** When the last report arrived. */
  reportedAtMs: number;
  /** When the process became silent; undefined while it reports. */
  silentSinceMs?: number;
}

/** A process is silent after this time without a report; reports are at most 600 ms apart. */
export const SILENCE_TIMEOUT_MS = 850;
/** Interval between checks for silent processes. */
const SILENCE_CHECK_MS = 50;
/** Time constant of the moving average of a process's rate. */
const USAGE_AVERAGE_MS = 1000;
/** Refill discarded by a full bucket offsets usage reported late, up to this time's full refill. */
const OVERFLOW_CREDIT_MS = 400;
/** A process is isolated if silent processes leave it at most this part of the rate. */
const ISOLATED_SHARE = 0.2;
/** Largest request that an isolated process admits, as a multiple of its part of the burst. */
const ISOLATED_MAX_BURSTS = 2;
/** Tokens that all processes together may take between two reports, as a multiple of the level. */
const UNREPORTED_FACTOR = 3;
/** While the level exceeds this part of the burst, usage between two reports is not bounded. */
const AMPLE_LEVEL_SHARE = 0.4;
/** Initial level of the copies of all processes together, as a part of the burst. */
const INITIAL_BURST_SHARE = 0.25;
/** A copy younger than this adopts the level that an older process reports. */
const LEVEL_ADOPTION_MS = 1500;

/** Settings of a {@link SharedBucket}. */
export interface SharedBucketOptions {
  limit: RateLimit;
  members: BucketMembers;
  nowMs: number;
}

/** One process's copy of a shared token bucket. */
export class SharedBucket {
  readonly #members: BucketMembers;
  readonly #usages = new Map<string, MemberUsage>();
  /** Addresses of removed processes, which may report again without having restarted. */
  readonly #forgotten = new Set<string>();
  readonly #createdAtMs: number;
  #limit: RateLimit;
  #level: number;
  #updatedAtMs: number;
  #total = 0;
  /** Estimated rate of all other processes that are not silent. */
  #othersPerMs = 0;
  #checkedAtMs = -Infinity;
  /** Refill that the full bucket discarded, up to {@link OVERFLOW_CREDIT_MS}. */
  #overflow = 0;
  #hasAdoptedLevel = false;
  /** Tokens taken since the last report to the other processes. */
  #unreported = 0;
  /** Part of the rate that is reserved for silent processes. */
  #silentShare = 0;
  /** Tokens needed by refused requests that were told when to retry. */
  #retryBacklog = 0;

  private constructor({ limit, members, nowMs }: SharedBucketOptions) {
    this.#limit = limit;
    this.#members = members;
    this.#createdAtMs = nowMs;
    this.#updatedAtMs = nowMs;
    this.#level = limit.burst * INITIAL_BURST_SHARE /
      Math.max(1, members.count);
  }

  /**
   * @param options Limit and processes.
   * @returns A copy with this process's part of the initial level.
   */
  static create(options: SharedBucketOptions): SharedBucket {
    return new SharedBucket(options);
  }

  /** The current limit. */
  get limit(): RateLimit {
    return this.#limit;
  }

  /** Tokens that this process has taken since the copy was created. */
  get total(): number {
    return this.#total;
  }

  /**
   * @param limit New rate and capacity; tokens beyond the capacity are dropped.
   * @param nowMs The current time.
   */
  resize(limit: RateLimit, nowMs: number): void {
    this.#advance(nowMs);
    this.#limit = limit;
    this.#level = Math.min(this.#level, limit.burst);
  }

  /**
   * @param nowMs The current time.
   * @returns Available tokens; negative if more was taken than the limit allows.
   */
  level(nowMs: number): number {
    this.#advance(nowMs);
    return this.#level;
  }

  /**
   * Admits a request of any size while the level is positive, although the level may become
   * negative: if large requests had to wait for a high level, small ones would starve them.
   *
   * @param count Tokens that the request needs.
   * @param nowMs The current time.
   * @returns Whether the tokens were taken.
   */
  tryTake(count: number, nowMs: number): boolean {
    const level = this.level(nowMs);
    const isStartingUp = nowMs - this.#createdAtMs < SILENCE_TIMEOUT_MS &&
      this.#unheardCount() > 0;
    // Otherwise processes that start together could each take more than their level at once.
    const minLevel = isStartingUp ? Math.min(count, this.#limit.burst) : 0;
    if (level <= 0 || level < minLevel || this.#isTooLarge(count)) return false;
    if (
      this.#unreported > 0 && this.#unreported + count > this.#maxUnreported()
    ) {
      return false;
    }
    this.#take(count);
    return true;
  }

  /** Records that the total was reported to the other processes. */
  markReported(): void {
    this.#unreported = 0;
  }

  /**
   * @param count Tokens to take regardless of the level; a negative count returns tokens.
   * @param nowMs The current time.
   */
  take(count: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#take(count);
  }

  /**
   * Adds a refused request to the retry backlog, after those refused earlier.
   *
   * @param count Tokens that the request needs.
   * @param nowMs The current time.
   * @returns Estimated time until the tokens are available.
   */
  reserveRetry(count: number, nowMs: number): number {
    this.#advance(nowMs);
    const { perSecond, burst } = this.#limit;
    const ratePerMs = perSecond / 1000;
    const waitMs = Math.max(0, -this.#level) / ratePerMs +
      this.#retryBacklog / (ratePerMs * this.#evenShare());
    this.#retryBacklog += Math.min(count, burst);
    return waitMs;
  }

  /**
   * Applies the report of another process.
   *
   * @param address The process.
   * @param report Its report; undefined if it sent none for this bucket, since it took nothing.
   * @param options The current time, and whether the process started before this one.
   */
  applyReport(
    address: string,
    report: BucketReport | undefined,
    { nowMs, isOlder }: { nowMs: number; isOlder: boolean },
  ): void {
    this.#advance(nowMs);
    const usage = this.#usages.get(address) ??
      this.#addMember(address, report, isOlder);
    if (!usage) return;
    const isNew = nowMs - this.#createdAtMs < LEVEL_ADOPTION_MS;
    if (report && isOlder && isNew && !this.#hasAdoptedLevel) {
      this.#hasAdoptedLevel = true;
      this.#level = Math.min(this.#limit.burst, report.level - this.#total);
    }
    const taken = report ? report.total - usage.total : 0;
    usage.total += taken;
    this.#reconcile(usage, taken);
  }

  /** @param address A process that has restarted and counts its total from 0. */
  resetMember(address: string): void {
    this.#forgotten.delete(address);
    const usage = this.#usages.get(address);
    if (usage) usage.total = 0;
  }

  /** @param address A silent process to remove. */
  forget(address: string): void {
    const use = this.#usages.get(address);
    if (use?.silentSinceMs === undefined) this.#othersPerMs -= use?.perMs ?? 0;
    this.#usages.delete(address);
    this.#forgotten.add(address);
  }

  /**
   * Starts tracking a process. The first total of an older or a removed process becomes its baseline:
   * what it took earlier is unknown and too long ago to affect the level.
   */
  #addMember(
    address: string,
    report: BucketReport | undefined,
    isOlder: boolean,
  ): MemberUsage | undefined {
    const isHistoryUnknown = isOlder || this.#forgotten.has(address);
    const total = isHistoryUnknown ? report?.total : 0;
    if (total === undefined) return undefined;
    this.#forgotten.delete(address);
    const usage = { total, perMs: 0, reportedAtMs: this.#updatedAtMs };
    this.#usages.set(address, usage);
    return usage;
  }

  #reconcile(usage: MemberUsage, taken: number): void {
    const excess = taken - this.#assumedUsage(usage);
    const credited = Math.max(0, Math.min(excess, this.#overflow));
    this.#overflow -= credited;
    this.#level = Math.min(this.#limit.burst, this.#level - excess + credited);
    const isReturning = usage.silentSinceMs !== undefined;
    const countedPerMs = isReturning ? 0 : usage.perMs;
    const decay = Math.exp(
      -(this.#updatedAtMs - usage.reportedAtMs) / USAGE_AVERAGE_MS,
    );
    usage.perMs = usage.perMs * decay + taken / USAGE_AVERAGE_MS;
    usage.reportedAtMs = this.#updatedAtMs;
    usage.silentSinceMs = undefined;
    this.#othersPerMs += usage.perMs - countedPerMs;
    if (isReturning) this.#checkSilence();
  }

  /** Estimated usage of a process that was deducted from the level since its last report. */
  #assumedUsage({ perMs, reportedAtMs, silentSinceMs }: MemberUsage): number {
    const untilMs = silentSinceMs ?? this.#updatedAtMs;
    const silentForMs = this.#updatedAtMs - untilMs;
    const limitPerMs = this.#limit.perSecond / 1000;
    return perMs * (untilMs - reportedAtMs) +
      silentForMs * limitPerMs * this.#evenShare();
  }

  #take(count: number): void {
    this.#level = Math.min(this.#limit.burst, this.#level - count);
    this.#total += count;
    this.#unreported = Math.max(0, this.#unreported + count);
  }

  /** Adds the refill up to a time and deducts the estimated usage of the other processes. */
  #advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    if (elapsedMs <= 0) return;
    this.#updatedAtMs = nowMs;
    if (nowMs - this.#checkedAtMs >= SILENCE_CHECK_MS) this.#checkSilence();
    const { perSecond, burst } = this.#limit;
    const ratePerMs = perSecond / 1000;
    // Part of the burst, not only of the rate, is reserved for silent processes.
    const ownShare = 1 - this.#silentShare;
    const filled = this.#level +
      (ratePerMs * ownShare - this.#othersPerMs) * elapsedMs;
    const capacity = burst * ownShare;
    const overflow = this.#overflow + Math.max(0, filled - capacity);
    this.#overflow = Math.min(ratePerMs * OVERFLOW_CREDIT_MS, overflow);
    this.#level = Math.min(capacity, filled);
    const retryBacklog = this.#retryBacklog -
      ratePerMs * this.#evenShare() * elapsedMs;
    this.#retryBacklog = Math.max(0, retryBacklog);
  }

  /** Detects silent processes; updates the rate reserved for them and the others' estimated rate. */
  #checkSilence(): void {
    this.#checkedAtMs = this.#updatedAtMs;
    let silentCount = this.#unheardCount();
    let othersPerMs = 0;
    for (const [address, heardAtMs] of this.#members.lastHeardAtMs) {
      const usage = this.#usages.get(address);
      const isSilent = this.#updatedAtMs - heardAtMs > SILENCE_TIMEOUT_MS;
      if (isSilent) silentCount++;
      if (!usage) continue;
      if (isSilent) usage.silentSinceMs ??= this.#updatedAtMs;
      if (usage.silentSinceMs === undefined) othersPerMs += usage.perMs;
    }
    this.#othersPerMs = othersPerMs;
    this.#silentShare = Math.min(1, silentCount * this.#evenShare());
  }

  /** Tokens that this process may take between two reports, by {@link UNREPORTED_FACTOR}. */
  #maxUnreported(): number {
    const available = this.#level + this.#unreported;
    if (available > this.#limit.burst * AMPLE_LEVEL_SHARE) return Infinity;
    return available * this.#evenShare() * UNREPORTED_FACTOR;
  }

  /** Whether an isolated process would need seconds to refill what the request takes. */
  #isTooLarge(count: number): boolean {
    const ownShare = 1 - this.#silentShare;
    if (ownShare > ISOLATED_SHARE) return false;
    return count > this.#limit.burst * ownShare * ISOLATED_MAX_BURSTS;
  }

  #evenShare(): number {
    return 1 / Math.max(1, this.#members.count);
  }

  /** Processes that may be running but have sent no report. */
  #unheardCount(): number {
    return Math.max(
      0,
      this.#members.count - 1 - this.#members.lastHeardAtMs.size,
    );
  }
}
