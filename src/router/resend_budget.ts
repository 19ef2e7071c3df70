/**
 * Sends of requests beyond the first of each: bounded over all entries together, without a message,
 * by giving each an equal part of what the platform allows.
 */
import type { Clock } from "../base/mod.ts";
import { RetryBudget } from "../entry/retry_budget.ts";

/** Part of what is allowed that is used; entries may not all know of each other at every moment. */
const USED_SHARE = 0.75;
/**
 * Part of the allowance beside the ratio that entries have right after they start: each may have
 * spent its own a moment ago, and both lots together must stay within the window.
 */
const START_SHARE = 0.26;
/**
 * Part of what may be saved up that is kept for streams whose caller has had some of them: they can
 * only be broken off, while others are refused or answered late.
 */
const KEPT_SHARE = 0.1;
/** One request may need two, for its move and to go on where that is refused, beside what is kept. */
const LEAST_BURST = 2 / (1 - KEPT_SHARE);

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

/** This entry's part of the allowance. */
export class ResendBudget {
  readonly #ratio: number;
  readonly #budget: RetryBudget;

  private constructor({ clock, limits, entryCount }: ResendBudgetOptions) {
    const startMs = clock.nowMs();
    this.#ratio = limits.ratio * USED_SHARE;
    this.#budget = RetryBudget.create(() => {
      const ageMs = clock.nowMs() - startMs;
      const earned = Math.min(1, ageMs / limits.windowMs);
      const share = START_SHARE + (USED_SHARE - START_SHARE) * earned;
      return limits.slack * share / entryCount();
    }, LEAST_BURST);
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
    this.#budget.earn(service, this.#ratio);
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
    return this.#hasBeyondKept(service, count) &&
      this.#budget.spend(service, count);
  }

  /**
   * For a stream whose caller has had some of it.
   *
   * @param service Name of a service.
   * @returns Whether one more resend is within the budget, also of what is kept; it is then spent.
   */
  spendForBegun(service: string): boolean {
    return this.#budget.spend(service);
  }

  /**
   * @param service Name of a service.
   * @returns Resends within the budget, what is kept included.
   */
  left(service: string): number {
    return this.#budget.credit(service);
  }

  /**
   * Gives back what was spent on resends that were not made.
   *
   * @param service Name of a service.
   * @param count How many resends.
   */
  refund(service: string, count: number): void {
    this.#budget.refund(service, count);
  }

  #hasBeyondKept(service: string, count: number): boolean {
    return this.#budget.has(service, count + KEPT_SHARE * this.#budget.most);
  }
}
