/**
 * Sends of requests beyond the first of each: bounded over all entries together, without a message,
 * by giving each an equal part of what the platform allows.
 */
import type { Clock } from "../base/mod.ts";

/** Part of what is allowed that is used; entries may not all know of each other at every moment. */
const USED_SHARE = 0.75;
/**
 * Part of the allowance beside the ratio that entries have right after they start: each may have
 * spent its own a moment ago, and both lots together must stay within the window.
 */
const START_SHARE = 0.26;
/**
 * Part of the allowance that is kept for streams whose caller has had some of them: they can only be
 * broken off, while others are refused or answered late.
 */
const KEPT_SHARE = 0.1;
/** One request may need two, for its move and to go on where that is refused, beside what is kept. */
const LEAST_BURST = 2 / (1 - KEPT_SHARE);
/** Parts of the window in which requests and resends are counted. */
const SLOTS = 20;

/** What the platform allows for each service, over all entries. */
export interface ResendLimits {
  /** Resends as a share of requests. */
  ratio: number;
  /** Resends beside that share. */
  slack: number;
  /** Time over which both are counted. */
  windowMs: number;
}

/** What a {@link ResendBudget} works with. */
export interface ResendBudgetOptions {
  clock: Clock;
  limits: ResendLimits;
  /** Entries that may live, this one included. */
  entryCount(): number;
}

/**
 * This entry's part of the allowance. Streams that nobody runs may use all of it at once. Other resends
 * are smoothed: in a burst of them, requests that are refused and come back later ease the load.
 */
export class ResendBudget {
  readonly #options: ResendBudgetOptions;
  readonly #startMs: number;
  readonly #usage = new Map<string, Usage>();

  private constructor(options: ResendBudgetOptions) {
    this.#options = options;
    this.#startMs = options.clock.nowMs();
  }

  /**
   * @param options Allowance, and how many share it.
   * @returns A budget of which nothing is spent.
   */
  static create(options: ResendBudgetOptions): ResendBudget {
    return new ResendBudget(options);
  }

  /** @param service A request for it has come. */
  earn(service: string): void {
    const usage = this.#usageOf(service);
    usage.requests.add(1);
    usage.credit += this.#options.limits.ratio * USED_SHARE;
  }

  /**
   * @param service Name of a service.
   * @returns Whether one more resend is within the budget.
   */
  has(service: string): boolean {
    return this.#hasBeyondKept(service, 1);
  }

  /**
   * @param service Name of a service.
   * @param count How many resends.
   * @returns Whether so many are within the budget; they are then spent.
   */
  spend(service: string, count = 1): boolean {
    if (!this.#hasBeyondKept(service, count)) return false;
    const usage = this.#usageOf(service);
    usage.credit -= count;
    usage.resends.add(count);
    return true;
  }

  /**
   * For a stream whose caller has had some of it.
   *
   * @param service Name of a service.
   * @returns Whether one more resend is within the budget, also of what is kept; it is then spent.
   */
  spendForBegun(service: string): boolean {
    if (this.left(service) < 1) return false;
    this.#usageOf(service).resends.add(1);
    return true;
  }

  /**
   * @param service Name of a service.
   * @returns Resends within the budget, what is kept included.
   */
  left(service: string): number {
    return this.#allowed(service) - this.#usageOf(service).resends.sum(SLOTS);
  }

  /**
   * Gives back what was spent on resends that were not made.
   *
   * @param service Name of a service.
   * @param count How many resends.
   * @param spent When they were spent; what has left the window is free by now.
   */
  refund(service: string, count: number, { atMs }: { atMs: number }): void {
    const usage = this.#usageOf(service);
    usage.resends.takeBack(count, this.#slotAt(atMs));
    usage.credit += count;
  }

  #hasBeyondKept(service: string, count: number): boolean {
    const { credit } = this.#usageOf(service);
    const kept = KEPT_SHARE * this.#allowed(service);
    return credit >= count + KEPT_SHARE * this.#mostCredit &&
      this.left(service) >= count + kept;
  }

  /** Resends of this entry in any window. */
  #allowed(service: string): number {
    const { ratio } = this.#options.limits;
    // Resends of a whole window and the slot that has begun count, of requests no more than a window.
    const requests = this.#usageOf(service).requests.sum(SLOTS - 1);
    return requests * ratio * USED_SHARE + this.#slack;
  }

  get #mostCredit(): number {
    return Math.max(LEAST_BURST, this.#slack);
  }

  /** This entry's part of what is allowed beside the ratio. */
  get #slack(): number {
    const { clock, limits, entryCount } = this.#options;
    const ageMs = clock.nowMs() - this.#startMs;
    const sinceStart = Math.min(1, ageMs / limits.windowMs);
    const share = START_SHARE + (USED_SHARE - START_SHARE) * sinceStart;
    return limits.slack * share / entryCount();
  }

  #slotAt(atMs: number): number {
    const slotMs = this.#options.limits.windowMs / SLOTS;
    return Math.floor((atMs - this.#startMs) / slotMs);
  }

  #usageOf(service: string): Usage {
    const nowMs = this.#options.clock.nowMs();
    const slot = this.#slotAt(nowMs);
    let usage = this.#usage.get(service);
    if (!usage) {
      usage = {
        requests: new SlotCount(),
        resends: new SlotCount(),
        credit: this.#slack,
        creditAtMs: nowMs,
      };
      this.#usage.set(service, usage);
    }
    const sinceMs = nowMs - usage.creditAtMs;
    const grown = this.#slack * sinceMs / this.#options.limits.windowMs;
    usage.credit = Math.min(this.#mostCredit, usage.credit + grown);
    usage.creditAtMs = nowMs;
    usage.requests.goTo(slot);
    usage.resends.goTo(slot);
    return usage;
  }
}

interface Usage {
  requests: SlotCount;
  resends: SlotCount;
  /** Resends that are smoothed may be so many now. */
  credit: number;
  creditAtMs: number;
}

/** Counts by slot of the window, the newest slot and the {@link SLOTS} before it. */
class SlotCount {
  readonly #counts = new Array<number>(SLOTS + 1).fill(0);
  #slot = 0;

  /** @param slot The newest one from now on. */
  goTo(slot: number): void {
    const first = Math.max(this.#slot + 1, slot - SLOTS);
    for (let i = first; i <= slot; i++) this.#counts[indexOf(i)] = 0;
    this.#slot = Math.max(this.#slot, slot);
  }

  add(count: number): void {
    this.#counts[indexOf(this.#slot)]! += count;
  }

  /** Takes from the slot in which it was added, if that counts still. */
  takeBack(count: number, slot: number): void {
    if (slot < this.#slot - SLOTS) return;
    this.#counts[indexOf(slot)]! -= count;
  }

  /**
   * @param before How many slots before the newest count, too.
   * @returns Their sum.
   */
  sum(before: number): number {
    let sum = 0;
    for (let i = 0; i <= before; i++) {
      sum += this.#counts[indexOf(this.#slot - i)]!;
    }
    return sum;
  }
}

/** Slots before the first one are empty, and share their places with later ones. */
function indexOf(slot: number): number {
  return (slot + SLOTS + 1) % (SLOTS + 1);
}
