/** Registry of the known backend servers, by id and by service. */
import type { Clock, Logger } from "../base/mod.ts";
import {
  AnswerRateKind,
  type BackendServer,
  isOlderStart,
  isSameIncarnation,
} from "./model.ts";
import type { RateAnswer, RateStatement } from "./rate_statement.ts";
import { RemovedServers } from "./removed_servers.ts";
import { Server } from "./server.ts";
import type { ServerOptions } from "./server_options.ts";
import { SoftwareVersions, type StreamOrigin } from "./software_versions.ts";
import type { Outage } from "./store_contact.ts";
import { UnreadBudget } from "./unread_budget.ts";

/** Dependencies of a {@link Fleet}. */
export interface FleetOptions {
  clock: Clock;
  log: Logger;
  /** Interval at which servers write their registration. */
  heartbeatMs: number;
  /** Returns the server settings of a service. */
  serverOptions(service: string): ServerOptions;
  /** The store outage that may have caused a registration deleted now to lapse, if there is one. */
  outage(): Outage | undefined;
  /** Whether servers whose registrations lapsed in an outage may still register again. */
  inRegistrationGrace(): boolean;
  /** How long clients may take up a stream of a service again; see {@link SoftwareVersions}. */
  streamLifetimeMs(service: string): number;
  /** Called when a server was removed or has restarted. */
  onRemoved(server: Server): void;
  /** What the store records about the rate of a server that was not known before. */
  recordedRate(entry: BackendServer): RateStatement | undefined;
  /** Called when an answer changed the rate that its server takes, to notify other entries. */
  onRate(server: Server): void;
  maxUnreadBytes?: number;
}

/** Registry of all backend servers. */
export class Fleet {
  /** Software versions of the servers, by service. */
  readonly versions: SoftwareVersions;
  /** Servers with samples of their pace that may not have been sent to the other entries. */
  readonly unsentPaces = new Set<Server>();
  readonly #options: FleetOptions;
  readonly #servers = new Map<string, Server>();
  /** Servers whose registration may have lapsed in an outage and may be written again. */
  readonly #lapsed = new Set<string>();
  readonly #removed: RemovedServers;
  readonly #unread: UnreadBudget;

  private constructor(options: FleetOptions) {
    this.#options = options;
    this.versions = SoftwareVersions.create(options);
    this.#removed = RemovedServers.create(options);
    this.#unread = UnreadBudget.create({ totalBytes: options.maxUnreadBytes });
  }

  /**
   * @param options Dependencies.
   * @returns A registry without servers.
   */
  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** All servers, including those that accept no new requests. */
  all(): IterableIterator<Server> {
    return this.#servers.values();
  }

  /**
   * Looks up a server.
   *
   * @param id Server id.
   * @param bornAtMs Expected start of the server; undefined matches any start.
   * @returns The server, if it is known and has not restarted since.
   */
  get(id: string, bornAtMs?: number): Server | undefined {
    const server = this.#servers.get(id);
    return server && isSameIncarnation(bornAtMs, server.entry)
      ? server
      : undefined;
  }

  /**
   * @param server A server returned earlier.
   * @returns Whether it is still registered and has not restarted since.
   */
  has(server: Server): boolean {
    return this.#servers.get(server.id) === server;
  }

  /**
   * @param service Service name.
   * @returns Its servers that do not shut down soon.
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
   * Lists servers that accept requests.
   *
   * @param service Service name.
   * @returns Its servers that are neither leaving nor have asked for a pause.
   */
  accepting(service: string): Server[] {
    const nowMs = this.#options.clock.nowMs();
    return this.open(service).filter(({ announcements }) =>
      announcements.pausedMs(nowMs) === 0
    );
  }

  /**
   * Returns the pause of a service, if all its servers that may serve a request have asked for one.
   *
   * @param service Service name.
   * @param origin Origin of the request's stream, if its client has a part of it.
   * @returns Time until the first server accepts requests again; undefined if one does now, or if
   *   there is no server.
   */
  pausedMs(service: string, origin?: StreamOrigin): number | undefined {
    const nowMs = this.#options.clock.nowMs();
    const pauses = this.open(service)
      .filter(({ entry }) => this.versions.canContinue(origin, entry))
      .map(({ announcements }) => announcements.pausedMs(nowMs));
    const shortestMs = Math.min(...pauses);
    return pauses.length > 0 && shortestMs > 0 ? shortestMs : undefined;
  }

