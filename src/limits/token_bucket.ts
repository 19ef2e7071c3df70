/** A token bucket that may go into debt when the cost is known only afterwards. */
import type { Clock } from "../base/mod.ts";

/** Settings of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  clock: Clock;
  perSecond: number;
  /** Most tokens it holds. */
  burst: number;
  /** Tokens at the start; the burst when left out. */
  initial?: number;
}

/** Tokens that accrue with time. */
export class TokenBucket {
  readonly #clock: Clock;
  #perSecond: number;
  #burst: number;
  #tokens: number;
  #refilledAtMs: number;

  private constructor(options: TokenBucketOptions) {
    this.#clock = options.clock;
    this.#perSecond = options.perSecond;
    this.#burst = options.burst;
    this.#tokens = options.initial ?? options.burst;
    this.#refilledAtMs = options.clock.nowMs();
  }

  /**
   * @param options Rate and size.
   * @returns A bucket.
   */
  static create(options: TokenBucketOptions): TokenBucket {
    return new TokenBucket(options);
  }

  /** Tokens at hand; negative: debt. */
  get tokens(): number {
    this.#refill();
    return this.#tokens;
  }

  /**
   * @param count Tokens to take, whatever is at hand; negative: to give back.
   */
  take(count: number): void {
    this.#refill();
    this.#tokens = Math.min(this.#burst, this.#tokens - count);
  }

  /**
   * @param count Tokens wanted.
   * @returns Whether they were there and have been taken.
   */
  tryTake(count: number): boolean {
    if (this.tokens < count) return false;
    this.take(count);
    return true;
  }

  /**
   * @param count Tokens wanted.
   * @returns Time until they are there; infinite without a rate.
   */
  msUntil(count: number): number {
    const missing = count - this.tokens;
    return missing <= 0 ? 0 : missing / this.#perSecond * 1000;
  }

  /**
   * @param perSecond The new rate.
   * @param burst The new size; what is at hand is cut to it.
   */
  resize(perSecond: number, burst: number): void {
    this.#refill();
    this.#perSecond = perSecond;
    this.#burst = burst;
    this.#tokens = Math.min(this.#tokens, burst);
  }

  #refill(): void {
    const nowMs = this.#clock.nowMs();
    const accrued = (nowMs - this.#refilledAtMs) / 1000 * this.#perSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + accrued);
    this.#refilledAtMs = nowMs;
  }
}
