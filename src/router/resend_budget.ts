/**
 * Budget of resends: sends of a request after its first one. The platform limits them over all entries
 * together; each entry uses an equal part of that limit, so entries need no messages to share it.
 */
import type { Clock } from "../base/mod.ts";

/** Share of the limit that is used; the rest is a margin for entries that don't know of each other. */
const SAFE_SHARE = 0.75;
/**
 * Share of the slack that an entry may use right after its start. It may have used its part just
 * before a restart, and the resends before and after the restart fall into the same window.
 */
const INITIAL_SLACK_SHARE = 0.26;
/**
 * Share of the budget that is reserved for started streams. Without a resend such a stream is cut,
 * while other requests can be refused or answered late.
 */
const STREAM_RESERVE_SHARE = 0.1;
/** Moving a run may need two sends; the credit must hold them in addition to the reserve. */
const MIN_BURST = 2 / (1 - STREAM_RESERVE_SHARE);
/** Number of slots into which the sliding window is divided. */
const SLOTS = 20;

/** The platform's limit of resends for each service, over all entries together. */
export interface ResendLimits {
  /** Allowed resends as a share of the requests. */
  ratio: number;
  /** Allowed resends in addition to {@link ResendLimits.ratio}. */
  slack: number;
  /** Length of the sliding window over which requests and resends are counted. */
  windowMs: number;
}

/** Dependencies of a {@link ResendBudget}. */
export interface ResendBudgetOptions {
  clock: Clock;
  limits: ResendLimits;
  /** Number of entries that may be alive, including this one. */
  entryCount(): number;
}

/**
 * This entry's part of the resend limit. Started streams without an open run may use all of it at
 * once. All other resends are also smoothed by a token bucket: in a burst of failures, requests that
 * are refused and retried later by the client reduce the load.
 */
export class ResendBudget {
  readonly #options: ResendBudgetOptions;
  readonly #startMs: number;
  readonly #usage = new Map<string, ServiceUsage>();

  private constructor(options: ResendBudgetOptions) {
    this.#options = options;
    this.#startMs = options.clock.nowMs();
  }

  /**
   * @param options Limits and the number of entries that share them.
   * @returns A budget of which nothing is used.
   */
  static create(options: ResendBudgetOptions): ResendBudget {
    return new ResendBudget(options);
  }

  /** @param service Name of a service that has received a request; requests increase its budget. */
  recordRequest(service: string): void {
    const usage = this.#usageOf(service);
    usage.requests.add(1);
    usage.credit += this.#options.limits.ratio * SAFE_SHARE;
  }

  /**
   * @param service Name of a service.
   * @returns Whether one more resend is within the budget without the reserve for started streams.
   */
  canSpend(service: string): boolean {
    return this.#hasBeyondReserve(service, 1);
  }

  /**
   * @param service Name of a service.
   * @param count Number of resends.
   * @returns Whether they are within the budget without the reserve; if so, they are charged.
   */
  spend(service: string, count = 1): boolean {
    if (!this.#hasBeyondReserve(service, count)) return false;
    const usage = this.#usageOf(service);
    usage.credit -= count;
    usage.resends.add(count);
    return true;
  }

  /**
   * Charges a resend of a stream that the client has received in part.
   *
   * @param service Name of a service.
   * @returns Whether one more resend is within the whole budget; if so, it is charged.
   */
  spendForStartedStream(service: string): boolean {
    if (this.left(service) < 1) return false;
    this.#usageOf(service).resends.add(1);
    return true;
  }

  /**
   * @param service Name of a service.
   * @returns Remaining resends, including the reserve for started streams.
   */
  left(service: string): number {
    return this.#allowed(service) - this.#usageOf(service).resends.sum(SLOTS);
  }

  /**
   * Refunds resends that were charged and not made.
   *
   * @param service Name of a service.
   * @param count Number of resends.
   * @param spent When they were charged; charges that have left the window are no longer counted.
   */
  refund(service: string, count: number, { atMs }: { atMs: number }): void {
    const usage = this.#usageOf(service);
    usage.resends.subtract(count, this.#slotAt(atMs));
    usage.credit += count;
  }

  #hasBeyondReserve(service: string, count: number): boolean {
    const { credit } = this.#usageOf(service);
    const kept = STREAM_RESERVE_SHARE * this.#allowed(service);
    return credit >= count + STREAM_RESERVE_SHARE * this.#maxCredit &&
      this.left(service) >= count + kept;
  }

  /** Maximum resends of this entry in one window. */
  #allowed(service: string): number {
    const { ratio } = this.#options.limits;
    // Resends are counted over the whole window and the current slot; requests over one window at
    // most, so that slot boundaries never allow too many resends.
    const requests = this.#usageOf(service).requests.sum(SLOTS - 1);
    return requests * ratio * SAFE_SHARE + this.#slack;
  }