  /**
   * Records a server's announcement that it is leaving.
   *
   * @param server The server.
   * @param saidAtMs Time of the announcement.
   */
  markLeaving(server: Server, saidAtMs: number): void {
    if (!server.announcements.markLeaving(saidAtMs)) return;
    this.#options.log.info({
      event: "server_leaving",
      server: server.id,
      saidMs: Math.round(this.#options.clock.nowMs() - saidAtMs),
    });
  }

  /**
   * Records what an answer says about the rate of requests that its server takes.
   *
   * @param server The server.
   * @param answer The answer.
   */
  recordRate(server: Server, answer: RateAnswer): void {
    const { clock, log } = this.#options;
    const { rate } = server.announcements;
    if (rate.record(answer, clock.nowMs())) this.#onRate(server, "answer");
    if (answer.rate.kind === AnswerRateKind.malformed) {
      const { value } = answer.rate;
      log.warn({ event: "server_rate_malformed", server: server.id, value });
    }
  }

  /**
   * Adopts what the store records about a server's rate, unless this entry was told something since.
   *
   * @param server The server.
   */
  restoreRate(server: Server): void {
    const { rate } = server.announcements;
    const recorded = this.#options.recordedRate(server.entry);
    if (rate.statement || !recorded) return;
    if (rate.merge(recorded)) this.#onRate(server, "store");
  }

  /**
   * Adopts what another entry was told about the rate of requests that a server takes.
   *
   * @param server The server.
   * @param statement What the server said.
   */
  mergeRate(server: Server, statement: RateStatement): void {
    if (server.announcements.rate.merge(statement)) {
      this.#onRate(server, "entry");
    }
  }

  /**
   * Adds or updates a server.
   *
   * @param entry Its new or changed registration.
   * @param source `isFromCopy`: the store was restored from an older copy that has it. It then calls
   *   back no server that was leaving, and none that was removed until the store has kept it.
   */
  put(
    entry: BackendServer,
    { isFromCopy = false }: { isFromCopy?: boolean } = {},
  ): void {
    const known = this.#servers.get(entry.id);
    // A registration of an earlier start may arrive late.
    if (known && isOlderStart(entry, known.entry)) return;
    if (!known && isFromCopy && this.#removed.hold(entry)) {
      return this.#options.log.info({ event: "server_held", server: entry.id });
    }
    this.#removed.release(entry.id);
    this.#lapsed.delete(entry.id);
    const isSame = known && isSameIncarnation(entry.bornAtMs, known.entry) &&
      entry.softwareVersion === known.entry.softwareVersion;
    if (isSame && known.entry.address === entry.address) {
      const wasDraining = isFromCopy && known.entry.draining;
      this.#logDraining(known, entry);
      known.update({ ...entry, draining: entry.draining || wasDraining });
      if (!isFromCopy) known.health.registered();
      return;
    }
    // Nothing learned about the earlier start applies to the new one. Requests in flight at the
    // earlier start end on their own.
    known?.channels.closeIdle();
    if (known) this.#onRemoved(known);
    const options = this.#options.serverOptions(entry.service);
    const announcements = isSame
      ? known.announcements
      : this.#removed.announcementsOf(entry);
    const own = { announcements, unread: this.#unread };
    const server = Server.create(entry, { ...options, ...own });
    server.times.onSample = () => this.unsentPaces.add(server);
    this.#servers.set(entry.id, server);
    this.versions.joined(entry);
    this.restoreRate(server);
    this.#logJoined(server, known && !isSame);
  }

  /**
   * Handles the deletion of a registration. During or after a store outage, the registration may
   * only have lapsed; the server is then kept for now.
   *
   * @param id Server id.
   */
  remove(id: string): void {
    this.#removed.release(id);
    if (!this.#servers.has(id)) return;
    const outage = this.#options.outage();
    if (!outage) return this.drop(id, "registration_gone");
    this.#lapsed.add(id);
    this.#logKept(id, outage);
  }

  /**
   * Removes a server.
   *
   * @param id Server id.
   * @param reason Logged reason.
   */
  drop(id: string, reason: string): void {
    const server = this.#servers.get(id);
    if (!server) return;
    this.#servers.delete(id);
    this.#lapsed.delete(id);
    this.#removed.add(server);
    server.channels.closeIdle();
    this.#onRemoved(server);
    this.#options.log.info({ event: "server_left", server: id, reason });
  }

  /**
   * Removes a server after a call found another server at its address. Ignored if the server has
   * restarted since, because the call may have been addressed to the earlier start.
   *
   * @param server The server that was called.
   */
  dropReplaced(server: Server): void {
    if (this.has(server)) this.drop(server.id, "address_has_another_server");
  }

  /**
   * Removes servers whose registration lapsed in an outage and was not written again in time, and adds
   * those whose registration a restored store has kept.
   */
  settle(): void {
    for (const entry of this.#removed.confirmed) this.put(entry);
    if (this.#options.inRegistrationGrace()) return;
    for (const id of this.#lapsed) this.drop(id, "registration_lapsed");
  }

  /** Applies changed limits of the configuration to the known servers. */
  applyLimits(): void {
    for (const server of this.#servers.values()) {
      server.limit(this.#options.serverOptions(server.entry.service));
    }
  }

  /** Closes idle connections to all servers. */
  close(): void {
    for (const { channels } of this.#servers.values()) channels.closeIdle();
  }

  #onRemoved(server: Server): void {
    server.times.end();
    this.unsentPaces.delete(server);
    this.versions.left(server.entry);
    this.#options.onRemoved(server);
  }

  /** @param source Who told: the server's answer, another entry, or the store's record. */
  #onRate(server: Server, source: "answer" | "entry" | "store"): void {
    server.permitPauses.clear();
    if (source === "answer") this.#options.onRate(server);
    this.#options.log.info({
      event: "server_rate",
      server: server.id,
      // Null if the server takes any number of requests again.
      perSecond: server.announcements.rate.perSecond ?? null,
      source,
    });
  }

  #logJoined({ entry }: Server, hasRestarted: boolean | undefined): void {
    const { id: server, service, address, draining, bornAtMs } = entry;
    const { softwareVersion } = entry;
    this.#options.log.info({
      event: hasRestarted ? "server_restarted" : "server_joined",
      server,
      service,
      address,
      draining,
      bornAtMs,
      softwareVersion,
    });
  }

  #logKept(id: string, { isOver, lengthMs }: Outage): void {
    this.#options.log.info({
      event: "server_kept",
      server: id,
      reason: isOver ? "store_regained" : "store_lost",
      outageMs: lengthMs === undefined ? undefined : Math.round(lengthMs),
    });
  }

  #logDraining(known: Server, entry: BackendServer): void {
    if (!entry.draining || known.entry.draining) return;
    this.#options.log.info({ event: "server_draining", server: entry.id });
  }
}
