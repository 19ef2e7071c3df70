/** Creates and connects all components of a router process. */
import { isStart } from "../store/position.ts";
import {
  type Clock,
  Lifecycle,
  type Logger,
  Metrics,
  systemClock,
} from "../base/mod.ts";
import type { PlatformStore } from "../platform/mod.ts";
import { type ClientBudgets, createClientBudgets } from "./client_budgets.ts";
import { Dispatcher } from "./dispatch.ts";
import { PLATFORM_CALLS } from "./engine_orders.ts";
import { Fleet } from "./fleet.ts";
import { coalesceDelayMs, StoreFollower } from "./follower.ts";
import { EffectiveState } from "./effective_state.ts";
import { Ingress } from "./ingress.ts";
import { LoadScheduling } from "./load_scheduling.ts";
import { StoreMirror } from "./mirror.ts";
import { CacheTransfer } from "./cache_transfer.ts";
import { LoopLag } from "./loop_lag.ts";
import { PeerNetwork } from "./peer_network.ts";
import { Quarantine } from "./quarantine.ts";
import { Quotas } from "./quotas.ts";
import { Registration } from "./registration.ts";
import { RelayClient } from "./relay.ts";
import { RequestLog } from "./request_log.ts";
import {
  dumpState,
  type RouterComponents,
  type RouterOptions,
  startComponents,
} from "./router_components.ts";
import { CONNECTION_TIMES, type ServerOptions } from "./server_options.ts";
import { ServerRecords } from "./server_records.ts";
import type { RouterSettings } from "./settings.ts";
import { createStore } from "./store_client.ts";
import { WantedVersions } from "./wanted_weights.ts";
import { PUBLISH_TIMES_KEY, readVersionAges } from "./publish_times_record.ts";
import { rollRecords } from "./roll_records.ts";
import { WeightsRoll } from "./weights_roll.ts";

/** Part of the grace period that is reserved for the exit of the process. */
const EXIT_MARGIN_MS = 700;

/** A router process. */
export class Router {
  readonly #settings: RouterSettings;
  readonly #log: Logger;
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #lifecycle = Lifecycle.create("router");
  readonly #metrics = Metrics.create();
  readonly #budgets: ClientBudgets;
  readonly #mirror: StoreMirror;
  readonly #store: PlatformStore;
  readonly #follower: StoreFollower;
  readonly #quarantine: Quarantine;
  readonly #quotas: Quotas;
  readonly #lag: LoopLag;
  readonly #fleet: Fleet;
  readonly #records: ServerRecords;
  readonly #scheduling: LoadScheduling;
  readonly #network: PeerNetwork;
  readonly #relay: RelayClient;
  readonly #registration: Registration;
  readonly #cacheTransfer: CacheTransfer;
  readonly #roll: WeightsRoll;
  readonly #dispatcher: Dispatcher;
  readonly #ingress: Ingress;
  readonly #requestLog: RequestLog;
  readonly #wanted: WantedVersions;
  readonly #state: EffectiveState;

