/** How far other entries are behind with reading requests. */
import type { Clock } from "../base/mod.ts";

/** Lags below this are not told, and mean that an entry has room for more requests. */
const MIN_TOLD_LAG_MS = 25;
/** A report is used for this long; longer than the usual interval between datagrams. */
const REPORT_TTL_MS = 1500;

/** Options of {@link PeerLags}. */
export interface PeerLagsOptions {
  clock: Pick<Clock, "nowMs">;
  /** Time that requests wait before this process reads them. */
  lagMs(): number;
}

/** The lags that other entries reported. */
export class PeerLags {
  readonly #options: PeerLagsOptions;
  readonly #reports = new Map<string, { lagMs: number; atMs: number }>();

  private constructor(options: PeerLagsOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, and this entry's own lag.
   * @returns Lags without any report.
   */
  static create(options: PeerLagsOptions): PeerLags {
    return new PeerLags(options);
  }

  /** This entry's lag as it tells the others; undefined if it is short. */
  get ownToldMs(): number | undefined {
    const lagMs = Math.round(this.#options.lagMs());
    return lagMs < MIN_TOLD_LAG_MS ? undefined : lagMs;
  }

  /** Whether at least half of the other entries that reported lately have room. */
  get haveRoom(): boolean {
    const nowMs = this.#options.clock.nowMs();
    let reported = 0;
    let withRoom = 0;
    for (const [address, { lagMs, atMs }] of this.#reports) {
      if (nowMs - atMs >= REPORT_TTL_MS) this.#reports.delete(address);
      else {
        reported++;
        if (lagMs < MIN_TOLD_LAG_MS) withRoom++;
      }
    }
    return withRoom > 0 && 2 * withRoom >= reported;
  }

  /**
   * @param address The entry.
   * @param lagMs Lag that it reported, if any.
   * @param isStopping Whether it stops, so that it is no alternative.
   */
  record(address: string, lagMs = 0, isStopping = false): void {
    if (isStopping) this.#reports.delete(address);
    else {this.#reports.set(address, {
        lagMs,
        atMs: this.#options.clock.nowMs(),
      });}
  }
}
