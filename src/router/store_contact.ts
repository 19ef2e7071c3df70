/**
 * Tracks the store's outages as this process sees them, to tell registrations that lapsed in an outage
 * from those of servers that left: live servers register again after an outage, the others don't.
 * Grace periods start when the store is back, not when a deletion is received. A restore from an older
 * copy counts as an outage, however short, since the copy may lack registrations.
 */
import type { Clock } from "../base/mod.ts";

/**
 * Heartbeat intervals of failing calls after which registrations may have lapsed. A registration
 * lapses after three intervals without a write, which happens when two heartbeats in a row are lost
 * and the next one is a little late; a store that is down for one interval can cause that.
 */
const FAILING_INTERVALS = 1;
/**
 * Heartbeat intervals without any answer after which registrations may have lapsed, even if calls
 * failed for a shorter time. A watch recovers from a dead connection, while the store serves
 * everyone, in less time.
 */
const SILENT_INTERVALS = 2;
/**
 * Grace period for servers to register again, from the first answer after an outage. Lapsed
 * registrations are back within about 2 s of the store's recovery, which is noticed up to 1 s late.
 * Servers are checked every 0.1 s, so one that did not register again is out of use 3 s after the
 * recovery, when the store counts as stable again and deletions are binding.
 */
const REREGISTRATION_GRACE_MS = 1900;

/** A gap between ticks from which the process counts as stalled; several times the usual interval. */
const STALL_MS = 500;
/** Time after a stall by which the input that arrived during it has been read. */
const STALL_BACKLOG_MS = 500;

/** A period in which the store didn't answer this process. */
export interface Outage {
  isOver: boolean;
  /** Length so far if the outage isn't over; absent if it began before this process started. */
  lengthMs?: number;
}

/** Options of a {@link StoreContact}. */
export interface StoreContactOptions {
  clock: Clock;
  /** Interval at which servers write their registration. */
  heartbeatMs: number;
}

/** An outage that is over. */
interface PastOutage {
  fromMs: number;
  silentMs: number;
  regainedAtMs: number;
}

/** State of the contact with the store. */
export class StoreContact {
  readonly #clock: Clock;
  readonly #heartbeatMs: number;
  #answeredAtMs = -Infinity;
  #lostAtMs: number | undefined;
  /** The last outage that is over and in which registrations may have lapsed. */
  #lastOutage: PastOutage | undefined;
  /** Time without contact before the changes that are received now; 0 once caught up. */
  #gapMs = 0;
  /** Time without an answer before the last one. */
  #silentMs = 0;
  /** When this process last found the store restored. */
  #restoredAtMs = -Infinity;
  readonly #startedAtMs: number;
  #tickedAtMs: number | undefined;
  /** The last stall of this process. */
  #lastStall: { lengthMs: number; endedAtMs: number } | undefined;

  private constructor({ clock, heartbeatMs }: StoreContactOptions) {
    this.#clock = clock;
    this.#heartbeatMs = heartbeatMs;
    this.#startedAtMs = clock.nowMs();
  }

  /**
   * @param options Clock and heartbeat interval.
   * @returns A state in which the store has not answered yet.
   */
  static create(options: StoreContactOptions): StoreContact {
    return new StoreContact(options);
  }

  /** Whether the last call was answered. */
  get connected(): boolean {
    return this.#lostAtMs === undefined && this.#answeredAtMs > -Infinity;
  }

  /** Whether servers whose registrations lapsed in an outage may still register again. */
  get inRegistrationGrace(): boolean {
    return !this.connected || this.#isRestored ||
      this.#sinceRegainedMs < REREGISTRATION_GRACE_MS;
  }

