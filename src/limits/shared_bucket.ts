/**
 * A token bucket that several processes take from, each by its own copy. Every process tells the
 * others the total that it has taken; until it is heard again, it is assumed to go on as before. A
 * process that has fallen silent keeps a part of the rate, the same in every copy, so that both sides
 * of a partition together stay within the limit.
 */

/** A rate and the size of its bucket, both in the unit that requests are counted in. */
export interface RateLimit {
  perSecond: number;
  burst: number;
}

/** What a {@link SharedBucket} knows of the processes that share it. */
export interface BucketMembers {
  /** Processes that may live, this one included. */
  readonly count: number;
  /** When each other process was last heard, by its address; the clock's time. */
  readonly lastHeardAtMs: ReadonlyMap<string, number>;
}

/** What one process tells of a bucket. */
export interface BucketReport {
  /** Taken since the process started. */
  total: number;
  /** Level of its own copy. */
  level: number;
}

/** What this process knows of another one's use. */
interface MemberUsage {
  total: number;
  /** Decaying mean, for what it has taken since its last word. */
  perMs: number;
  /** When that was. */
  reportedAtMs: number;
  /** Since when it is silent; left out while it isn't. */
  silentSinceMs?: number;
}

/** A process that tells nothing for longer than this is silent; the longest pause of one is 0.6 s. */
export const SILENCE_TIMEOUT_MS = 850;
/** Pause between looks for processes that have fallen silent. */
const SILENCE_CHECK_MS = 50;
/** Time over which a process's use is averaged. */
const USAGE_AVERAGE_MS = 1000;
/** What came in while the bucket was full still counts for takes that are told this much later. */
const OVERFLOW_CREDIT_MS = 400;
/** A process with this part of the rate or less stands nearly alone. */
const ISOLATED_SHARE = 0.2;
/** Largest request that it passes, as a multiple of its part of the burst. */
const ISOLATED_MAX_BURSTS = 2;
/** What all processes together may take between two words, as a multiple of what is left. */
const UNREPORTED_FACTOR = 3;
/** With more than this part of the burst left, nothing need be spared between two words. */
const AMPLE_LEVEL_SHARE = 0.4;
/** Part of the burst that a process's copy begins with, over all processes. */
const INITIAL_BURST_SHARE = 0.25;
/** A copy this young takes over the level of an older one. */
const LEVEL_ADOPTION_MS = 1500;

/** Settings of a {@link SharedBucket}. */
export interface SharedBucketOptions {
  limit: RateLimit;
  members: BucketMembers;
  nowMs: number;
}

/** One process's copy. */
export class SharedBucket {
  readonly #members: BucketMembers;
  readonly #usages = new Map<string, MemberUsage>();
  /** Processes that were forgotten, and may come back without having started anew. */
  readonly #forgotten = new Set<string>();
  readonly #createdAtMs: number;
  #limit: RateLimit;
  #level: number;
  #updatedAtMs: number;
  #total = 0;
  /** What all others that are not silent are assumed to take. */
  #othersPerMs = 0;
  #checkedAtMs = -Infinity;
  /** Did not fit into the bucket lately. */
  #overflow = 0;
  #hasAdoptedLevel = false;
  /** Taken since the others were last told. */
  #unreported = 0;
  /** Part of the rate that is set aside for silent processes. */
  #silentShare = 0;
  /** Refused requests that were told when to come back. */
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
   * @returns A copy that holds this process's part of the burst.
   */
  static create(options: SharedBucketOptions): SharedBucket {
    return new SharedBucket(options);
  }

  /** The limit in force. */
  get limit(): RateLimit {
    return this.#limit;
  }

  /** Taken by this process since it started. */
  get total(): number {
    return this.#total;
  }

  /**
   * @param limit A new rate and size; what is at hand is cut to it.
   * @param nowMs The time.
   */
  resize(limit: RateLimit, nowMs: number): void {
    this.#advance(nowMs);
    this.#limit = limit;
    this.#level = Math.min(this.#level, limit.burst);
  }

  /**
   * @param nowMs The time.
   * @returns What may be taken now; negative: more was taken than the limit allows.
   */
  level(nowMs: number): number {
    this.#advance(nowMs);
    return this.#level;
  }

  /**
   * Any request passes while something is left, and may leave a debt: with large ones refused as long
   * as small ones use up what comes in, they would never pass.
   *
   * @param count What a request takes.
   * @param nowMs The time.
   * @returns Whether it was taken.
   */
  tryTake(count: number, nowMs: number): boolean {
    const level = this.level(nowMs);
    const isStartingUp = nowMs - this.#createdAtMs < SILENCE_TIMEOUT_MS &&
      this.#unheardCount() > 0;
    // Many that start together would each go into debt with their first request.
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

  /** The others have been told the total. */
  markReported(): void {
    this.#unreported = 0;
  }

  /**
   * @param count What is taken, whatever is left; negative: what is given back.
   * @param nowMs The time.
   */
  take(count: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#take(count);
  }

  /**
   * Books room for a request that was refused, behind those refused before it.
   *
   * @param count What it takes.
   * @param nowMs The time.
   * @returns Time until there is room for it.
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
   * Takes in what another process tells; left out: it told nothing of this bucket, and so took nothing.
   *
   * @param address The process.
   * @param report Its word.
   * @param options The time, and whether it started before this one.
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

  /** @param address A process that has started anew, and counts from 0. */
  resetMember(address: string): void {
    this.#forgotten.delete(address);
    const usage = this.#usages.get(address);
    if (usage) usage.total = 0;
  }

  /** @param address A process that is gone for good. */
  forget(address: string): void {
    const use = this.#usages.get(address);
    if (use?.silentSinceMs === undefined) this.#othersPerMs -= use?.perMs ?? 0;
    this.#usages.delete(address);
    this.#forgotten.add(address);
  }

  /**
   * What an older process took before this copy was there is not known, nor what one took that was
   * forgotten; neither lies in a window that still matters.
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

  /** Taken off the level since its last word, without its word. */
  #assumedUsage(
    { perMs, reportedAtMs, silentSinceMs }: MemberUsage,
  ): number {
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

  /** Fills up to the time, less what the other processes are assumed to take. */
  #advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    if (elapsedMs <= 0) return;
    this.#updatedAtMs = nowMs;
    if (nowMs - this.#checkedAtMs >= SILENCE_CHECK_MS) this.#checkSilence();
    const { perSecond, burst } = this.#limit;
    const ratePerMs = perSecond / 1000;
    // Silent processes have their parts of the burst, too.
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

  /** Finds out who is silent. */
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

  /** What this process may take between two words: all together at most a few times what is left. */
  #maxUnreported(): number {
    const available = this.#level + this.#unreported;
    if (available > this.#limit.burst * AMPLE_LEVEL_SHARE) return Infinity;
    return available * this.#evenShare() * UNREPORTED_FACTOR;
  }

  /** Alone with its part, a process pays off what is larger only after seconds, as all others do. */
  #isTooLarge(count: number): boolean {
    const ownShare = 1 - this.#silentShare;
    if (ownShare > ISOLATED_SHARE) return false;
    return count > this.#limit.burst * ownShare * ISOLATED_MAX_BURSTS;
  }

  #evenShare(): number {
    return 1 / Math.max(1, this.#members.count);
  }

  /** Processes that may live, and were never heard. */
  #unheardCount(): number {
    return Math.max(
      0,
      this.#members.count - 1 - this.#members.lastHeardAtMs.size,
    );
  }
}
