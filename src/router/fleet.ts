/** The backend servers that are known, by id and by service. */
import type { Clock, Logger } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { Announced } from "./announced.ts";
import { type BackendServer, isSameStart, startOf } from "./model.ts";
import { Server, type ServerOptions } from "./server.ts";
import type { Outage } from "./store_contact.ts";

/** What a {@link Fleet} works with. */
export interface FleetOptions {
  clock: Clock;
  log: Logger;
  /** Settings of a server of this service. */
  serverOptions(service: string): ServerOptions;
  /** The outage of the store in which a registration that is deleted now may have lapsed. */
  outage(): Outage | undefined;
  /** Whether registrations that lapsed in an outage may still be written again. */
  awaitsReturns(): boolean;
  /** A server is gone, or has started again. */
  onLeft(server: Server): void;
}

/** Servers that were dropped whose announcements are kept. */
const MAX_KEPT = 1000;

/** All backend servers. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #servers = new Map<string, Server>();
  /** Servers whose registration may have lapsed in an outage, and may come back. */
  readonly #missing = new Set<string>();

  /** By id and start; a registration that lapsed may come back. */
  readonly #announced = LRUMap.create<string, Announced>(MAX_KEPT);

  private constructor(options: FleetOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock and settings.
   * @returns A fleet without servers.
   */
  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** All servers, those included that take nothing new. */
  all(): IterableIterator<Server> {
    return this.#servers.values();
  }

  /**
   * @param id A server's id.
   * @param bornAtMs The start that is meant; left out: any.
   * @returns The server, if it is known and has not started again since.
   */
  get(id: string, bornAtMs?: number): Server | undefined {
    const server = this.#servers.get(id);
    return server && isSameStart(bornAtMs, server.entry) ? server : undefined;
  }

  /**
   * @param server A server that was known.
   * @returns Whether it still is, and has not started again since.
   */
  has(server: Server): boolean {
    return this.#servers.get(server.id) === server;
  }

  /**
   * @param service Name of a service.
   * @returns Its servers that are not about to end.
   */
  open(service: string): Server[] {
    const nowMs = this.#options.clock.nowMs();
    const open: Server[] = [];
    for (const server of this.#servers.values()) {
      if (server.entry.service !== service) continue;
      if (!server.isLeaving(nowMs)) open.push(server);
    }
    return open;
  }

  /**
   * @param service Name of a service.
   * @returns Those of them that want no pause.
   */
  taking(service: string): Server[] {
    const nowMs = this.#options.clock.nowMs();
    return this.open(service).filter(({ announced }) =>
      announced.pausedMs(nowMs) === 0
    );
  }

  /**
   * @param service Name of a service.
   * @returns Time until the first of its servers takes requests again, if all want a pause.
   */
  pausedMs(service: string): number | undefined {
    const nowMs = this.#options.clock.nowMs();
    const pauses = this.open(service).map(({ announced }) =>
      announced.pausedMs(nowMs)
    );
    const shortestMs = Math.min(...pauses);
    return pauses.length > 0 && shortestMs > 0 ? shortestMs : undefined;
  }

  /**
   * A server has said that it leaves.
   *
   * @param server The server.
   * @param saidAtMs When.
   */
  leaves(server: Server, saidAtMs: number): void {
    if (!server.announced.leaves(saidAtMs)) return;
    this.#options.log.info({
      event: "server_leaving",
      server: server.id,
      saidMs: Math.round(this.#options.clock.nowMs() - saidAtMs),
    });
  }

  /** @param entry A registration, new or changed. */
  put(entry: BackendServer): void {
    const known = this.#servers.get(entry.id);
    // A registration of an earlier start may arrive late.
    if (known && isOlderStart(entry, known.entry)) return;
    this.#missing.delete(entry.id);
    const isSame = known && isSameStart(entry.bornAtMs, known.entry);
    if (isSame && known.entry.address === entry.address) {
      this.#tellDraining(known, entry);
      known.update(entry);
      return;
    }
    // Nothing that was learned of the earlier start holds for the new one. Requests under way at the
    // earlier one end by themselves.
    known?.channels.closeIdle();
    if (known) this.#options.onLeft(known);
    const options = this.#options.serverOptions(entry.service);
    const announced = isSame
      ? known.announced
      : this.#announced.get(startOf(entry));
    const server = Server.create(entry, { ...options, announced });
    this.#servers.set(entry.id, server);
    this.#tellJoined(server, known && !isSame);
  }

  /**
   * A registration is gone. Around an outage of the store it may only have lapsed.
   *
   * @param id The server's id.
   */
  remove(id: string): void {
    if (!this.#servers.has(id)) return;
    const outage = this.#options.outage();
    if (!outage) return this.drop(id, "registration_gone");
    this.#missing.add(id);
    this.#tellKept(id, outage);
  }

  /**
   * Forgets a server.
   *
   * @param id The server's id.
   * @param reason Why, for the log.
   */
  drop(id: string, reason: string): void {
    const server = this.#servers.get(id);
    if (!server) return;
    this.#servers.delete(id);
    this.#missing.delete(id);
    this.#announced.set(startOf(server.entry), server.announced);
    server.channels.closeIdle();
    this.#options.onLeft(server);
    this.#options.log.info({ event: "server_left", server: id, reason });
  }

  /**
   * Forgets a server that was called, and whose address has another one. A call may have been on its
   * way to an earlier start.
   *
   * @param server The server.
   */
  giveUp(server: Server): void {
    if (this.has(server)) this.drop(server.id, "address_has_another_server");
  }

  /** Forgets servers whose registration lapsed in an outage and did not come back. */
  sweep(): void {
    if (this.#options.awaitsReturns()) return;
    for (const id of this.#missing) this.drop(id, "registration_lapsed");
  }

  /** Puts limits that the configuration changed in force for the servers that are known. */
  applyLimits(): void {
    for (const server of this.#servers.values()) {
      server.limit(this.#options.serverOptions(server.entry.service));
    }
  }

  /** Closes idle connections to all servers. */
  close(): void {
    for (const { channels } of this.#servers.values()) channels.closeIdle();
  }

  #tellJoined({ entry }: Server, hasRestarted: boolean | undefined): void {
    const { id: server, service, address, draining, bornAtMs } = entry;
    this.#options.log.info({
      event: hasRestarted ? "server_restarted" : "server_joined",
      server,
      service,
      address,
      draining,
      bornAtMs,
    });
  }

  #tellKept(id: string, { isOver, lengthMs }: Outage): void {
    this.#options.log.info({
      event: "server_kept",
      server: id,
      reason: isOver ? "store_regained" : "store_lost",
      outageMs: lengthMs === undefined ? undefined : Math.round(lengthMs),
    });
  }

  #tellDraining(known: Server, entry: BackendServer): void {
    if (!entry.draining || known.entry.draining) return;
    this.#options.log.info({ event: "server_draining", server: entry.id });
  }
}

function isOlderStart(entry: BackendServer, known: BackendServer): boolean {
  return entry.bornAtMs !== undefined && known.bornAtMs !== undefined &&
    entry.bornAtMs < known.bornAtMs;
}
