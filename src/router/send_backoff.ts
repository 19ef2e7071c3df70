/** Delays the sends of a request whose previous sends were refused. */

/** First delay if no run is open; it doubles with each consecutive refusal. */
const RETRY_MIN_MS = 25;
/** First delay while another run is open and may still respond. */
const RETRY_OPEN_MIN_MS = 250;
/** Upper limit of both delays. */
const RETRY_MAX_MS = 1000;

/** Earliest time of the next send of one request. */
export class SendBackoff {
  #nextAtMs = -Infinity;
  /** Number of consecutive refusals. */
  #refusedCount = 0;

  private constructor() {}

  /** @returns A backoff without a delay. */
  static create(): SendBackoff {
    return new SendBackoff();
  }

  /** Earliest time of the next send. */
  get nextAtMs(): number {
    return this.#nextAtMs;
  }

  /** @param atMs Earliest time of the next send. */
  waitUntil(atMs: number): void {
    this.#nextAtMs = atMs;
  }

  /** Ends the delay. */
  endDelay(): void {
    this.#nextAtMs = -Infinity;
  }

  /** Ends the delay, and starts later ones from their minimum. */
  reset(): void {
    this.endDelay();
    this.#refusedCount = 0;
  }

  /**
   * Delays the next send after a refusal.
   *
   * @param nowMs The current time.
   * @param isRunOpen Whether another run of the request is open.
   */
  refused(nowMs: number, isRunOpen: boolean): void {
    const minMs = isRunOpen ? RETRY_OPEN_MIN_MS : RETRY_MIN_MS;
    this.#nextAtMs = nowMs +
      Math.min(RETRY_MAX_MS, minMs * 2 ** this.#refusedCount);
    this.#refusedCount++;
  }
}
