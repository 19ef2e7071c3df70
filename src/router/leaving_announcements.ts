/** Tells other entries which backend servers announced in their answers that they are leaving. */
import type { Clock } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import type { StartMs } from "./peer_datagram.ts";
import type { Server } from "./server.ts";

/** Servers per datagram; further ones go in the next datagrams. */
const MAX_ROWS_PER_DATAGRAM = 24;

/** A leaving server: id, start time, and ms since its announcement. */
export type LeavingRow = [string, StartMs, number];

/** Options of {@link LeavingAnnouncements}. */
export interface LeavingAnnouncementsOptions {
  clock: Clock;
  fleet: Fleet;
}

/**
 * Announcements of leaving servers. Each is repeated until the store marks the server as draining,
 * because entries may have started since the first announcement.
 */
export class LeavingAnnouncements {
  readonly #options: LeavingAnnouncementsOptions;
  #nextIndex = 0;

  private constructor(options: LeavingAnnouncementsOptions) {
    this.#options = options;
  }

  /**
   * @param options The clock and the servers.
   * @returns Announcements of which none was sent yet.
   */
  static create(options: LeavingAnnouncementsOptions): LeavingAnnouncements {
    return new LeavingAnnouncements(options);
  }

  /** Ids of the servers that are announced. */
  get ids(): string[] {
    return this.#leavingServers().map(({ id }) => id);
  }

  /** @returns The rows for the next datagram. */
  nextRows(): LeavingRow[] {
    const nowMs = this.#options.clock.nowMs();
    const servers = this.#leavingServers();
    const from = this.#nextIndex < servers.length ? this.#nextIndex : 0;
    this.#nextIndex = from + MAX_ROWS_PER_DATAGRAM;
    return servers.slice(from, from + MAX_ROWS_PER_DATAGRAM).map(
      ({ entry, announcements }): LeavingRow => {
        const { id, bornAtMs = 0 } = entry;
        return [
          id,
          bornAtMs,
          Math.round(announcements.leavingAgeMs(nowMs) ?? 0),
        ];
      },
    );
  }

  /** @param rows Rows of a peer's datagram, with the ages of the servers' announcements. */
  applyRows(rows: LeavingRow[]): void {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    for (const [id, start, saidMs] of rows) {
      const server = fleet.get(id, start || undefined);
      if (server) fleet.markLeaving(server, nowMs - saidMs);
    }
  }

  #leavingServers(): Server[] {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    const servers: Server[] = [];
    for (const server of fleet.all()) {
      const isAnnounced =
        server.announcements.leavingAgeMs(nowMs) !== undefined;
      if (isAnnounced && !server.entry.draining) servers.push(server);
    }
    return servers;
  }
}
