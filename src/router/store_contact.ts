/**
 * When the store answered this process and when it didn't, and what follows for registrations that
 * are gone: those that lapsed in an outage are written again after it, those of servers that left
 * are not. Times are counted from the store's return, not from when a deletion came.
 */
import type { Clock } from "../base/mod.ts";

/**
 * A registration lapses after three heartbeat intervals of silence: where two heartbeats in a row
 * are lost and the next one is a little late. So a store that is away for one interval lapses some.
 */
const AWAY_INTERVALS = 1;
/**
 * Time without an answer that shows the same where calls failed for a shorter time. A watch
 * whose connection has gone silent, while the store serves everyone, takes less.
 */
const SILENT_INTERVALS = 2;
/**
 * Registrations that lapsed are back within about two seconds of the store's return, which is met up
 * to a second late. Servers are looked at every 0.1 s, so one that did not come back is out of use
 * 3 s after the return, when the store counts as stable again and its word on leaving binds.
 */
const RETURN_MS = 1900;

/** A process that is not told that it runs for this long, some times the usual, has stood still. */
const STANDSTILL_MS = 500;
/** What waited while it did has been read by then. */
const READ_MS = 500;

/** A time in which the store didn't answer this process. */
export interface Outage {
  isOver: boolean;
  /** So far, where it isn't over; left out where it began before this process. */
  lengthMs?: number;
}

/** What a {@link StoreContact} works with. */
export interface StoreContactOptions {
  clock: Clock;
  /** Pause between writes of a server's registration. */
  heartbeatMs: number;
}

/** An outage that is over. */
interface PastOutage {
  fromMs: number;
  silentMs: number;
  regainedAtMs: number;
}

/** Contact with the store. */
export class StoreContact {
  readonly #clock: Clock;
  readonly #heartbeatMs: number;
  #answeredAtMs = -Infinity;
  #lostAtMs: number | undefined;
  /** The last one in which registrations may have lapsed. */
  #past: PastOutage | undefined;
  /** Time without an answer before the one that is taken now. */
  #gapMs = 0;
  readonly #startedAtMs: number;
  #tickedAtMs: number | undefined;
  /** The last time in which the process stood still. */
  #standstill: { lengthMs: number; endedAtMs: number } | undefined;

  private constructor({ clock, heartbeatMs }: StoreContactOptions) {
    this.#clock = clock;
    this.#heartbeatMs = heartbeatMs;
    this.#startedAtMs = clock.nowMs();
  }

  /**
   * @param options Clock and heartbeat interval.
   * @returns Contact that has not been made yet.
   */
  static create(options: StoreContactOptions): StoreContact {
    return new StoreContact(options);
  }

  /** Whether the last call was answered. */
  get connected(): boolean {
    return this.#lostAtMs === undefined && this.#answeredAtMs > -Infinity;
  }

  /** Whether registrations that lapsed in an outage may still be written again. */
  get awaitsReturns(): boolean {
    return !this.connected || this.#sinceRegainedMs < RETURN_MS;
  }

  /**
   * The outage in which a registration may have lapsed whose deletion is taken now. Servers that
   * live write theirs within one heartbeat interval of the store's return, so that later deletions
   * have another cause.
   */
  get outage(): Outage | undefined {
    if (!this.connected) {
      const lengthMs = finite(this.#nowMs - this.#answeredAtMs);
      return { isOver: false, lengthMs };
    }
    if (!this.#past || this.#sinceRegainedMs >= this.#heartbeatMs) {
      return undefined;
    }
    return { isOver: true, lengthMs: finite(this.#past.silentMs) };
  }

  /** For how long what is heard of the store now may have been so; 0: it has just changed. */
  get maxAgeMs(): number {
    if (!this.connected) return this.#nowMs - this.#answeredAtMs;
    return Math.max(this.#gapMs, this.#standstillMs);
  }

  /**
   * Whether others were served by the store while it didn't answer this process, so that what is
   * deleted has another cause than the outage.
   *
   * @param servedAtMs When the store answered another entry.
   */
  isServedElsewhere(servedAtMs: number): boolean {
    const isRecent =
      this.#nowMs - servedAtMs < SILENT_INTERVALS * this.#heartbeatMs;
    return isRecent && servedAtMs > this.#outageFromMs;
  }

  /** Time since the store's last answer, while it has served this process for a while. */
  get servedMs(): number | undefined {
    if (this.awaitsReturns) return undefined;
    return this.#nowMs - this.#answeredAtMs;
  }

  /** The process runs; to be told often. */
  tick(): void {
    const nowMs = this.#nowMs;
    const lengthMs = nowMs - (this.#tickedAtMs ?? nowMs);
    if (lengthMs >= STANDSTILL_MS) {
      this.#standstill = { lengthMs, endedAtMs: nowMs };
    }
    this.#tickedAtMs = nowMs;
  }

  /**
   * A call got no answer.
   *
   * @returns Whether it is the first one since the last answer.
   */
  failed(): boolean {
    if (this.#lostAtMs !== undefined) return false;
    this.#lostAtMs = this.#nowMs;
    return true;
  }

  /**
   * A call was answered.
   *
   * @returns Time since the first unanswered call, if there was one.
   */
  answered(): number | undefined {
    const nowMs = this.#nowMs;
    const silentMs = nowMs - this.#answeredAtMs;
    if (this.#mayHaveLapsed(silentMs)) {
      const fromMs = this.#lostAtMs ?? this.#answeredAtMs;
      this.#past = { fromMs, silentMs, regainedAtMs: nowMs };
    }
    const lostAtMs = this.#lostAtMs;
    if (!this.connected) this.#gapMs = silentMs;
    this.#lostAtMs = undefined;
    this.#answeredAtMs = nowMs;
    return lostAtMs === undefined ? undefined : nowMs - lostAtMs;
  }

  /** All was taken that had changed without contact. */
  caughtUp(): void {
    this.#gapMs = 0;
  }

  #mayHaveLapsed(silentMs: number): boolean {
    if (silentMs >= SILENT_INTERVALS * this.#heartbeatMs) return true;
    if (this.#lostAtMs === undefined) return false;
    const awayMs = this.#nowMs - this.#lostAtMs;
    if (awayMs >= AWAY_INTERVALS * this.#heartbeatMs) return true;
    // What lapsed in the outage before had no time to be back.
    return this.#answeredAtMs - this.#regainedAtMs < RETURN_MS;
  }

  /** When the store last was lost. */
  get #outageFromMs(): number {
    if (this.connected) return this.#past?.fromMs ?? -Infinity;
    // The loss is noticed some time after it; what the store told a peer in between is no lapse.
    return Math.max(this.#answeredAtMs, this.#startedAtMs);
  }

  /** How long what is read now may have waited while the process stood still; 0: not at all. */
  get #standstillMs(): number {
    const sinceTickMs = this.#nowMs - (this.#tickedAtMs ?? this.#nowMs);
    if (sinceTickMs >= STANDSTILL_MS) return sinceTickMs;
    if (!this.#standstill) return 0;
    const { lengthMs, endedAtMs } = this.#standstill;
    const sinceMs = this.#nowMs - endedAtMs;
    return sinceMs < READ_MS ? lengthMs + sinceMs : 0;
  }

  get #sinceRegainedMs(): number {
    return this.#nowMs - this.#regainedAtMs;
  }

  get #regainedAtMs(): number {
    return this.#past?.regainedAtMs ?? -Infinity;
  }

  get #nowMs(): number {
    return this.#clock.nowMs();
  }
}

function finite(ms: number): number | undefined {
  return Number.isFinite(ms) ? ms : undefined;
}