  get #maxCredit(): number {
    return Math.max(MIN_BURST, this.#slack);
  }

  /** This entry's part of the slack; grows over the first window after the start. */
  get #slack(): number {
    const { clock, limits, entryCount } = this.#options;
    const ageMs = clock.nowMs() - this.#startMs;
    const sinceStart = Math.min(1, ageMs / limits.windowMs);
    const share = INITIAL_SLACK_SHARE +
      (SAFE_SHARE - INITIAL_SLACK_SHARE) * sinceStart;
    return limits.slack * share / entryCount();
  }

  #slotAt(atMs: number): number {
    const slotMs = this.#options.limits.windowMs / SLOTS;
    return Math.floor((atMs - this.#startMs) / slotMs);
  }

  #usageOf(service: string): ServiceUsage {
    const nowMs = this.#options.clock.nowMs();
    const slot = this.#slotAt(nowMs);
    let usage = this.#usage.get(service);
    if (!usage) {
      usage = {
        requests: new SlidingWindowCount(),
        resends: new SlidingWindowCount(),
        credit: this.#slack,
        creditAtMs: nowMs,
      };
      this.#usage.set(service, usage);
    }
    const sinceMs = nowMs - usage.creditAtMs;
    const grown = this.#slack * sinceMs / this.#options.limits.windowMs;
    usage.credit = Math.min(this.#maxCredit, usage.credit + grown);
    usage.creditAtMs = nowMs;
    usage.requests.advanceTo(slot);
    usage.resends.advanceTo(slot);
    return usage;
  }
}

interface ServiceUsage {
  requests: SlidingWindowCount;
  resends: SlidingWindowCount;
  /** Tokens in the bucket that smooths resends. */
  credit: number;
  creditAtMs: number;
}

/** Sliding-window counter: the current slot and the {@link SLOTS} slots before it. */
class SlidingWindowCount {
  readonly #counts = new Array<number>(SLOTS + 1).fill(0);
  #slot = 0;

  /** @param slot The new current slot; slots that leave the window are cleared. */
  advanceTo(slot: number): void {
    const first = Math.max(this.#slot + 1, slot - SLOTS);
    for (let i = first; i <= slot; i++) this.#counts[slotIndex(i)] = 0;
    this.#slot = Math.max(this.#slot, slot);
  }

  add(count: number): void {
    this.#counts[slotIndex(this.#slot)]! += count;
  }

  /** Subtracts from the slot in which the count was added, if it is still in the window. */
  subtract(count: number, slot: number): void {
    if (slot < this.#slot - SLOTS) return;
    this.#counts[slotIndex(slot)]! -= count;
  }

  /**
   * @param before Number of slots before the current one to include.
   * @returns Sum of the counts of these slots.
   */
  sum(before: number): number {
    let sum = 0;
    for (let i = 0; i <= before; i++) {
      sum += this.#counts[slotIndex(this.#slot - i)]!;
    }
    return sum;
  }
}

/** Index in the ring buffer; slots before the first are empty and share indexes with later ones. */
function slotIndex(slot: number): number {
  return (slot + SLOTS + 1) % (SLOTS + 1);
}
