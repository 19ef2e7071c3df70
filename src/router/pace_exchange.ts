/** Tells other entries how fast backend servers answered, and learns it from them. */
import type { Clock } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import type { StartMs } from "./peer_datagram.ts";

/** Servers per datagram; samples of further ones go in the next datagrams. */
const MAX_ROWS_PER_DATAGRAM = 64;

/** Samples of a server: id, start time, factor, number of samples, and their mean age in ms. */
export type PaceRow = [string, StartMs, number, number, number];

/** Options of {@link PaceExchange}. */
export interface PaceExchangeOptions {
  clock: Clock;
  fleet: Fleet;
}

/** Exchange of the paces of servers whose rates are learned. */
export class PaceExchange {
  readonly #options: PaceExchangeOptions;

  private constructor(options: PaceExchangeOptions) {
    this.#options = options;
  }

  /**
   * @param options The clock and the servers.
   * @returns The exchange.
   */
  static create(options: PaceExchangeOptions): PaceExchange {
    return new PaceExchange(options);
  }

  /** @returns This entry's samples since the last datagram; undefined if there are none. */
  nextRows(): PaceRow[] | undefined {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    const rows: PaceRow[] = [];
    for (const { entry, times } of fleet.all()) {
      if (!times.pace?.hasNews) continue;
      const news = times.pace.takeNews(nowMs);
      if (!news) continue;
      const { id, bornAtMs = 0 } = entry;
      const factor = Number(news.factor.toFixed(3));
      rows.push([id, bornAtMs, factor, news.count, Math.round(news.ageMs)]);
      if (rows.length === MAX_ROWS_PER_DATAGRAM) break;
    }
    return rows.length > 0 ? rows : undefined;
  }

  /** @param rows Rows of a peer's datagram; those of earlier incarnations are ignored. */
  applyRows(rows: PaceRow[]): void {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    for (const [id, start, factor, count, ageMs] of rows) {
      const times = fleet.get(id, start || undefined)?.times;
      times?.merge({ factor, count, ageMs }, nowMs);
    }
  }
}
