/** Tells other entries which backend servers have said in their answers that they leave. */
import type { Clock } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import type { Start } from "./peer_datagram.ts";
import type { Server } from "./server.ts";

/** Servers in one datagram; the others come in the next ones. */
const MAX_TOLD = 24;

/** A server's id and start, and how long ago it said so in ms. */
export type LeavingRow = [string, Start, number];

/** What a {@link LeavingNews} works with. */
export interface LeavingNewsOptions {
  clock: Clock;
  fleet: Fleet;
}

/** Servers that leave; told until the store says so too, as entries may have started since. */
export class LeavingNews {
  readonly #options: LeavingNewsOptions;
  #next = 0;

  private constructor(options: LeavingNewsOptions) {
    this.#options = options;
  }

  /**
   * @param options The servers.
   * @returns Nothing was told yet.
   */
  static create(options: LeavingNewsOptions): LeavingNews {
    return new LeavingNews(options);
  }

  /** Ids of the servers that are told of. */
  get ids(): string[] {
    return this.#servers().map(({ id }) => id);
  }

  /** @returns What to tell now. */
  take(): LeavingRow[] {
    const nowMs = this.#options.clock.nowMs();
    const servers = this.#servers();
    const from = this.#next < servers.length ? this.#next : 0;
    this.#next = from + MAX_TOLD;
    return servers.slice(from, from + MAX_TOLD).map(
      ({ entry, announced }): LeavingRow => {
        const { id, bornAtMs = 0 } = entry;
        return [id, bornAtMs, Math.round(announced.leavingSaidMs(nowMs) ?? 0)];
      },
    );
  }

  /** @param rows What another entry told; a server keeps the age of its own word. */
  hear(rows: LeavingRow[]): void {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    for (const [id, start, saidMs] of rows) {
      const server = fleet.get(id, start || undefined);
      if (server) fleet.leaves(server, nowMs - saidMs);
    }
  }

  #servers(): Server[] {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    const servers: Server[] = [];
    for (const server of fleet.all()) {
      const isSaid = server.announced.leavingSaidMs(nowMs) !== undefined;
      if (isSaid && !server.entry.draining) servers.push(server);
    }
    return servers;
  }
}
