/** Numbers of requests of a service that were admitted lately, by priority, to explain refusals. */
import type { PriorityCounts } from "../scheduling/mod.ts";

/** Admitted requests by priority. */
export type AdmittedCounts = Record<string, number>;

/** Admissions cover the last one to two of these intervals. */
const INTERVAL_MS = 1000;

type Counts = readonly (PriorityCounts | undefined)[];

/** Admissions of the last seconds. */
export class RecentAdmissions {
  #lastAtMs = -Infinity;
  #last: number[] = [];
  #before: number[] = [];

  private constructor() {}

  /** @returns Recent admissions without any. */
  static create(): RecentAdmissions {
    return new RecentAdmissions();
  }

  /**
   * @param counts Admissions since the start.
   * @param nowMs Current time.
   * @returns The recent ones.
   */
  until(counts: Counts, nowMs: number): AdmittedCounts {
    if (nowMs - this.#lastAtMs >= INTERVAL_MS) {
      const isLongAgo = nowMs - this.#lastAtMs >= 2 * INTERVAL_MS;
      this.#before = isLongAgo ? admittedOf(counts) : this.#last;
      this.#last = admittedOf(counts);
      this.#lastAtMs = nowMs;
    }
    return admittedSince(counts, this.#before);
  }
}

/**
 * @param counts Admissions since the start.
 * @returns Their numbers, by priority.
 */
export function admittedOf(counts: Counts): number[] {
  return Array.from(counts, (count) => count?.admitted ?? 0);
}

/**
 * @param counts Admissions since the start.
 * @param before Their numbers at an earlier time.
 * @returns Those since then, by priority; priorities without any are left out.
 */
export function admittedSince(
  counts: Counts,
  before: readonly number[],
): AdmittedCounts {
  const since: AdmittedCounts = {};
  for (const [priority, admitted] of admittedOf(counts).entries()) {
    const count = admitted - (before[priority] ?? 0);
    if (count > 0) since[priority] = count;
  }
  return since;
}
