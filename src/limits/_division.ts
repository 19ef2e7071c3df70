/** Computes how a team's limits are divided into shares for the entries. */

/** A team's limits, or the share of them that one entry may use. */
export interface Limits {
  maxInFlight: number;
  tokensPerSecond: number;
}

/** Part of a limit that is divided evenly between all entries and needs no report. */
const FLOOR_SHARE = 0.2;
/** Caps a share at this multiple of the demand, which leaves capacity for later demands. */
const HEADROOM_FACTOR = 2;
/** Smaller reductions, as a part of the share, are skipped so that shares don't fluctuate. */
const MIN_CUT_SHARE = 0.2;

/** Input of one division; all amounts are requests in flight, or all are tokens per second. */
export interface DivisionInput {
  limit: number;
  /** Amount that an entry without a share may use. */
  floor: number;
  /** Entries that have not reported. */
  silentCount: number;
  /** Entries that report, including the one that gets this share. */
  reporterCount: number;
  wanted: number;
  /** Share that the entry holds now. */
  held: number;
  wantedByOthers: number;
  heldByOthers: number;
}

/**
 * @param limits A team's limits.
 * @param entryCount Entries that are running.
 * @returns The floor: the amount that an entry may use without a share. It is at least one request, so
 * that every entry can serve every team at once.
 */
export function floorShare(limits: Limits, entryCount: number): Limits {
  const fraction = FLOOR_SHARE / Math.max(1, entryCount);
  return {
    maxInFlight: Math.max(1, Math.floor(limits.maxInFlight * fraction)),
    tokensPerSecond: Math.max(1, Math.floor(limits.tokensPerSecond * fraction)),
  };
}

/**
 * @param limits A team's limits.
 * @param entryCount Entries that are running.
 * @returns An equal part for each entry, rounded up.
 */
export function evenShare(limits: Limits, entryCount: number): Limits {
  const fraction = 1 / Math.max(1, entryCount);
  return {
    maxInFlight: Math.ceil(limits.maxInFlight * fraction),
    tokensPerSecond: Math.ceil(limits.tokensPerSecond * fraction),
  };
}

/**
 * @param input Limit and demands.
 * @returns The share that an entry should get, before rounding: its fair share, up to its demand times
 * {@link HEADROOM_FACTOR}.
 */
export function targetShare(input: DivisionInput): number {
  const { wanted, floor, held } = input;
  if (wanted <= 0) return 0;
  const sufficient = Math.max(floor, wanted * HEADROOM_FACTOR);
  const target = Math.max(1, Math.min(fairShare(input), sufficient));
  return target < held && target >= held * (1 - MIN_CUT_SHARE) ? held : target;
}

/**
 * @param target The share that the entry should get.
 * @param input Limit and demands.
 * @returns The part of the target that no other entry may still be using, as an integer.
 */
export function grantableShare(target: number, input: DivisionInput): number {
  const available = distributableLimit(input) - input.heldByOthers;
  return Math.max(0, Math.floor(Math.min(Math.ceil(target), available)));
}

/** The demand plus an even part of the surplus; without a surplus, in proportion to the demand. */
function fairShare(input: DivisionInput): number {
  const { wanted, wantedByOthers, reporterCount } = input;
  const total = wanted + wantedByOthers;
  const surplus = distributableLimit(input) - total;
  if (surplus >= 0) return wanted + surplus / reporterCount;
  return distributableLimit(input) * wanted / total;
}

/** The limit less the floors of entries that have not reported; at least 80% of the limit. */
function distributableLimit(
  { limit, floor, silentCount }: DivisionInput,
): number {
  return limit - Math.min(limit * FLOOR_SHARE, floor * silentCount);
}
