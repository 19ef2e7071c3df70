/** Timeouts and limits of an entry, with their defaults. */

/** Timeouts and limits of an entry. */
export interface EntryTuning {
  /** A run's stream without the expected message for this long is reattached, in ms. */
  progressMs: number;
  /** Timeout of an agent's answer on a connection that may be dead, in ms. */
  probeMs: number;
  /** Reattaches to an unresponsive run before the entry looks for another agent. */
  maxAttaches: number;
  /** Timeout of an agent's offer, in ms. */
  askTimeoutMs: number;
  /**
   * How long an agent reserves capacity for an offer, in ms. Until they expire, reservations at
   * servers that weren't selected count as queued work there. If one expires too early, the request
   * only loses its reserved place.
   */
  holdMs: number;
  /** Maximum number of rounds in which candidates are asked for offers for one request. */
  maxRounds: number;
  /** Number of pieces an agent may send beyond the last acknowledged one. */
  windowPieces: number;
  /** Timeout of a Cancel call, in ms. */
  cancelTimeoutMs: number;
  /** Timeout of the upload of a request body, in ms. */
  bodyTimeoutMs: number;
  /** Minimum time to read the rest of a finished answer, even after the deadline, in ms. */
  lingerMs: number;
  /** Maximum number of open channels to agents and peers. */
  maxChannels: number;
  /** Idle time after which a channel is closed, in ms. */
  channelIdleMs: number;
  /** Timeout of one long poll of the list of instances, in ms. */
  listWaitMs: number;
}

/** Defaults of {@link EntryTuning}. */
export const DEFAULT_TUNING: EntryTuning = {
  progressMs: 600,
  probeMs: 250,
  maxAttaches: 3,
  askTimeoutMs: 250,
  holdMs: 15,
  maxRounds: 4,
  windowPieces: 64,
  cancelTimeoutMs: 500,
  bodyTimeoutMs: 30_000,
  lingerMs: 30_000,
  maxChannels: 2400,
  channelIdleMs: 60_000,
  listWaitMs: 20_000,
};
