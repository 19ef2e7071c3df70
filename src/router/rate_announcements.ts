/** Tells other entries which rates of requests backend servers named in their answers. */
import type { Clock } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import type { StartMs } from "./peer_datagram.ts";
import type { Server } from "./server.ts";

/** Servers per datagram; further ones go in the next datagrams. */
const MAX_ROWS_PER_DATAGRAM = 24;
/** Number of datagrams that tell a change, since they may be lost. */
const SENDS_PER_CHANGE = 3;
/** Least time between datagrams that repeat unchanged rates. */
const REPEAT_INTERVAL_MS = 2000;

/** What a server said: id, start time, requests per second (null: any number), ms since then. */
export type RateRow = [string, StartMs, number | null, number];

/** Options of {@link RateAnnouncements}. */
export interface RateAnnouncementsOptions {
  clock: Clock;
  fleet: Fleet;
  /** Whether this entry grants the permits of a server, or would if the one that does ended. */
  mayGrantFor(server: Server): boolean;
}

/**
 * Rates to tell the other entries. Whoever learns of a change tells it at once; two entries
 * also repeat each rate, because others may have started since: the one that grants the server's
 * permits, and the next, since it may be the first that has started.
 */
export class RateAnnouncements {
  readonly #options: RateAnnouncementsOptions;
  /** Servers whose rate has changed, and in how many further datagrams to tell it. */
  readonly #changed = new Map<Server, number>();
  #nextIndex = 0;
  #repeatedAtMs = -Infinity;

  private constructor(options: RateAnnouncementsOptions) {
    this.#options = options;
  }

  /**
   * @param options The servers and the entry that grants their permits.
   * @returns Announcements of which none was sent yet.
   */
  static create(options: RateAnnouncementsOptions): RateAnnouncements {
    return new RateAnnouncements(options);
  }

  /** Whether a change is to be told. */
  get hasNews(): boolean {
    return this.#changed.size > 0;
  }

  /** @param server A server whose rate has changed. */
  announce(server: Server): void {
    this.#changed.set(server, SENDS_PER_CHANGE);
  }

  /** Tells the rates in the next datagram, because an entry has just started. */
  announceAll(): void {
    for (const server of this.#repeated()) {
      if (!this.#changed.has(server)) this.#changed.set(server, 1);
    }
  }

  /** @returns The rows for the next datagram. */
  nextRows(): RateRow[] {
    const nowMs = this.#options.clock.nowMs();
    const servers = [...this.#changed.keys()].slice(0, MAX_ROWS_PER_DATAGRAM);
    for (const server of servers) this.#countSend(server);
    servers.push(...this.#nextRepeated(servers, nowMs));
    return servers.flatMap((server) => rowOf(server, nowMs));
  }

  /** @param rows Rows of a peer's datagram. */
  applyRows(rows: RateRow[]): void {
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    for (const [id, startMs, perSecond, ageMs] of rows) {
      const server = fleet.get(id, startMs || undefined);
      if (!server) continue;
      const atMs = nowMs - ageMs;
      fleet.mergeRate(server, { perSecond: perSecond ?? undefined, atMs });
    }
  }

  /** Unchanged rates that are due again, as many as fit beside the changed ones. */
  #nextRepeated(changed: readonly Server[], nowMs: number): Server[] {
    if (nowMs - this.#repeatedAtMs < REPEAT_INTERVAL_MS) return [];
    const repeated = this.#repeated();
    const from = this.#nextIndex < repeated.length ? this.#nextIndex : 0;
    this.#nextIndex = from + MAX_ROWS_PER_DATAGRAM - changed.length;
    const isLast = this.#nextIndex >= repeated.length;
    if (isLast) this.#repeatedAtMs = nowMs;
    return repeated.slice(from, this.#nextIndex).filter((server) =>
      !changed.includes(server)
    );
  }

  /** Servers with a limited rate that this entry repeats. */
  #repeated(): Server[] {
    const { fleet, mayGrantFor } = this.#options;
    const limited: Server[] = [];
    for (const server of fleet.all()) {
      if (server.announcements.rate.perSecond === undefined) continue;
      if (mayGrantFor(server)) limited.push(server);
    }
    return limited;
  }

  #countSend(server: Server): void {
    const left = (this.#changed.get(server) ?? 0) - 1;
    if (left > 0) this.#changed.set(server, left);
    else this.#changed.delete(server);
  }
}

function rowOf({ entry, announcements }: Server, nowMs: number): RateRow[] {
  const { statement } = announcements.rate;
  if (!statement) return [];
  const { id, bornAtMs = 0 } = entry;
  const ageMs = Math.max(0, Math.round(nowMs - statement.atMs));
  return [[id, bornAtMs, statement.perSecond ?? null, ageMs]];
}
