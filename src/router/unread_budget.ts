/** Bounds the unread bytes of responses whose reading can't be paused. */
import { DEFAULT_SHARES } from "../base/memory_shares.ts";

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
 * One response may be as large as the largest whole answer. Responses that declare their end are paused at 64 KB, which is free
 * here as well, so that clients that read are not affected.
 */
const DEFAULT_LIMITS: UnreadLimits = {
  responseBytes: 16 * 1024 * 1024,
  totalBytes: DEFAULT_SHARES.unreadBytes,
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
  static create({
    responseBytes = DEFAULT_LIMITS.responseBytes,
    totalBytes = DEFAULT_LIMITS.totalBytes,
    freeBytes = DEFAULT_LIMITS.freeBytes,
  }: Partial<UnreadLimits> = {}): UnreadBudget {
    return new UnreadBudget({ responseBytes, totalBytes, freeBytes });
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
