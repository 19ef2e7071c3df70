/** Applies changes of the platform's store: configuration, servers, wanted weights, prompt stores. */
import type { Logger, Metrics } from "../base/mod.ts";
import {
  decodeDeletion,
  decodeValue,
  type MalformedValue,
} from "../platform/mod.ts";
import { ServiceRates } from "../service_rates/mod.ts";
import { ExpectedCache, type OwnedCache } from "./expected_cache.ts";
import type { Fleet } from "./fleet.ts";
import type { MirrorChange } from "./mirror.ts";
import { OutputTimes } from "./output_times.ts";
import {
  copyMsPerToken,
  type RoutingConfig,
  type Service,
  type WantedWeights,
} from "./model.ts";
import { PUBLISH_TIMES_KEY } from "./publish_times_record.ts";
import type { PromptStore } from "./prompt_store.ts";
import { RoutingTable } from "./routing_table.ts";
import { EngineRatesMode, RunBackupMode } from "./settings.ts";
import type { ServerLimits } from "./server_options.ts";
import type { VersionAge, WantedVersions } from "./wanted_weights.ts";

/** Fraction of a configured cache capacity that is expected to hold cached prompts. */
const USABLE_CACHE_RATIO = 0.8;

/** Options of {@link EffectiveState}. */
export interface EffectiveStateOptions {
  log: Logger;
  metrics: Metrics;
  fleet: Fleet;
  /** Whether the rates of engines are learned. */
  engineRates: EngineRatesMode;
  runBackups: RunBackupMode;
  wanted: WantedVersions;
  /** Longest time since the changes received now were made, from lost contact or a stall; 0: none. */
  maxAgeMs(): number;
  /** Longest time that the changes received now may have been delayed by coalescing. */
  coalescedMs(): number;
  /** Recorded ages of wanted weights, for versions published while this entry was away. */
  recordedAges(): VersionAge[];
  /** Called with each other key that was written; it may be that of a record of the entries. */
  onRecord(key: string): void;
  /** Called when a newer configuration was applied. */
  onConfig(config: RoutingConfig): void;
}

/** Current state by the store: routing table and prompt stores; servers and weights go to their owners. */
export class EffectiveState {
  readonly #options: EffectiveStateOptions;
  #table: RoutingTable | undefined;
  /** Prompt stores by address. */
  #promptStores = new Map<string, PromptStore>();
  /** Learned rates of engines, by service. */
  readonly #learnedRates = new Map<string, ServiceRates>();
  /** Keys with a malformed value, so that each is logged once. */
  readonly #malformedKeys = new Set<string>();
  /** Answer times of the services whose servers share them. */
  readonly #outputTimes = new Map<string, OutputTimes>();

  private constructor(options: EffectiveStateOptions) {
    this.#options = options;
  }

  /**
   * @param options The fleet, the wanted weights, and callbacks.
   * @returns State without a configuration.
   */
  static create(options: EffectiveStateOptions): EffectiveState {
    return new EffectiveState(options);
  }

  /** Routing table of the current configuration; undefined until there is one. */
  get table(): RoutingTable | undefined {
    return this.#table;
  }

