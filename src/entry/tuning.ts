/** Times and bounds of an entry that have defaults. */

/** Times and bounds of an entry. */
export interface EntryTuning {
  /** A stream without a message for this long, although more is due, is opened anew, in ms. */
  progressMs: number;
  /** How long an agent may take to answer on a connection that may be dead, in ms. */
  probeMs: number;
  /** Times that a silent run is attached to again before another agent is looked for. */
  maxAttaches: number;
  /** Longest wait for offers, in ms. */
  askTimeoutMs: number;
  /**
   * How long an agent holds a place for an offer, in ms. Holds at servers that weren't chosen count as
   * queue there; one that lapses too early costs only the place.
   */
  holdMs: number;
  /** Rounds of candidates for one request. */
  maxRounds: number;
  /** Pieces an agent may send beyond the last acknowledged one. */
  windowPieces: number;
  /** How long to wait for the answer to a Cancel, in ms. */
  cancelTimeoutMs: number;
  /** How long an upload of a body may take, in ms. */
  bodyTimeoutMs: number;
  /** How long a caller without time left may take to read the rest of a finished answer, in ms. */
  lingerMs: number;
  /** Channels kept open to agents and peers. */
  maxChannels: number;
  /** A channel without a call for this long is closed, in ms. */
  channelIdleMs: number;
  /** How long the list of instances may hold back its answer, in ms. */
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
