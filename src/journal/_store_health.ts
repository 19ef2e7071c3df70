/** Tracks whether the store is down, and the backoff until the next attempt. */
import type { JournalOptions } from "./_options.ts";

/** Number of consecutive failures after which the store counts as down. */
const FAILURES_UNTIL_DOWN = 2;
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 5000;
/** Maximum exponent of the backoff. */
const MAX_DOUBLINGS = 7;

/** Circuit breaker for calls to the store, with exponential backoff and jitter. */
export class StoreHealth {
  readonly #options: JournalOptions;
  #failures = 0;
  #retryAtMs = 0;
  #commitSentMs: number | undefined;

  private constructor(options: JournalOptions) {
    this.#options = options;
  }

  /** @param options The journal's settings. */
  static create(options: JournalOptions): StoreHealth {
    return new StoreHealth(options);
  }

  /** True after several consecutive failures, or while a commit is unanswered for too long. */
  get isDown(): boolean {
    return this.#failures >= FAILURES_UNTIL_DOWN || this.#isSlow;
  }

  /** True if new calls should fail at once: a commit is stuck or the backoff has not passed. */
  get failsFast(): boolean {
    return this.#isSlow || (this.isDown && this.retryAfterMs > 0);
  }

  /** Time until the next attempt, in ms; 0 if a call may be made now. */
  get retryAfterMs(): number {
    return Math.max(0, Math.ceil(this.#retryAtMs - this.#nowMs));
  }

  /** Records that a commit was sent. */
  recordCommitSent(): void {
    this.#commitSentMs = this.#nowMs;
  }

  /** Records that the commit was answered or failed. */
  recordCommitReturned(): void {
    this.#commitSentMs = undefined;
  }

  /** Records a successful call; resets the backoff. */
  recordSuccess(): void {
    this.#failures = 0;
    this.#retryAtMs = 0;
  }

  /** Records a failed call and schedules the next attempt. */
  recordFailure(): void {
    const doublings = Math.min(this.#failures, MAX_DOUBLINGS);
    const delayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** doublings,
    );
    const jitter = 0.5 + this.#options.random() / 2;
    this.#failures++;
    this.#retryAtMs = this.#nowMs + delayMs * jitter;
  }

  get #nowMs(): number {
    return this.#options.clock.nowMs();
  }

  get #isSlow(): boolean {
    if (this.#commitSentMs === undefined) return false;
    return this.#nowMs - this.#commitSentMs >
      this.#options.slowCommitThresholdMs;
  }
}