  /** Stores that keep prompts outside the engines' own caches. */
  get promptStores(): PromptStore[] {
    return [...this.#promptStores.values()];
  }

  /** @param change A change of the store; a configuration that is not newer is ignored. */
  apply(change: MirrorChange): void {
    if (change.kind === "delete") return this.#applyRemoval(change.key);
    const { key, value } = change.entry;
    const fact = decodeValue(key, value);
    if (fact.isErr) return this.#onMalformed(fact.error);
    this.#malformedKeys.delete(key);
    switch (fact.value.kind) {
      case "config":
        return this.#applyConfig(fact.value.config);
      case "server":
        return this.#options.fleet.put(fact.value.server, {
          isFromCopy: change.isFromCopy,
        });
      case "weights":
        return this.#applyWanted(fact.value.wanted);
      case "other":
        if (key === PUBLISH_TIMES_KEY) this.#restoreAges();
        return this.#options.onRecord(key);
    }
  }

  /**
   * @param id Id of a server, or address of a prompt store.
   * @param bornAtMs Start time of the server process; if left out, any process.
   * @returns The expected content of its cache.
   */
  cacheOf(id: string, bornAtMs?: number): ExpectedCache | undefined {
    const store = this.#promptStores.get(id);
    return store?.cache ?? this.#options.fleet.get(id, bornAtMs)?.cache;
  }

  /** Expected caches of all servers and prompt stores. */
  *caches(): Generator<OwnedCache> {
    for (const { entry, cache } of this.#options.fleet.all()) {
      yield { id: entry.id, bornAtMs: entry.bornAtMs, cache };
    }
    for (const { address, cache } of this.#promptStores.values()) {
      yield { id: address, cache };
    }
  }

  /**
   * @param service Name of a service.
   * @returns Whether its engines copy the memory of runs to each other.
   */
  hasBackups(service: string): boolean {
    if (this.#options.runBackups === RunBackupMode.off) return false;
    return this.#table?.findService(service)?.engine?.hasBackups === true;
  }

  /** Names of the services whose servers are engines. */
  engineServices(): string[] {
    const names: string[] = [];
    for (const { name, engine } of this.#table?.services() ?? []) {
      if (engine) names.push(name);
    }
    return names;
  }

  /**
   * @param service Name of a service.
   * @returns Limits of each of its servers.
   */
  limitsOf(service: string): ServerLimits {
    const known = this.#table?.findService(service);
    return {
      cacheTokens: (known?.engine?.cacheTokens ?? 0) * USABLE_CACHE_RATIO,
      connectionLimit: known?.connectionLimit ?? Infinity,
      copyMsPerToken: copyMsPerToken(known?.engine ?? {}),
      outputTimes: this.#sharedOutputTimes(service),
      learnedRates: this.#learnedRates.get(service),
    };
  }

  /** @returns The learned rates by service, for state dumps. */
  learnedRates(): Record<string, unknown> {
    return Object.fromEntries(
      [...this.#learnedRates].map(([name, rates]) => [name, rates.state()]),
    );
  }

  /**
   * @param service Name of a service.
   * @returns How long clients may take up a stream of it again: they may wait for one attempt and return
   *   for another.
   */
  streamLifetimeMs(service: string): number {
    return 2 * (this.#table?.streamTimeoutMs(service) ?? 0);
  }

  /**
   * An entry sees too few answers of one server to learn its answer times before the server restarts;
   * with the initial estimate, no long answer may begin on weights that were just replaced.
   */
  #sharedOutputTimes(service: string): OutputTimes {
    const known = this.#outputTimes.get(service) ?? OutputTimes.create();
    this.#outputTimes.set(service, known);
    return known;
  }

  #applyRemoval(key: string): void {
    this.#malformedKeys.delete(key);
    const removed = decodeDeletion(key);
    if (removed.kind === "server") this.#options.fleet.remove(removed.serverId);
  }

  /** Drops a server whose registration is malformed; other malformed values leave the old in effect. */
  #onMalformed(malformed: MalformedValue): void {
    const { key } = malformed;
    const named = decodeDeletion(key);
    if (!this.#malformedKeys.has(key)) {
      this.#malformedKeys.add(key);
      this.#options.log.error({ event: "store_malformed", ...malformed });
      if (named.kind === "server") this.#countMalformed();
    }
    if (named.kind !== "server") return;
    this.#options.fleet.drop(named.serverId, "registration_malformed");
  }

  #countMalformed(): void {
    this.#options.metrics.counter("malformed_registrations_total", {
      help: "Registrations of servers that became malformed",
    }).add();
  }

  #applyConfig(config: RoutingConfig): void {
    if (this.#table && config.version <= this.#table.version) return;
    const before = this.#table?.version;
    this.#table = RoutingTable.create(config);
    this.#applyLearningServices(this.#table);
    this.#options.fleet.applyLimits();
    this.#options.onConfig(config);
    this.#applyPromptStores(config.services);
    this.#options.log.info({
      event: "config_in_force",
      version: config.version,
      before,
      routes: config.routes.length,
    });
  }

  /** What was learned survives a change of the configuration while the service has engines. */
  #applyLearningServices(table: RoutingTable): void {
    const learning = new Set<string>();
    const learns = this.#options.engineRates === EngineRatesMode.learned;
    for (const { name, engine } of table.services()) {
      if (engine && learns) learning.add(name);
    }
    for (const name of this.#learnedRates.keys()) {
      if (!learning.has(name)) this.#learnedRates.delete(name);
    }
    for (const name of learning) {
      if (this.#learnedRates.has(name)) continue;
      this.#learnedRates.set(name, ServiceRates.create());
    }
  }

  #applyWanted(wanted: WantedWeights): void {
    const maxAgeMs = this.#options.maxAgeMs();
    const coalescedMs = this.#options.coalescedMs();
    if (!this.#options.wanted.name(wanted, { maxAgeMs, coalescedMs })) return;
    const isFound = maxAgeMs > 0;
    if (isFound) this.#restoreAges();
    this.#options.log.info({ event: "weights_wanted", ...wanted, isFound });
  }

  #restoreAges(): void {
    const { wanted, recordedAges } = this.#options;
    for (const age of recordedAges()) wanted.mergeRecordedAge(age);
  }

  /** Rebuilds the list of prompt stores; expected caches survive a change of the configuration. */
  #applyPromptStores(services: Service[]): void {
    const tokenBytes = services.find(({ engine }) => engine)?.engine
      ?.tokenBytes;
    const before = this.#promptStores;
    this.#promptStores = new Map();
    for (const { cacheStore } of services) {
      if (!cacheStore) continue;
      const { address, zone, cacheTokens, linkMbps } = cacheStore;
      const capacityTokens = cacheTokens * USABLE_CACHE_RATIO;
      const cache = before.get(address)?.cache ??
        ExpectedCache.create(capacityTokens);
      cache.resize(capacityTokens);
      this.#promptStores.set(address, {
        address,
        zone,
        cache,
        copyMsPerToken: copyMsPerToken({ tokenBytes, linkMbps }),
      });
    }
  }
}
