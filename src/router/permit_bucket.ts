/**
 * Permits for the requests to one server that takes a limited rate. A caller who is refused may get a
 * reservation: a permit that becomes available when the caller is told to return, and that no new
 * caller can take. It lapses if nobody claims it.
 */

/**
 * Capacity of the bucket beyond one permit, as the time in which the server's rate fills it: entries
 * ask again some time after a permit has become available, which must not delay the next one.
 */
const BURST_S = 0.25;
/** A server that takes no requests at all gets one now and then, as only its answers end the limit. */
const ZERO_RATE_PROBES_PER_S = 0.1;
/** How long a reservation can be claimed after its time: callers return some ms later than told. */
const RESERVATION_TTL_MS = 500;
/** A caller who returns this much before its reservation's time may claim it. */
const EARLY_CLAIM_MS = 50;
/** Tolerance for rounding errors of the level. */
const EPSILON = 1e-6;

/** Whether a request may be sent, by the bucket alone. */
export type BucketVerdict =
  | { kind: "granted" }
  /** A permit that is not reserved should be available after this time. */
  | { kind: "denied"; waitMs: number };

/** Who asks for a permit. */
export const Caller = {
  /** A request that was not refused before. */
  new: "new",
  /** A request that was refused before, or a stream that has started; may claim a reservation. */
  returning: "returning",
} as const;

/** One of {@link Caller}. */
export type Caller = typeof Caller[keyof typeof Caller];

/** Permits and reservations of one server. */
export class PermitBucket {
  #perMs = 0;
  #burst = 1;
  /** Available permits, including those of reservations whose time has come. */
  #level = 0;
  /** Times from which the reservations can be claimed, in order. */
  #reservedAtMs: number[] = [];
  #updatedAtMs: number;

  private constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /**
   * Creates a bucket without permits: requests that were sent before are not known here.
   *
   * @param perSecond Rate of the server, or this bucket's part of it.
   * @param nowMs The current time.
   * @returns The bucket.
   */
  static create(perSecond: number, nowMs: number): PermitBucket {
    const bucket = new PermitBucket(nowMs);
    bucket.setRate(perSecond, nowMs);
    return bucket;
  }

  /**
   * @param perSecond The rate from now on.
   * @param nowMs The current time.
   */
  setRate(perSecond: number, nowMs: number): void {
    this.#advance(nowMs);
    const rate = perSecond > 0 ? perSecond : ZERO_RATE_PROBES_PER_S;
    this.#perMs = rate / 1000;
    this.#burst = 1 + rate * BURST_S;
    this.#level = Math.min(this.#level, this.#capacity(nowMs));
  }

  /**
   * @param caller Who asks.
   * @param nowMs The current time.
   * @returns Whether the caller's request may be sent; its permit is then used up.
   */
  take(caller: Caller, nowMs: number): BucketVerdict {
    this.#advance(nowMs);
    const [first = Infinity] = this.#reservedAtMs;
    const isClaim = caller === Caller.returning &&
      first <= nowMs + EARLY_CLAIM_MS;
    const isAvailable = this.#level >= 1 - EPSILON &&
      (isClaim || this.#isUnreserved(nowMs));
    if (!isAvailable) return { kind: "denied", waitMs: this.#waitMs() };
    if (isClaim) this.#reservedAtMs.shift();
    this.#level--;
    return { kind: "granted" };
  }

  /**
   * Reserves the next permit that is not reserved yet.
   *
   * @param maxWaitMs Latest time at which the caller can use it; a later one is not reserved.
   * @param nowMs The current time.
   * @returns Time until the permit is available.
   */
  reserve(maxWaitMs: number, nowMs: number): number {
    this.#advance(nowMs);
    const waitMs = this.#waitMs();
    if (waitMs <= maxWaitMs) this.#reservedAtMs.push(nowMs + waitMs);
    return waitMs;
  }

  /**
   * Returns a permit whose request did not reach the server.
   *
   * @param nowMs The current time.
   */
  giveBack(nowMs: number): void {
    this.#advance(nowMs);
    this.#level = Math.min(this.#capacity(nowMs), this.#level + 1);
  }

  /** Whether every reservation can still be met in time if a new caller takes a permit now. */
  #isUnreserved(nowMs: number): boolean {
    return this.#reservedAtMs.every((atMs, i) => {
      const accrued = this.#perMs * Math.max(0, atMs - nowMs);
      return this.#level - 1 + accrued >= i + 1 - EPSILON;
    });
  }

  /** Time until a permit is available that is not reserved. */
  #waitMs(): number {
    const missing = this.#reservedAtMs.length + 1 - this.#level;
    return Math.max(0, missing) / this.#perMs;
  }

  #advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    this.#reservedAtMs = this.#reservedAtMs.filter((atMs) =>
      nowMs - atMs <= RESERVATION_TTL_MS
    );
    const filled = this.#level + elapsedMs * this.#perMs;
    this.#level = Math.min(this.#capacity(nowMs), filled);
  }

  /** Permits that wait for returning callers don't keep others from becoming available. */
  #capacity(nowMs: number): number {
    const due = this.#reservedAtMs.filter((atMs) => atMs <= nowMs).length;
    return this.#burst + due;
  }
}
