/** Bounds the unread bytes of responses whose reading can't be paused. */

/** Limits of an {@link UnreadBudget}. */
export interface UnreadLimits {
  /** Unread bytes of one response. */
  responseBytes: number;
  /** Unread bytes of all responses together. */
  totalBytes: number;
  /** Unread bytes that each response may have even if the total is exceeded. */
  freeBytes: number;
}

/**
 * One response may be as large as the largest whole answer; the total leaves room for the rest of the
 * process on entries with 200 MB. Responses that declare their end are paused at 64 KB, which is free
 * here as well, so that clients that read are not affected.
 */
const DEFAULT_LIMITS: UnreadLimits = {
  responseBytes: 16 * 1024 * 1024,
  totalBytes: 32 * 1024 * 1024,
  freeBytes: 64 * 1024,
};

/** Counts unread bytes of all responses without a declared end. */
export class UnreadBudget {
  readonly #limits: UnreadLimits;
  #totalBytes = 0;

  private constructor(limits: UnreadLimits) {
    this.#limits = limits;
  }

  /**
   * @param limits Limits that differ from the defaults.
   * @returns A budget of which nothing is used.
   */
  static create(limits: Partial<UnreadLimits> = {}): UnreadBudget {
    return new UnreadBudget({ ...DEFAULT_LIMITS, ...limits });
  }

  /** Unread bytes of all responses. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** @param bytes Bytes that arrived; negative if they were read or dropped. */
  add(bytes: number): void {
    this.#totalBytes += bytes;
  }

  /**
   * @param unreadBytes Unread bytes of one response, which are counted.
   * @returns Whether the response exceeds a limit, alone or with the others.
   */
  isExceededBy(unreadBytes: number): boolean {
    const { responseBytes, totalBytes, freeBytes } = this.#limits;
    const isTotalExceeded = this.#totalBytes > totalBytes;
    return unreadBytes > (isTotalExceeded ? freeBytes : responseBytes);
  }
}
