/**
 * Permits for the requests to one server that takes a limited rate. A caller who is refused may get a
 * reservation: a permit that becomes available when the caller is told to return, and that nobody else
 * can take. It lapses if it isn't claimed.
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

/** What a permit is asked for; the values are those of the datagrams. */
export const CallerKind = {
  /** A request whose client has received nothing. */
  attempt: "new",
  /** A stream that has begun; its client waits for the rest. */
  stream: "returning",
} as const;

/** One of {@link CallerKind}. */
export type CallerKind = typeof CallerKind[keyof typeof CallerKind];

/** Who asks for a permit. */
export interface Caller {
  readonly kind: CallerKind;
  /** Identifies all attempts of a caller at a request, which may claim its reservations. */
  readonly holder: string;
}

/** A permit that one caller may claim. */
interface Reservation {
  atMs: number;
  holder: string;
}

/** Permits and reservations of one server. */
export class PermitBucket {
  #perMs = 0;
  #burst = 1;
  /** Available permits, including those of reservations whose time has come. */
  #level = 0;
  /** Reservations by the time from which they can be claimed. */
  #reservations: Reservation[] = [];
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
  take({ holder }: Caller, nowMs: number): BucketVerdict {
    this.#advance(nowMs);
    const claimed = this.#reservations.findIndex((one) =>
      one.holder === holder && one.atMs <= nowMs + EARLY_CLAIM_MS
    );
    // The permits of those whose time came earlier are kept for them.
    const isAvailable = claimed < 0
      ? this.#level >= 1 - EPSILON && this.#isUnreserved(nowMs)
      : this.#level >= claimed + 1 - EPSILON;
    if (!isAvailable) return { kind: "denied", waitMs: this.#waitMs() };
    if (claimed >= 0) this.#reservations.splice(claimed, 1);
    this.#level--;
    return { kind: "granted" };
  }

  /**
   * @param holder A caller.
   * @returns Whether it has a reservation.
   */
  hasReservation(holder: string): boolean {
    return this.#reservations.some((one) => one.holder === holder);
  }

  /**
   * @param untilMs A time.
   * @returns Holders of the reservations that can be claimed until then.
   */
  holdersUntil(untilMs: number): string[] {
    return this.#reservations
      .filter(({ atMs }) => atMs - EARLY_CLAIM_MS <= untilMs)
      .map(({ holder }) => holder);
  }

  /**
   * Reserves the next permit that is not reserved yet.
   *
   * @param holder Who may claim it.
   * @param maxWaitMs Latest time at which the caller can use it; a later one is not reserved.
   * @param nowMs The current time.
   * @returns Time until the permit is available.
   */
  reserve(holder: string, maxWaitMs: number, nowMs: number): number {
    this.#advance(nowMs);
    const waitMs = this.#waitMs();
    if (waitMs <= maxWaitMs) {
      this.#reservations.push({ atMs: nowMs + waitMs, holder });
    }
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

  /** Whether every reservation can still be met in time if another caller takes a permit now. */
  #isUnreserved(nowMs: number): boolean {
    return this.#reservations.every(({ atMs }, i) => {
      const accrued = this.#perMs * Math.max(0, atMs - nowMs);
      return this.#level - 1 + accrued >= i + 1 - EPSILON;
    });
  }

  /** Time until a permit is available that is not reserved. */
  #waitMs(): number {
    const missing = this.#reservations.length + 1 - this.#level;
    return Math.max(0, missing) / this.#perMs;
  }

  #advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    this.#reservations = this.#reservations.filter(({ atMs }) =>
      nowMs - atMs <= RESERVATION_TTL_MS
    );
    const filled = this.#level + elapsedMs * this.#perMs;
    this.#level = Math.min(this.#capacity(nowMs), filled);
  }

  /** Permits that wait for returning callers don't keep others from becoming available. */
  #capacity(nowMs: number): number {
    const due = this.#reservations.filter(({ atMs }) => atMs <= nowMs);
    return this.#burst + due.length;
  }
}
