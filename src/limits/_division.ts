/** The arithmetic of shares. */

/** A team's limits, or an entry's part of them. */
export interface Limits {
  maxInFlight: number;
  tokensPerSecond: number;
}

/** Part of a limit that is spread evenly and needs no message. */
const FLOOR_SHARE = 0.2;
/** An entry gets no more than this multiple of what it wants, so that something stays at hand. */
const HEADROOM_FACTOR = 2;
/** A share is not cut for less than this part of it, so that shares don't swing with each report. */
const MIN_CUT_SHARE = 0.2;

/** What one division is made from; all of one kind, requests or tokens per second. */
export interface DivisionInput {
  limit: number;
  /** What an entry without a share may use. */
  floor: number;
  /** Entries that have not reported. */
  silentCount: number;
  /** Entries that report, this one included. */
  reporterCount: number;
  wanted: number;
  /** The share that the entry has now. */
  held: number;
  wantedByOthers: number;
  heldByOthers: number;
}

/**
 * @param limits A team's limits.
 * @param entryCount Live entries.
 * @returns What an entry may use without asking; at least one request, so that any entry serves any
 * team at once.
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
 * @param entryCount Live entries.
 * @returns The same part for each entry.
 */
export function evenShare(limits: Limits, entryCount: number): Limits {
  const fraction = 1 / Math.max(1, entryCount);
  return {
    maxInFlight: Math.ceil(limits.maxInFlight * fraction),
    tokensPerSecond: Math.ceil(limits.tokensPerSecond * fraction),
  };
}

/**
 * @param input What is divided.
 * @returns The share aimed at, with some headroom but no more; a fraction.
 */
export function targetShare(input: DivisionInput): number {
  const { wanted, floor, held } = input;
  if (wanted <= 0) return 0;
  const sufficient = Math.max(floor, wanted * HEADROOM_FACTOR);
  const target = Math.max(1, Math.min(fairShare(input), sufficient));
  return target < held && target >= held * (1 - MIN_CUT_SHARE) ? held : target;
}

/**
 * @param target The share aimed at.
 * @param input What is divided.
 * @returns As much of it as nobody else may be using, in whole numbers.
 */
export function grantableShare(target: number, input: DivisionInput): number {
  const available = distributableLimit(input) - input.heldByOthers;
  return Math.max(0, Math.floor(Math.min(Math.ceil(target), available)));
}

/** What is wanted and an even part of the surplus, or in proportion when there is none. */
function fairShare(input: DivisionInput): number {
  const { wanted, wantedByOthers, reporterCount } = input;
  const total = wanted + wantedByOthers;
  const surplus = distributableLimit(input) - total;
  if (surplus >= 0) return wanted + surplus / reporterCount;
  return distributableLimit(input) * wanted / total;
}

/** What is left when silent entries keep their floors; never less than 80%. */
function distributableLimit(
  { limit, floor, silentCount }: DivisionInput,
): number {
  return limit - Math.min(limit * FLOOR_SHARE, floor * silentCount);
}
