/** Report intervals and share lifetimes, which bound the traffic of a coordinator. */

/** Target rate of reports at a coordinator; exceeded only once intervals reach the maximum. */
const MAX_REPORTS_PER_SECOND = 30;
const MIN_INTERVAL_MS = 1000;
const MAX_INTERVAL_MS = 20_000;
/** Lifetime of a share in report intervals, so that a lost report doesn't end the share. */
const INTERVALS_PER_TTL = 3;

/**
 * @param reporterCount Entries that report, counted once for each team.
 * @returns Time between two reports of one entry for one team.
 */
export function reportIntervalMs(reporterCount: number): number {
  const ms = reporterCount * 1000 / MAX_REPORTS_PER_SECOND;
  return Math.round(Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, ms)));
}

/**
 * @param reporterCount Entries that report, counted once for each team.
 * @returns Lifetime of a share.
 */
export function shareTtlMs(reporterCount: number): number {
  return reportIntervalMs(reporterCount) * INTERVALS_PER_TTL;
}
