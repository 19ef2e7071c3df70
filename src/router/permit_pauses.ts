/** When this entry may ask again for permits to send requests to one rate-limited server. */
import { Caller } from "./permit_bucket.ts";
import type { StatedRate } from "./rate_statement.ts";

/** Pauses after denied permits, by who sends the request. */
export class PermitPauses {
  readonly #rate: StatedRate;
  readonly #untilMs: Record<Caller, number> = {
    [Caller.new]: -Infinity,
    [Caller.returning]: -Infinity,
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
   * @param caller The callers whose requests are not sent.
   * @param untilMs When the pause ends.
   */
  pause(caller: Caller, untilMs: number): void {
    this.#untilMs[caller] = untilMs;
  }

  /** Ends all pauses, because the rate has changed. */
  clear(): void {
    this.pause(Caller.new, -Infinity);
    this.pause(Caller.returning, -Infinity);
  }

  /**
   * @param nowMs The current time.
   * @param caller Who sends a request; undefined: nobody who may have a permit.
   * @returns Time until a permit may be available; 0 if it may be now, or if none is needed.
   */
  leftMs(nowMs: number, caller: Caller | undefined): number {
    if (this.#rate.perSecond === undefined) return 0;
    if (caller === undefined) return Infinity;
    return Math.max(0, this.#untilMs[caller] - nowMs);
  }
}
