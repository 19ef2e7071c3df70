/** When this entry may ask again for permits to send requests to one rate-limited server. */
import { type Caller, CallerKind } from "./permit_bucket.ts";
import type { StatedRate } from "./rate_statement.ts";

/** A pause after a denied permit. */
export interface PermitPause {
  untilMs: number;
  /** When a permit is available that is not reserved, as far as known. */
  freeAtMs: number;
  /** Callers who can claim a reservation meanwhile. */
  holders: ReadonlySet<string>;
}

const NO_PAUSE: PermitPause = {
  untilMs: -Infinity,
  freeAtMs: -Infinity,
  holders: new Set(),
};

/** Pauses after denied permits, by what the permit was for. */
export class PermitPauses {
  readonly #rate: StatedRate;
  readonly #pauses: Record<CallerKind, PermitPause> = {
    [CallerKind.attempt]: NO_PAUSE,
    [CallerKind.stream]: NO_PAUSE,
  };

  private constructor(rate: StatedRate) {
    this.#rate = rate;
  }

  /**
   * @param rate Rate of the server; while it takes any number of requests, no permit is needed.
   * @returns Pauses of which none has begun.
   */
  static create(rate: StatedRate): PermitPauses {
    return new PermitPauses(rate);
  }

  /**
   * @param kind Requests that are not sent.
   * @param pause When the pause ends, and for whom it doesn't hold.
   */
  pause(kind: CallerKind, pause: PermitPause): void {
    this.#pauses[kind] = pause;
  }

  /** Ends all pauses, because the rate has changed. */
  clear(): void {
    for (const kind of Object.values(CallerKind)) this.pause(kind, NO_PAUSE);
  }

  /**
   * @param nowMs The current time.
   * @param caller Who sends a request; undefined: nobody who may have a permit.
   * @returns Time until a permit may be available; 0 if it may be now, or if none is needed.
   */
  leftMs(nowMs: number, caller: Caller | undefined): number {
    if (this.#rate.perSecond === undefined) return 0;
    if (caller === undefined) return Infinity;
    const { untilMs, holders } = this.#pauses[caller.kind];
    if (untilMs <= nowMs || holders.has(caller.holder)) return 0;
    return untilMs - nowMs;
  }

  /**
   * @param nowMs The current time.
   * @returns Time until a permit is available that is not reserved, as far as known.
   */
  freeInMs(nowMs: number): number {
    return Math.max(0, this.#pauses[CallerKind.attempt].freeAtMs - nowMs);
  }
}
