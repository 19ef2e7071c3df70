/**
 * Announcements that a backend server makes in its answers: that it is leaving, which its
 * registration may show later or never, that it wants no requests of this entry for a while, and how
 * many requests a second it takes from all entries together.
 */
import { StatedRate } from "./rate_statement.ts";

/** Expiry of a leaving announcement; a leaving server ends well before. */
const LEAVING_EXPIRY_MS = 600_000;
/** Upper bound on a requested pause. */
const MAX_PAUSE_MS = 600_000;

/** Announcements of one server start. */
export class Announcements {
  /** The rate of requests that the server takes. */
  readonly rate = StatedRate.create();
  #leavingAnnouncedAtMs = -Infinity;
  #pausedUntilMs = -Infinity;

  private constructor() {}

  /**
   * Creates an empty state.
   *
   * @returns A state without announcements.
   */
  static create(): Announcements {
    return new Announcements();
  }

  /**
   * Returns the age of the leaving announcement.
   *
   * @param nowMs Current time.
   * @returns Time since the announcement; undefined if there is none or it has expired.
   */
  leavingAgeMs(nowMs: number): number | undefined {
    const ageMs = nowMs - this.#leavingAnnouncedAtMs;
    return ageMs < LEAVING_EXPIRY_MS ? ageMs : undefined;
  }

  /**
   * Records a leaving announcement.
   *
   * @param saidAtMs Time of the announcement.
   * @returns Whether it was new.
   */
  markLeaving(saidAtMs: number): boolean {
    const isNews = this.leavingAgeMs(saidAtMs) === undefined;
    this.#leavingAnnouncedAtMs = Math.max(this.#leavingAnnouncedAtMs, saidAtMs);
    return isNews;
  }

  /**
   * Records a requested pause. A pause never shortens a longer one.
   *
   * @param nowMs Current time.
   * @param pauseMs How long the server wants no requests.
   */
  pause(nowMs: number, pauseMs: number): void {
    const untilMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
  }

  /**
   * Returns the remaining pause.
   *
   * @param nowMs Current time.
   * @returns Time until the server accepts requests of this entry again; 0 if it does now.
   */
  pausedMs(nowMs: number): number {
    return Math.max(0, this.#pausedUntilMs - nowMs);
  }
}