  private constructor(options: RouterOptions) {
    this.#settings = options.settings;
    this.#log = options.log;
    this.#clock = options.clock ?? systemClock;
    this.#budgets = createClientBudgets(options.settings, this.#clock);
    this.#random = options.random ?? Math.random;
    this.#lag = LoopLag.create({ ...options.settings, log: options.log });
    this.#mirror = StoreMirror.create(this.#clock);
    const { weightsBoundMs: boundMs, heartbeatMs } = options.settings;
    this.#wanted = WantedVersions.create({ clock: this.#clock, boundMs });
    this.#store = createStore(options.settings, this.#log);
    this.#follower = StoreFollower.create({ ...this.#parts(), heartbeatMs });
    this.#quarantine = Quarantine.create({
      ...this.#parts(),
      entryCount: () => this.#network.gossip.count,
      onServerRefused: (id) => this.#network.gossip.announceSilent(id),
      isResponsibleFor: (part) => this.#network.permits.grantsFor(part),
    });
    const shared = { ...this.#parts(), entryCount: () => this.#sharingCount };
    this.#quotas = Quotas.create(shared);
    this.#fleet = this.#createFleet();
    this.#records = ServerRecords.create({
      ...shared,
      ...options.settings,
      fleet: this.#fleet,
      origins: () => this.#network.origins,
      quarantine: this.#quarantine,
      isWriterOf: (key) => this.#network.permits.grantsFor(key),
    });
    this.#state = EffectiveState.create({
      ...this.#parts(),
      ...this.#settings,
      fleet: this.#fleet,
      wanted: this.#wanted,
      maxAgeMs: () => this.#follower.contact.maxAgeMs,
      coalescedMs: () => this.#follower.coalescedMs,
      recordedAges: () =>
        readVersionAges(
          this.#mirror.entry(PUBLISH_TIMES_KEY),
          this.#clock.wallMs(),
        ),
      onRecord: (key) => this.#records.onWritten(key),
      onConfig: ({ workspaces }) => {
        this.#ingress.applyLimits();
        this.#quotas.setLimits(workspaces);
      },
    });
    this.#relay = RelayClient.create({
      ...this.#parts(),
      controlPort: options.settings.controlAddress.port,
    });
    this.#registration = Registration.create({
      ...this.#parts(),
      ...options.settings,
    });
    this.#cacheTransfer = CacheTransfer.create({
      ...this.#parts(),
      controlPort: options.settings.controlAddress.port,
      isReady: () => !isStart(this.#mirror.position),
      cacheOf: (id, bornAtMs) => this.#state.cacheOf(id, bornAtMs),
    });
    this.#scheduling = this.#createScheduling();
    this.#network = this.#createNetwork();
    this.#roll = this.#createRoll();
    this.#dispatcher = this.#createDispatcher();
    this.#requestLog = RequestLog.create(this.#log, this.#metrics, shared);
    this.#ingress = this.#createIngress();
    this.#mirror.onChange((change) => this.#state.apply(change));
    this.#network.gossip.setHeldBackSources(
      () => this.#roll.heldBack(),
      () => this.#roll.changingNext(),
    );
  }

  /**
   * Starts a router. It listens at once and responds with 503 until it has a configuration.
   *
   * @param options Settings and log.
   * @returns The router, once it listens.
   */
  static async create(options: RouterOptions): Promise<Router> {
    const router = new Router(options);
    await startComponents(router.#lifecycle, router.#components);
    return router;
  }

  /** Stops gracefully: requests in flight are completed first, within the grace period. */
  async drain(): Promise<void> {
    this.#log.info({ event: "stopping", active: this.#ingress.active });
    this.#roll.stopAcquiringLease();
    this.#network.handOver();
    const graceMs = this.#settings.graceMs - EXIT_MARGIN_MS;
    await this.#ingress.drain(graceMs, () => this.#roll.busy);
    await this.stop();
    this.#log.info({ event: "stopped" });
  }

  /** Stops without waiting for requests in flight. */
  stop(): Promise<void> {
    return this.#lifecycle.stop();
  }

  /** @returns The state of the process for the state dump. */
  state(): unknown {
    return dumpState(this.#components);
  }

  get #components(): RouterComponents {
    return {
      ...this.#parts(),
      settings: this.#settings,
      follower: this.#follower,
      quarantine: this.#quarantine,
      quotas: this.#quotas,
      scheduling: this.#scheduling,
      lag: this.#lag,
      fleet: this.#fleet,
      records: this.#records,
      network: this.#network,
      relay: this.#relay,
      registration: this.#registration,
      cacheTransfer: this.#cacheTransfer,
      roll: this.#roll,
      ingress: this.#ingress,
      wanted: this.#wanted,
      state: this.#state,
    };
  }

  #parts() {
    return {
      store: this.#store,
      mirror: this.#mirror,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      random: this.#random,
      ...this.#budgets,
      table: () => this.#state.table,
      isStoreServing: () => this.#follower.contact.connected,
      coalesceMs: () =>
        coalesceDelayMs(this.#network.gossip.count, this.#settings.heartbeatMs),
    };
  }

  #createFleet(): Fleet {
    return Fleet.create({
      ...this.#parts(),
      heartbeatMs: this.#settings.heartbeatMs,
      serverOptions: (service) => this.#serverOptions(service),
      outage: () =>
        this.#isOutageLocal ? undefined : this.#follower.contact.outage,
      inRegistrationGrace: () =>
        !this.#isOutageLocal && this.#follower.contact.inRegistrationGrace,
      streamLifetimeMs: (service) => this.#state.streamLifetimeMs(service),
      onRemoved: (server) => this.#quarantine.left(server),
      recordedRate: (server) => this.#records.rates.statementOf(server),
      onRate: (server) => this.#network.announceRate(server),
    });
  }

  #createScheduling(): LoadScheduling {
    return LoadScheduling.create({
      ...this.#parts(),
      ...this.#settings,
      fleet: this.#fleet,
      entryCount: () => this.#sharingCount,
      gossipIntervalMs: () => this.#network.gossip.gossipIntervalMs,
      drainEndMs: () => this.#ingress.drainEndMs,
    });
  }

  #createNetwork(): PeerNetwork {
    const { instance, peerPort, seedAddresses } = this.#settings;
    return PeerNetwork.create({
      ...this.#parts(),
      ...this.#settings,
      name: instance,
      port: peerPort,
      registeredAddresses: () => this.#registration.ipAddresses(),
      fleet: this.#fleet,
      cacheOf: (id, bornAtMs) => this.#state.cacheOf(id, bornAtMs),
      storeServedMs: () => this.#follower.contact.lastAnswerAgeMs,
      wanted: this.#wanted,
      check: this.#records.softwareCheck,
      quarantine: this.#quarantine,
      lagMs: () => this.#ingress.behindMs,
      quotas: this.#quotas,
      demand: this.#scheduling,
      seedAddresses: seedAddresses.map((seed) => seed.ipAddress),
      syncState: () => this.#mirror.syncState,
      onPeerSyncState: (peer, syncState) => {
        this.#follower.onPeerEra(syncState.position.era);
        void this.#relay.onPeerSyncState(peer, syncState);
        void this.#cacheTransfer.fetchFrom(peer);
      },
    });
  }

  #createRoll(): WeightsRoll {
    return WeightsRoll.create({
      ...this.#parts(),
      fleet: this.#fleet,
      calls: PLATFORM_CALLS,
      holderId: this.#settings.instance,
      turnMs: this.#settings.orderTurnMs,
      enginesCheckFences: this.#settings.enginesCheckFences,
      ...rollRecords(this.#mirror, this.#follower.contact),
      engineServices: () => this.#state.engineServices(),
      wanted: this.#wanted,
      onWeightsSeen: (server, model, version) =>
        this.#network.gossip.announceWeights(server.entry, model, version),
    });
  }

  #createDispatcher(): Dispatcher {
    return Dispatcher.create({
      ...this.#parts(),
      fleet: this.#fleet,
      quarantine: this.#quarantine,
      quotas: this.#quotas,
      permits: this.#network.permits,
      scheduling: this.#scheduling,
      isDivided: (service) => this.#scheduling.isDivided(service),
      origins: this.#network.origins,
      versionRecord: this.#records.software,
      ...this.#settings,
      wanted: this.#wanted,
      promptStores: () => this.#state.promptStores,
      cacheOf: (id) => this.#state.cacheOf(id),
      hasBackups: (service) => this.#state.hasBackups(service),
      entryCount: () => this.#network.gossip.possibleEntryCount,
      loadAgeMs: () => this.#network.gossip.gossipIntervalMs,
      onSilent: (id) => this.#network.gossip.announceSilent(id),
      onGone: (server) => this.#network.gossip.announceReplaced(server),
      onPrompt: (placed) => this.#network.gossip.announcePrompt(placed),
      drainEndMs: () => this.#ingress.drainEndMs,
    });
  }

  #createIngress(): Ingress {
    return Ingress.create({
      ...this.#parts(),
      lag: this.#lag,
      knowledgeAgeMs: () => this.#mirror.ageMs,
      serve: (request, sink) => this.#dispatcher.serve(request, sink),
      peersHaveRoom: () => this.#network.lags.haveRoom,
      onServed: (request, end) => this.#requestLog.logServed(request, end),
      onLocalAnswer: (facts, answer) =>
        this.#requestLog.logLocal(facts, answer, this.#state.table?.version),
    });
  }

  /**
   * Number of entries that share limits and room with each other. Seeds are not counted: a stale one
   * would hold a share permanently.
   */
  get #sharingCount(): number {
    return Math.max(this.#network.gossip.count, this.#registration.count);
  }

  /** Whether the store served another entry while it didn't respond to this one. */
  get #isOutageLocal(): boolean {
    const { contact } = this.#follower;
    return contact.isServedElsewhere(this.#network.gossip.peerStoreContactAtMs);
  }

  #serverOptions(service: string): ServerOptions {
    const lagMs = () => this.#lag.ms;
    return { ...CONNECTION_TIMES, lagMs, ...this.#state.limitsOf(service) };
  }
}
