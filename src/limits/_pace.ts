/** How often entries report, so that a coordinator's traffic stays within its budget. */

/** Reports that a coordinator takes each second, for all its teams. */
const MAX_REPORTS_PER_SECOND = 30;
const MIN_INTERVAL_MS = 1000;
const MAX_INTERVAL_MS = 20_000;
/** Reports that may be lost before a share lapses. */
const INTERVALS_PER_TTL = 3;

/**
 * @param reporterCount Entries that report, counted once for each team.
 * @returns Time between two reports of one entry.
 */
export function reportIntervalMs(reporterCount: number): number {
  const ms = reporterCount * 1000 / MAX_REPORTS_PER_SECOND;
  return Math.round(Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, ms)));
}

/**
 * @param reporterCount Entries that report, counted once for each team.
 * @returns Time for which a share holds.
 */
export function shareTtlMs(reporterCount: number): number {
  return reportIntervalMs(reporterCount) * INTERVALS_PER_TTL;
}
