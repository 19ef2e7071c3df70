/** Health of a backend server, derived from its answers and from failed or silent requests. */

/** Initial backoff after a failed connection; doubles with each further failure. */
const MIN_BACKOFF_MS = 300;
/** Maximum backoff; bounds the time until a recovered server is used again. */
const MAX_BACKOFF_MS = 2400;
/** Half-life of the failure count. */
const FAILURE_HALF_LIFE_MS = 3000;
/** Time after a connection broke in which a probe finds out whether the server has ended. */
const UNDECIDED_MS = 300;
/** Weight of the newest sample in the moving average of the slowness. */
const SAMPLE_WEIGHT = 0.15;
/** Half-life of the slowness estimate while the server sends no answers. */
const SLOWNESS_HALF_LIFE_MS = 8000;
/** Bounds of the slowness factor. */
const SLOWNESS_MIN = 0.3;
const SLOWNESS_MAX = 12;

/** Health of one backend server, derived from request traffic alone. */
export class Health {
  #isDown = false;
  #hasEnded = false;
  #mayHaveEnded = false;
  #brokeAtMs = -Infinity;
  #probeAtMs = -Infinity;
  #backoffMs = MIN_BACKOFF_MS;
  #failures = 0;
  #failuresAtMs = 0;
  #slowness = 1;
  #slownessAtMs = 0;

  private constructor() {}

  /**
   * Creates the health state of a server without known problems.
   *
   * @returns The health state.
   */
  static create(): Health {
    return new Health();
  }

  /** Whether to send no requests until a connection to the server succeeds. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /**
   * Whether the last connection attempt found no listener, so that the process has probably ended.
   */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether another process may answer than the one that last registered. */
  get mayHaveEnded(): boolean {
    return this.#mayHaveEnded;
  }

  /**
   * Checks whether it is time to probe a server that is down.
   *
   * @param nowMs Current time.
   * @returns Whether to attempt a connection.
   */
  isProbeDue(nowMs: number): boolean {
    return this.#isDown && nowMs >= this.#probeAtMs;
  }

  /**
   * Returns the decayed failure count.
   *
   * @param nowMs Current time.
   * @returns Number of recent failures, decaying over time.
   */
  failures(nowMs: number): number {
    const age = nowMs - this.#failuresAtMs;
    return this.#failures * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
  }

  /**
   * Returns the slowness estimate, which decays towards 1 without new answers.
   *
   * @param nowMs Current time.
   * @returns Ratio of actual to expected answer times.
   */
  slowness(nowMs: number): number {
    const age = nowMs - this.#slownessAtMs;
    const weight = 0.5 ** (age / SLOWNESS_HALF_LIFE_MS);
    return 1 + (this.#slowness - 1) * weight;
  }

  /**
   * Records a failed connection, or that the server sends nothing to any request.
   *
   * @param nowMs Current time.
   */
  unreachable(nowMs: number): void {
    // Requests in flight at the same time fail together and count as one failure.
    if (this.#isDown && nowMs < this.#probeAtMs) return;
    this.#isDown = true;
    this.#probeAtMs = nowMs + this.#backoffMs;
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
  }

  /**
   * Records that the connection was refused because nothing listens at the server's address.
   *
   * @param nowMs Current time.
   */
  refusedConnection(nowMs: number): void {
    this.#hasEnded = true;
    this.#mayHaveEnded = true;
    this.unreachable(nowMs);
  }

  /**
   * Records that another entry found the server silent. A probe is due at once.
   *
   * @param nowMs Current time.
   */
  markSuspected(nowMs: number): void {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#probeAtMs = nowMs;
  }

  /**
   * Records that a connection broke while the server ran a request on it.
   *
   * @param nowMs Current time.
   */
  connectionBroke(nowMs: number): void {
    this.#mayHaveEnded = true;
    this.#brokeAtMs = nowMs;
  }

  /**
   * @param nowMs Current time.
   * @returns Whether a connection broke a moment ago, and the server is not known to have ended.
   */
  isEndUndecided(nowMs: number): boolean {
    return !this.#hasEnded && nowMs - this.#brokeAtMs < UNDECIDED_MS;
  }

  /** Records that another process answers than the one that has registered. */
  processReplaced(): void {
    this.#mayHaveEnded = true;
  }

  /** Records that the server has registered. */
  registered(): void {
    this.#mayHaveEnded = false;
  }

  /** Records a successful connection. */
  reached(): void {
    this.#isDown = false;
    this.#hasEnded = false;
  }

  /**
   * Records a failed request.
   *
   * @param nowMs Current time.
   */
  failed(nowMs: number): void {
    this.#failures = this.failures(nowMs) + 1;
    this.#failuresAtMs = nowMs;
  }

  /**
   * Records that the server started to answer.
   *
   * @param nowMs Current time.
   * @param ratio Time to the start of the answer, as a multiple of the expected time.
   */
  answered(nowMs: number, ratio: number): void {
    this.reached();
    this.#backoffMs = MIN_BACKOFF_MS;
    const bounded = Math.min(SLOWNESS_MAX, Math.max(SLOWNESS_MIN, ratio));
    const before = this.slowness(nowMs);
    this.#slowness = before + SAMPLE_WEIGHT * (bounded - before);
    this.#slownessAtMs = nowMs;
  }
}
