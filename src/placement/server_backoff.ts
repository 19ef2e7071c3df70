/**
 * Exponential backoff of failing servers: a server is excluded for a growing time after each
 * failure, then probed by a single request.
 */

/** Backoff after the first failure, before jitter; doubled by each further one. */
const MIN_BACKOFF_MS = 250;
/** Bound on the backoff, before jitter. */
const MAX_BACKOFF_MS = 8000;

interface FailureRecord {
  /** Consecutive failures. */
  failures: number;
  /** Monotonic time until which the server is excluded. */
  retryAtMs: number;
}

/** Tracks the failures that this process observes in its own traffic. */
export class ServerBackoff {
  readonly #records = new Map<string, FailureRecord>();
  readonly #random: () => number;

  private constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * @param random Uniform in [0, 1); jitters the backoff so that entries don't retry in step.
   * @returns A tracker without failures.
   */
  static create(random: () => number): ServerBackoff {
    return new ServerBackoff(random);
  }

  /** Ids of the servers that failed and have not answered since. */
  get failingIds(): Iterable<string> {
    return this.#records.keys();
  }

  /**
   * @param id A server's id.
   * @param nowMs Monotonic time.
   * @returns Whether the server is in backoff.
   */
  excludes(id: string, nowMs: number): boolean {
    const record = this.#records.get(id);
    return record !== undefined && nowMs < record.retryAtMs;
  }

  /** Records a failure and starts a backoff, whose length doubles with each consecutive failure. */
  failed(id: string, nowMs: number): void {
    const failures = (this.#records.get(id)?.failures ?? 0) + 1;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** (failures - 1),
    );
    const retryAtMs = nowMs + backoffMs * (0.75 + this.#random() / 2);
    this.#records.set(id, { failures, retryAtMs });
  }

  /**
   * Records that a request was sent to a server, and excludes a failing one from others meanwhile.
   */
  probeSent(id: string, nowMs: number): void {
    const record = this.#records.get(id);
    if (record) record.retryAtMs = nowMs + MIN_BACKOFF_MS;
  }

  /** Records that a server answered, which ends its backoff. */
  answered(id: string): void {
    this.#records.delete(id);
  }
}
