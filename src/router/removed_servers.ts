/**
 * What is kept of servers that were removed: their announcements, in case a lapsed registration
 * returns, and their registrations that a restored store still shows.
 */
import type { Clock } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { Announcements } from "./announcements.ts";
import { type BackendServer, incarnationKey } from "./model.ts";
import type { Server } from "./server.ts";

/** Maximum number of removed servers that are kept. */
const MAX_KEPT = 1000;
/**
 * Heartbeat intervals after which a registration that is still there is that of a live server: one of
 * a dead server is removed after three intervals, and its deletion is received within another one.
 */
const SILENCE_INTERVALS = 4;

/** Options of {@link RemovedServers}. */
export interface RemovedServersOptions {
  clock: Clock;
  /** Interval at which servers write their registration. */
  heartbeatMs: number;
}

interface RemovedServer {
  announcements: Announcements;
  draining: boolean;
}

interface HeldRegistration {
  entry: BackendServer;
  untilMs: number;
}

/** Servers that were removed. */
export class RemovedServers {
  readonly #options: RemovedServersOptions;
  /** By id and start. */
  readonly #removed = LRUMap.create<string, RemovedServer>(MAX_KEPT);
  /** By id. */
  readonly #held = new Map<string, HeldRegistration>();

  private constructor(options: RemovedServersOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock and heartbeat interval.
   * @returns An instance without servers.
   */
  static create(options: RemovedServersOptions): RemovedServers {
    return new RemovedServers(options);
  }

  /** @param server A server that was just removed. */
  add({ entry, announcements }: Server): void {
    const { draining } = entry;
    this.#removed.set(incarnationKey(entry), { announcements, draining });
  }

  /**
   * @param entry A registration.
   * @returns Announcements of the same start before it was removed, if it was.
   */
  announcementsOf(entry: BackendServer): Announcements | undefined {
    return this.#removed.get(incarnationKey(entry))?.announcements;
  }

  /**
   * Holds the registration of a server that was removed, since a restored store may show it although
   * the server has ended.
   *
   * @param entry A registration of the copy that the store was restored from.
   * @returns Whether it is held; false if its server was not removed.
   */
  hold(entry: BackendServer): boolean {
    const removed = this.#removed.get(incarnationKey(entry));
    if (!removed) return false;
    const { clock, heartbeatMs } = this.#options;
    const draining = entry.draining || removed.draining;
    const untilMs = clock.nowMs() + SILENCE_INTERVALS * heartbeatMs;
    this.#held.set(entry.id, { entry: { ...entry, draining }, untilMs });
    return true;
  }

  /** @param id Id of a server whose registration was written or deleted since the restore. */
  release(id: string): void {
    this.#held.delete(id);
  }

  /** Registrations that the restored store has kept for so long that their servers are alive. */
  get confirmed(): BackendServer[] {
    const nowMs = this.#options.clock.nowMs();
    const confirmed: BackendServer[] = [];
    for (const { entry, untilMs } of this.#held.values()) {
      if (nowMs >= untilMs) confirmed.push(entry);
    }
    return confirmed;
  }
}
