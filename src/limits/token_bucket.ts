/** A token bucket whose level may become negative when the cost of a request is only known later. */
import type { Clock } from "../base/mod.ts";

/** Settings of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  clock: Clock;
  perSecond: number;
  /** Capacity in tokens. */
  burst: number;
  /** Tokens at the start; defaults to `burst`. */
  initial?: number;
}

/** A bucket that refills at a fixed rate up to its capacity. */
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
   * @param options Refill rate and capacity.
   * @returns A bucket.
   */
  static create(options: TokenBucketOptions): TokenBucket {
    return new TokenBucket(options);
  }

  /** Available tokens; negative after more was taken than was available. */
  get tokens(): number {
    this.#refill();
    return this.#tokens;
  }

  /**
   * @param count Tokens to take regardless of the level; a negative count returns tokens.
   */
  take(count: number): void {
    this.#refill();
    this.#tokens = Math.min(this.#burst, this.#tokens - count);
  }

  /**
   * @param count Tokens to take.
   * @returns Whether enough tokens were available; they have then been taken.
   */
  tryTake(count: number): boolean {
    if (this.tokens < count) return false;
    this.take(count);
    return true;
  }

  /**
   * @param count Required tokens.
   * @returns Time until they are available; infinite if the refill rate is 0.
   */
  msUntil(count: number): number {
    const missing = count - this.tokens;
    return missing <= 0 ? 0 : missing / this.#perSecond * 1000;
  }

  /**
   * @param perSecond New refill rate.
   * @param burst New capacity; tokens beyond it are dropped.
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
