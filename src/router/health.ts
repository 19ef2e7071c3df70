/** What a server's own answers, and their absence, say of it. */

/** Time that a server is left alone after the first failed connection; doubled with each further. */
const DOWN_MIN_MS = 300;
/** A server that is back is met again within this time. */
const DOWN_MAX_MS = 2400;
/** Half-life of the memory of failed requests. */
const FAILURE_HALF_LIFE_MS = 3000;
/** Weight of the newest sample in the moving averages of speed. */
const SAMPLE_WEIGHT = 0.15;
/** Half-life of what is known about a server's speed while nothing is heard of it. */
const SPEED_HALF_LIFE_MS = 8000;
/** Bounds of the factor by which a server counts as slower than expected. */
const SLOWNESS_MIN = 0.3;
const SLOWNESS_MAX = 12;

/** Health of one backend server, judged from traffic alone. */
export class Health {
  #isDown = false;
  #hasEnded = false;
  #probeAtMs = -Infinity;
  #downForMs = DOWN_MIN_MS;
  #failures = 0;
  #failuresAtMs = 0;
  #slowness = 1;
  #slownessAtMs = 0;

  private constructor() {}

  /** @returns The health of a server of which nothing bad is known. */
  static create(): Health {
    return new Health();
  }

  /** Whether the server should be left alone until it can be connected to. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Whether nothing listens at its address, as far as known: its process has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /**
   * @param nowMs The time.
   * @returns Whether to try to connect to a server that is down.
   */
  isProbeDue(nowMs: number): boolean {
    return this.#isDown && nowMs >= this.#probeAtMs;
  }

  /**
   * @param nowMs The time.
   * @returns Number of recent failures, older ones counting less.
   */
  failures(nowMs: number): number {
    const age = nowMs - this.#failuresAtMs;
    return this.#failures * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
  }

  /**
   * @param nowMs The time.
   * @returns How many times longer than expected its answers take.
   */
  slowness(nowMs: number): number {
    const age = nowMs - this.#slownessAtMs;
    const trust = 0.5 ** (age / SPEED_HALF_LIFE_MS);
    return 1 + (this.#slowness - 1) * trust;
  }

  /**
   * A connection failed, or the server says nothing to anyone.
   *
   * @param nowMs The time.
   */
  unreachable(nowMs: number): void {
    // Requests that were sent together fail together and count once.
    if (this.#isDown && nowMs < this.#probeAtMs) return;
    this.#isDown = true;
    this.#probeAtMs = nowMs + this.#downForMs;
    this.#downForMs = Math.min(DOWN_MAX_MS, this.#downForMs * 2);
  }

  /**
   * Nothing listens at the server's address.
   *
   * @param nowMs The time.
   */
  refusedConnection(nowMs: number): void {
    this.#hasEnded = true;
    this.unreachable(nowMs);
  }

  /**
   * Another entry found the server silent.
   *
   * @param nowMs The time.
   */
  doubted(nowMs: number): void {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#probeAtMs = nowMs;
  }

  /** A connection could be made. */
  reached(): void {
    this.#isDown = false;
    this.#hasEnded = false;
  }

  /**
   * A request failed at the server.
   *
   * @param nowMs The time.
   */
  failed(nowMs: number): void {
    this.#failures = this.failures(nowMs) + 1;
    this.#failuresAtMs = nowMs;
  }

  /**
   * The server began to answer.
   *
   * @param nowMs The time.
   * @param ratio Time that it took, as a multiple of what was expected.
   */
  answered(nowMs: number, ratio: number): void {
    this.reached();
    this.#downForMs = DOWN_MIN_MS;
    const bounded = Math.min(SLOWNESS_MAX, Math.max(SLOWNESS_MIN, ratio));
    const before = this.slowness(nowMs);
    this.#slowness = before + SAMPLE_WEIGHT * (bounded - before);
    this.#slownessAtMs = nowMs;
  }
}
