/** Exchanges with the other entries how fast backend servers answered. */
import type { Clock } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import { gossipIntervalFor } from "./gossip_interval.ts";
import type { StartMs } from "./peer_datagram.ts";
import type { Server } from "./server.ts";

/** Servers per datagram; samples of further ones go in the next datagrams. */
const MAX_ROWS_PER_DATAGRAM = 64;
/** Number of entries up to which a datagram may have all these rows. */
const SMALL_GROUP = 30;
/** Bytes of rows that a larger group sends to each entry: a fifth of the 23 KB/s for all control. */
const BYTES_PER_SECOND = 4600;
/** Typical size of a row. */
const ROW_BYTES = 45;
/** Servers compared per datagram; the others are compared for the next ones. */
const MAX_COMPARED = 256;

/** Samples of a server: id, start time, factor by the sender's median, number of samples, age in ms. */
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

  /**
   * @param entryCount Number of live entries.
   * @returns This entry's samples that were not sent, those that change paces most first; undefined if
   *   there are none.
   */
  nextRows(entryCount: number): PaceRow[] | undefined {
    const nowMs = this.#options.clock.nowMs();
    const rows: PaceRow[] = [];
    for (const server of this.#nextServers(entryCount, nowMs)) {
      const sums = server.times.takeUnsentSamples(nowMs);
      if (!sums) continue;
      const { id, bornAtMs = 0 } = server.entry;
      // A factor that rounds to 0 would make the datagram invalid.
      const factor = Number(Math.max(0.001, sums.factor).toFixed(3));
      rows.push([id, bornAtMs, factor, sums.count, Math.round(sums.ageMs)]);
    }
    return rows.length > 0 ? rows : undefined;
  }

  /** @param rows Rows of a peer's datagram; those of earlier incarnations are ignored. */
  applyRows(rows: PaceRow[]): void {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    const seen = new Set<string>();
    for (
      const [id, start, factor, count, ageMs] of rows.slice(
        0,
        MAX_ROWS_PER_DATAGRAM,
      )
    ) {
      if (seen.has(id)) continue;
      seen.add(id);
      const times = fleet.get(id, start || undefined)?.times;
      times?.merge({ factor, count, ageMs }, nowMs);
    }
  }

  /** Removes the next servers to send from the queue; others that were compared go to its end. */
  #nextServers(entryCount: number, nowMs: number): Server[] {
    const { unsentPaces } = this.#options.fleet;
    const compared: { server: Server; deviation: number }[] = [];
    let count = 0;
    for (const server of unsentPaces) {
      if (count++ === MAX_COMPARED) break;
      unsentPaces.delete(server);
      const deviation = server.times.pace?.unsentDeviation(nowMs);
      if (deviation !== undefined) compared.push({ server, deviation });
    }
    compared.sort((a, b) => b.deviation - a.deviation);
    const limit = rowLimit(entryCount);
    const next: Server[] = [];
    for (const { server, deviation } of compared) {
      if (deviation > 0 && next.length < limit) next.push(server);
      else unsentPaces.add(server);
    }
    return next;
  }
}

function rowLimit(entryCount: number): number {
  if (entryCount <= SMALL_GROUP) return MAX_ROWS_PER_DATAGRAM;
  const datagramsPerSecond = 1000 * entryCount / gossipIntervalFor(entryCount);
  const rows = Math.floor(BYTES_PER_SECOND / datagramsPerSecond / ROW_BYTES);
  return Math.min(MAX_ROWS_PER_DATAGRAM, Math.max(1, rows));
}