  /**
   * The outage that may be the cause of a deletion received now, if any. Live servers write their
   * registration within one heartbeat interval of the store's recovery, so later deletions have
   * another cause.
   */
  get outage(): Outage | undefined {
    if (this.#nowMs - this.#restoredAtMs < this.#heartbeatMs) {
      return { isOver: true, lengthMs: finiteOrUndefined(this.#silentMs) };
    }
    if (!this.connected) {
      const lengthMs = finiteOrUndefined(this.#nowMs - this.#answeredAtMs);
      return { isOver: false, lengthMs };
    }
    if (!this.#lastOutage || this.#sinceRegainedMs >= this.#heartbeatMs) {
      return undefined;
    }
    return {
      isOver: true,
      lengthMs: finiteOrUndefined(this.#lastOutage.silentMs),
    };
  }

  /** Longest time since the changes received now were made, from lost contact or a stall; 0: none. */
  get maxAgeMs(): number {
    if (!this.connected) return this.#nowMs - this.#answeredAtMs;
    return Math.max(this.#gapMs, this.#stallMs);
  }

  /**
   * Whether the store answered another entry while it didn't answer this process, so that deletions
   * have another cause than an outage. A restore concerns all entries alike.
   *
   * @param servedAtMs When the store last answered another entry.
   */
  isServedElsewhere(servedAtMs: number): boolean {
    if (this.#isRestored) return false;
    const isRecent =
      this.#nowMs - servedAtMs < SILENT_INTERVALS * this.#heartbeatMs;
    return isRecent && servedAtMs > this.#outageFromMs;
  }

  /** Time since the store's last answer; undefined unless contact is stable. */
  get lastAnswerAgeMs(): number | undefined {
    if (this.inRegistrationGrace) return undefined;
    return this.#nowMs - this.#answeredAtMs;
  }

  /** Records that the process runs; called at short intervals to detect stalls. */
  tick(): void {
    const nowMs = this.#nowMs;
    const lengthMs = nowMs - (this.#tickedAtMs ?? nowMs);
    if (lengthMs >= STALL_MS) {
      this.#lastStall = { lengthMs, endedAtMs: nowMs };
    }
    this.#tickedAtMs = nowMs;
  }

  /**
   * Records a failed call.
   *
   * @returns Whether it is the first failure since the last answer.
   */
  failed(): boolean {
    if (this.#lostAtMs !== undefined) return false;
    this.#lostAtMs = this.#nowMs;
    return true;
  }

  /**
   * Records an answered call.
   *
   * @returns Time since the first failed call after the previous answer, if there was one.
   */
  answered(): number | undefined {
    const nowMs = this.#nowMs;
    const silentMs = nowMs - this.#answeredAtMs;
    if (this.#mayHaveLapsed(silentMs)) {
      const fromMs = this.#lostAtMs ?? this.#answeredAtMs;
      this.#lastOutage = { fromMs, silentMs, regainedAtMs: nowMs };
    }
    this.#silentMs = silentMs;
    const lostAtMs = this.#lostAtMs;
    if (!this.connected) this.#gapMs = silentMs;
    this.#lostAtMs = undefined;
    this.#answeredAtMs = nowMs;
    return lostAtMs === undefined ? undefined : nowMs - lostAtMs;
  }

  /**
   * Records that the store came back from an older copy, before its content is applied. What the
   * copy lacks was lost or has lapsed, and what was written since may be as old as the last answer.
   */
  restored(): void {
    this.#restoredAtMs = this.#nowMs;
    this.#gapMs = Math.max(this.#gapMs, this.#silentMs);
  }

  /** Records that all changes made while contact was lost have been received. */
  markCaughtUp(): void {
    this.#gapMs = 0;
  }

  #mayHaveLapsed(silentMs: number): boolean {
    if (silentMs >= SILENT_INTERVALS * this.#heartbeatMs) return true;
    if (this.#lostAtMs === undefined) return false;
    const failingMs = this.#nowMs - this.#lostAtMs;
    if (failingMs >= FAILING_INTERVALS * this.#heartbeatMs) return true;
    // Registrations that lapsed in the previous outage had no time to be written again.
    return this.#answeredAtMs - this.#regainedAtMs < REREGISTRATION_GRACE_MS;
  }

  /** Start of the current outage, or of the last one that is over. */
  get #outageFromMs(): number {
    if (this.connected) return this.#lastOutage?.fromMs ?? -Infinity;
    // The outage starts before it is detected; a deletion that a peer received in between is no lapse.
    return Math.max(this.#answeredAtMs, this.#startedAtMs);
  }

  /** Longest time that the input read now may have waited because of a stall; 0 without one. */
  get #stallMs(): number {
    const sinceTickMs = this.#nowMs - (this.#tickedAtMs ?? this.#nowMs);
    if (sinceTickMs >= STALL_MS) return sinceTickMs;
    if (!this.#lastStall) return 0;
    const { lengthMs, endedAtMs } = this.#lastStall;
    const sinceMs = this.#nowMs - endedAtMs;
    return sinceMs < STALL_BACKLOG_MS ? lengthMs + sinceMs : 0;
  }

  /** Whether servers that the copy lacks may still register again. */
  get #isRestored(): boolean {
    return this.#nowMs - this.#restoredAtMs < REREGISTRATION_GRACE_MS;
  }

  get #sinceRegainedMs(): number {
    return this.#nowMs - this.#regainedAtMs;
  }

  get #regainedAtMs(): number {
    return this.#lastOutage?.regainedAtMs ?? -Infinity;
  }

  get #nowMs(): number {
    return this.#clock.nowMs();
  }
}

function finiteOrUndefined(ms: number): number | undefined {
  return Number.isFinite(ms) ? ms : undefined;
}
