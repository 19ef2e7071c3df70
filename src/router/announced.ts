/**
 * What a backend server announces in its answers: that it leaves, which its registration may say
 * later or never, and that it wants no requests of this entry for a while.
 */

/** A server's word that it leaves is believed for this long; it has ended well before. */
const LEAVING_MS = 600_000;
/** Longest pause that a server may ask for. */
const PAUSE_MAX_MS = 600_000;

/** Announcements of one start of a server. */
export class Announced {
  #leavingSaidAtMs = -Infinity;
  #pausedUntilMs = -Infinity;

  private constructor() {}

  /** @returns Nothing was announced. */
  static create(): Announced {
    return new Announced();
  }

  /**
   * @param nowMs The time.
   * @returns Time since it said that it leaves; nothing if it has not, or too long ago.
   */
  leavingSaidMs(nowMs: number): number | undefined {
    const ageMs = nowMs - this.#leavingSaidAtMs;
    return ageMs < LEAVING_MS ? ageMs : undefined;
  }

  /**
   * @param saidAtMs When it said that it leaves.
   * @returns Whether this was news.
   */
  leaves(saidAtMs: number): boolean {
    const isNews = this.leavingSaidMs(saidAtMs) === undefined;
    this.#leavingSaidAtMs = Math.max(this.#leavingSaidAtMs, saidAtMs);
    return isNews;
  }

  /**
   * @param nowMs The time.
   * @param pauseMs For how long it wants no requests.
   */
  pause(nowMs: number, pauseMs: number): void {
    const untilMs = nowMs + Math.min(PAUSE_MAX_MS, pauseMs);
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
  }

  /**
   * @param nowMs The time.
   * @returns Time until it takes requests of this entry again; 0: it does.
   */
  pausedMs(nowMs: number): number {
    return Math.max(0, this.#pausedUntilMs - nowMs);
  }
}
