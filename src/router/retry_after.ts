/** Retry delays of refused requests for which nothing is known about when they can be served. */

/** Range of the random retry delay that refused clients are given. */
const RETRY_AFTER_MIN_MS = 200;
const RETRY_AFTER_MAX_MS = 700;
/** Clients ignore a retry delay above about a third of their remaining time; this stays below. */
export const RETRY_AFTER_SHARE = 0.3;

/**
 * @param leftMs Time until the client's deadline.
 * @param random Returns a random number from 0 to 1.
 * @returns Retry delay, randomized so that refused clients don't retry at the same time.
 */
export function retryAfterMs(leftMs: number, random: () => number): number {
  const span = RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS;
  const pauseMs = RETRY_AFTER_MIN_MS + span * random();
  return Math.max(0, Math.min(pauseMs, leftMs * RETRY_AFTER_SHARE));
}
