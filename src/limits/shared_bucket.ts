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
  readonly heardAtMs: ReadonlyMap<string, number>;
}

/** What one process tells of a bucket. */
export interface BucketTold {
  /** Taken since the process started. */
  total: number;
  /** Level of its own copy. */
  level: number;
}

/** What this process knows of another one's use. */
interface MemberUse {
  total: number;
  /** Decaying mean, for what it has taken since its last word. */
  perMs: number;
  /** When that was. */
  toldAtMs: number;
  /** Since when it is silent; left out while it isn't. */
  silentFromMs?: number;
}

/** A process that tells nothing for longer than this is silent; the longest pause of one is 0.6 s. */
export const SILENT_MS = 850;
/** Pause between looks for processes that have fallen silent. */
const LOOK_MS = 50;
/** Time over which a process's use is averaged. */
const USE_MEAN_MS = 1000;
/** What came in while the bucket was full still counts for takes that are told this much later. */
const LATE_FILL_MS = 400;
/** A process with this part of the rate or less stands nearly alone. */
const ALONE_SHARE = 0.2;
/** Largest request that it passes, as a multiple of its part of the burst. */
const ALONE_BURSTS = 2;
/** What all processes together may take between two words, as a multiple of what is left. */
const UNTOLD_FACTOR = 3;
/** With more than this part of the burst left, nothing need be spared between two words. */
const AMPLE_SHARE = 0.4;
/** Part of the burst that a process's copy begins with, over all processes. */
const START_SHARE = 0.25;
/** A copy this young takes over the level of an older one. */
const YOUNG_MS = 1500;

/** Settings of a {@link SharedBucket}. */
export interface SharedBucketOptions {
  limit: RateLimit;
  members: BucketMembers;
  nowMs: number;
}

/** One process's copy. */
export class SharedBucket {
  readonly #members: BucketMembers;
  readonly #uses = new Map<string, MemberUse>();
  /** Processes that were forgotten, and may come back without having started anew. */
  readonly #forgotten = new Set<string>();
  readonly #bornAtMs: number;
  #limit: RateLimit;
  #level: number;
  #atMs: number;
  #total = 0;
  /** What all others that are not silent are assumed to take. */
  #othersPerMs = 0;
  #lookedAtMs = -Infinity;
  /** Did not fit into the bucket lately. */
  #overflow = 0;
  #isTaught = false;
  /** Taken since the others were last told. */
  #untold = 0;
  /** Part of the rate that is set aside for silent processes. */
  #silentShare = 0;
  /** Refused requests that were told when to come back. */
  #booked = 0;

