/** Estimates the demand for models that no server accepted, from the refusals at this entry. */
import type { Clock } from "../base/mod.ts";
import { familyKey, type UnservedDemand } from "./pool_view.ts";

/** Minimum length of the window over which refusals are counted. */
const WINDOW_MS = 10_000;
/** Assumed run time of a request if the caller gives none. */
const DEFAULT_DURATION_MS = 2000;

interface RefusalRate {
  model: string;
  adapter: string;
  windowStartMs: number;
  /** Refusals in the current window. */
  count: number;
  /** Refusals per second in the last complete window. */
  perSecond: number;
}

/** Counts requests that were refused because no replica accepted them. */
export class DemandMeter {
  readonly #clock: Clock;
  readonly #rates = new Map<string, RefusalRate>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock A clock.
   * @returns A meter without refusals.
   */
  static create(clock: Clock): DemandMeter {
    return new DemandMeter(clock);
  }

  /**
   * Records a refusal.
   *
   * @param model The requested model, which no server accepted in time.
   */
  refused({ model, adapter }: { model: string; adapter: string }): void {
    const key = familyKey({ model, adapter });
    const windowStartMs = this.#clock.nowMs();
    const fresh = { model, adapter, windowStartMs, count: 0, perSecond: 0 };
    const rate = this.#rates.get(key) ?? fresh;
    this.#rates.set(key, rate);
    this.#rotateWindow(rate);
    rate.count++;
  }

  /**
   * @param entryCount Number of entries over which the load balancer spreads callers.
   * @param durationMs Run time of a request.
   * @returns Unserved demand of the whole fleet, extrapolated from this entry's refusals.
   */
  unserved(
    entryCount: number,
    durationMs = DEFAULT_DURATION_MS,
  ): UnservedDemand[] {
    const demands: UnservedDemand[] = [];
    for (const [key, rate] of this.#rates) {
      this.#rotateWindow(rate);
      if (rate.perSecond === 0 && rate.count === 0) this.#rates.delete(key);
      const { model, adapter, perSecond } = rate;
      const inFlight = perSecond * entryCount * durationMs / 1000;
      if (inFlight > 0) demands.push({ model, adapter, inFlight });
    }
    return demands;
  }

  #rotateWindow(rate: RefusalRate): void {
    const elapsedMs = this.#clock.nowMs() - rate.windowStartMs;
    if (elapsedMs < WINDOW_MS) return;
    rate.perSecond = rate.count / elapsedMs * 1000;
    rate.count = 0;
    rate.windowStartMs = this.#clock.nowMs();
  }
}
