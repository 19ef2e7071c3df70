/** Admission control: refuses requests that can't be answered before their deadline. */

/** Expected times of a request at the server that was chosen for it. */
export interface ExpectedAnswer {
  /** Time to the first byte. */
  expectedMs: number;
  /** Part of {@link ExpectedAnswer.expectedMs} that the request spends behind others. */
  queueMs: number;
  /** Time from the first byte to the last; 0 if unknown. */
  outputMs: number;
}

/**
 * A server without other requests is tried in any case: this delays nobody, and only its answer shows
 * how long it takes.
 *
 * @param answer Expected times at the server.
 * @param leftMs Time until the request's deadline.
 * @returns Whether the request may be sent; if not, it is refused at once.
 */
export function canMeetDeadline(
  { expectedMs, queueMs, outputMs }: ExpectedAnswer,
  leftMs: number,
): boolean {
  return queueMs <= 0 || expectedMs + outputMs <= leftMs;
}

/**
 * A client that returned earlier would be refused again, so the delay ends when its time has passed, or
 * later if the requests ahead take longer.
 *
 * @param leftMs Time until the deadline of a request that can't meet it.
 * @param queueMs Time that it would spend behind others.
 * @returns Retry delay.
 */
export function hopelessRetryAfterMs(leftMs: number, queueMs = 0): number {
  return Math.max(0, leftMs, queueMs);
}

/** Lag up to which all requests are accepted. */
const SHED_FROM_MS = 75;
/** Lag from which all requests are refused. */
const SHED_ALL_MS = 400;

/**
 * Load shedding while the process reads requests late, under many times the usual load or on a slow
 * instance: each accepted request delays all others, and other entries may have capacity.
 *
 * @param lagMs Time that requests wait before the process reads them.
 * @param chance Random number from 0 to 1.
 * @returns Whether a request is refused; the probability grows linearly with the lag.
 */
export function shouldShed(lagMs: number, chance: number): boolean {
  return chance < (lagMs - SHED_FROM_MS) / (SHED_ALL_MS - SHED_FROM_MS);
}