  private constructor({ limit, members, nowMs }: SharedBucketOptions) {
    this.#limit = limit;
    this.#members = members;
    this.#bornAtMs = nowMs;
    this.#atMs = nowMs;
    this.#level = limit.burst * START_SHARE / Math.max(1, members.count);
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
    const isUnsure = nowMs - this.#bornAtMs < SILENT_MS && this.#unheard() > 0;
    // Many that start together would each go into debt with their first request.
    const needed = isUnsure ? Math.min(count, this.#limit.burst) : 0;
    if (level <= 0 || level < needed || this.#isTooLarge(count)) return false;
    if (this.#untold > 0 && this.#untold + count > this.#untoldMost()) {
      return false;
    }
    this.#take(count);
    return true;
  }

  /** The others have been told the total. */
  told(): void {
    this.#untold = 0;
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
  book(count: number, nowMs: number): number {
    this.#advance(nowMs);
    const { perSecond, burst } = this.#limit;
    const perMs = perSecond / 1000;
    const waitMs = Math.max(0, -this.#level) / perMs +
      this.#booked / (perMs * this.#evenShare());
    this.#booked += Math.min(count, burst);
    return waitMs;
  }

  /**
   * Takes in what another process tells; left out: it told nothing of this bucket, and so took nothing.
   *
   * @param address The process.
   * @param told Its word.
   * @param options The time, and whether it started before this one.
   */
  hear(
    address: string,
    told: BucketTold | undefined,
    { nowMs, isOlder }: { nowMs: number; isOlder: boolean },
  ): void {
    this.#advance(nowMs);
    const use = this.#uses.get(address) ??
      this.#meet(address, told, isOlder);
    if (!use) return;
    const isYoung = nowMs - this.#bornAtMs < YOUNG_MS;
    if (told && isOlder && isYoung && !this.#isTaught) {
      this.#isTaught = true;
      this.#level = Math.min(this.#limit.burst, told.level - this.#total);
    }
    const taken = told ? told.total - use.total : 0;
    use.total += taken;
    this.#settle(use, taken);
  }

  /** @param address A process that has started anew, and counts from 0. */
  reborn(address: string): void {
    this.#forgotten.delete(address);
    const use = this.#uses.get(address);
    if (use) use.total = 0;
  }

  /** @param address A process that is gone for good. */
  forget(address: string): void {
    const use = this.#uses.get(address);
    if (use?.silentFromMs === undefined) this.#othersPerMs -= use?.perMs ?? 0;
    this.#uses.delete(address);
    this.#forgotten.add(address);
  }

  /**
   * What an older process took before this copy was there is not known, nor what one took that was
   * forgotten; neither lies in a window that still matters.
   */
  #meet(
    address: string,
    told: BucketTold | undefined,
    isOlder: boolean,
  ): MemberUse | undefined {
    const isUnknown = isOlder || this.#forgotten.has(address);
    const total = isUnknown ? told?.total : 0;
    if (total === undefined) return undefined;
    this.#forgotten.delete(address);
    const use = { total, perMs: 0, toldAtMs: this.#atMs };
    this.#uses.set(address, use);
    return use;
  }

  #settle(use: MemberUse, taken: number): void {
    const missed = taken - this.#assumed(use);
    const late = Math.max(0, Math.min(missed, this.#overflow));
    this.#overflow -= late;
    this.#level = Math.min(this.#limit.burst, this.#level - missed + late);
    const isBack = use.silentFromMs !== undefined;
    const before = isBack ? 0 : use.perMs;
    const decay = Math.exp(-(this.#atMs - use.toldAtMs) / USE_MEAN_MS);
    use.perMs = use.perMs * decay + taken / USE_MEAN_MS;
    use.toldAtMs = this.#atMs;
    use.silentFromMs = undefined;
    this.#othersPerMs += use.perMs - before;
    if (isBack) this.#look();
  }

  /** Taken off the level since its last word, without its word. */
  #assumed({ perMs, toldAtMs, silentFromMs }: MemberUse): number {
    const untilMs = silentFromMs ?? this.#atMs;
    const silentMs = this.#atMs - untilMs;
    const ratePerMs = this.#limit.perSecond / 1000;
    return perMs * (untilMs - toldAtMs) +
      silentMs * ratePerMs * this.#evenShare();
  }

  #take(count: number): void {
    this.#level = Math.min(this.#limit.burst, this.#level - count);
    this.#total += count;
    this.#untold = Math.max(0, this.#untold + count);
  }

  /** Fills up to the time, less what the other processes are assumed to take. */
  #advance(nowMs: number): void {
    const passedMs = nowMs - this.#atMs;
    if (passedMs <= 0) return;
    this.#atMs = nowMs;
    if (nowMs - this.#lookedAtMs >= LOOK_MS) this.#look();
    const { perSecond, burst } = this.#limit;
    const perMs = perSecond / 1000;
    // Silent processes have their parts of the burst, too.
    const ownShare = 1 - this.#silentShare;
    const filled = this.#level +
      (perMs * ownShare - this.#othersPerMs) * passedMs;
    const most = burst * ownShare;
    const overflow = this.#overflow + Math.max(0, filled - most);
    this.#overflow = Math.min(perMs * LATE_FILL_MS, overflow);
    this.#level = Math.min(most, filled);
    const booked = this.#booked - perMs * this.#evenShare() * passedMs;
    this.#booked = Math.max(0, booked);
  }

  /** Finds out who is silent. */
  #look(): void {
    this.#lookedAtMs = this.#atMs;
    let silentCount = this.#unheard();
    let othersPerMs = 0;
    for (const [address, heardAtMs] of this.#members.heardAtMs) {
      const use = this.#uses.get(address);
      const isSilent = this.#atMs - heardAtMs > SILENT_MS;
      if (isSilent) silentCount++;
      if (!use) continue;
      if (isSilent) use.silentFromMs ??= this.#atMs;
      if (use.silentFromMs === undefined) othersPerMs += use.perMs;
    }
    this.#othersPerMs = othersPerMs;
    this.#silentShare = Math.min(1, silentCount * this.#evenShare());
  }

  /** What this process may take between two words: all together at most a few times what is left. */
  #untoldMost(): number {
    const left = this.#level + this.#untold;
    if (left > this.#limit.burst * AMPLE_SHARE) return Infinity;
    return left * this.#evenShare() * UNTOLD_FACTOR;
  }

  /** Alone with its part, a process pays off what is larger only after seconds, as all others do. */
  #isTooLarge(count: number): boolean {
    const ownShare = 1 - this.#silentShare;
    if (ownShare > ALONE_SHARE) return false;
    return count > this.#limit.burst * ownShare * ALONE_BURSTS;
  }

  #evenShare(): number {
    return 1 / Math.max(1, this.#members.count);
  }

  /** Processes that may live, and were never heard. */
  #unheard(): number {
    return Math.max(0, this.#members.count - 1 - this.#members.heardAtMs.size);
  }
}
