/** What the platform's store says, in force: configuration, servers, weights and the prompt stores. */
import type { Logger } from "../base/mod.ts";
import {
  decodeFact,
  decodeRemoval,
  type MalformedValue,
} from "../platform/mod.ts";
import { CacheBook, type OwnedBook } from "./cache_book.ts";
import type { Fleet } from "./fleet.ts";
import type { MirrorChange } from "./mirror.ts";
import {
  copyMsPerToken,
  type RoutingConfig,
  type Service,
  type WantedWeights,
} from "./model.ts";
import { NAMED_RECORD_KEY } from "./named_record.ts";
import type { PromptStore } from "./prompt_store.ts";
import { RoutingTable } from "./routing_table.ts";
import { SUSPECT_RECORD_KEY } from "../suspects/mod.ts";
import type { ServerLimits } from "./server.ts";
import type { NamedAge, WantedVersions } from "./wanted_weights.ts";

/** Part of an engine's memory that is expected to hold cached prompts. */
const CACHE_SHARE = 0.8;

/** What an {@link InForce} works with. */
export interface InForceOptions {
  log: Logger;
  fleet: Fleet;
  wanted: WantedVersions;
  /** For how long what the store says now may have been so; 0: it has just changed. */
  maxAgeMs(): number;
  /** For how long what is heard now may have waited before the store was asked again. */
  gatheredMs(): number;
  /** Ages of named weights, as the store's record has them, for those whose naming was not heard. */
  recordedAges(): NamedAge[];
  /** The store's record of suspected requests is new. */
  onSuspects(): void;
  /** A newer configuration is in force. */
  onConfig(config: RoutingConfig): void;
}

/** What is in force. */
export class InForce {
  readonly #options: InForceOptions;
  #table: RoutingTable | undefined;
  /** By address. */
  #promptStores = new Map<string, PromptStore>();
  /** Keys whose value is malformed, so that each is logged once. */
  readonly #malformed = new Set<string>();

  private constructor(options: InForceOptions) {
    this.#options = options;
  }

  /**
   * @param options Where servers and weights are kept.
   * @returns Nothing is in force yet.
   */
  static create(options: InForceOptions): InForce {
    return new InForce(options);
  }

  /** The configuration, once one is known. */
  get table(): RoutingTable | undefined {
    return this.#table;
  }

  /** Where prompts are kept beside the engines' own caches. */
  get promptStores(): PromptStore[] {
    return [...this.#promptStores.values()];
  }

  /** @param change A change of the store; what is older than what is in force is ignored. */
  take(change: MirrorChange): void {
    if (change.kind === "delete") return this.#remove(change.key);
    const { key, value } = change.entry;
    const fact = decodeFact(key, value);
    if (fact.isErr) return this.#refuse(fact.error);
    this.#malformed.delete(key);
    switch (fact.value.kind) {
      case "config":
        return this.#useConfig(fact.value.config);
      case "server":
        return this.#options.fleet.put(fact.value.server);
      case "weights":
        return this.#want(fact.value.wanted);
      case "other":
        if (key === NAMED_RECORD_KEY) this.#recallAges();
        if (key === SUSPECT_RECORD_KEY) this.#options.onSuspects();
        return;
    }
  }

  /**
   * @param id Id of a server, or address of a prompt store.
   * @param bornAtMs The start of the server that is meant; left out: any.
   * @returns What is expected in its cache.
   */
  cacheOf(id: string, bornAtMs?: number): CacheBook | undefined {
    const store = this.#promptStores.get(id);
    return store?.cache ?? this.#options.fleet.get(id, bornAtMs)?.cache;
  }

  /** Caches of all servers and prompt stores. */
  *books(): Generator<OwnedBook> {
    for (const { entry, cache } of this.#options.fleet.all()) {
      yield { id: entry.id, bornAtMs: entry.bornAtMs, cache };
    }
    for (const { address, cache } of this.#promptStores.values()) {
      yield { id: address, cache };
    }
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
   * @returns What each of its servers takes.
   */
  limitsOf(service: string): ServerLimits {
    const known = this.#table?.findService(service);
    return {
      cacheTokens: (known?.engine?.cacheTokens ?? 0) * CACHE_SHARE,
      connectionLimit: known?.connectionLimit ?? Infinity,
      copyMsPerToken: copyMsPerToken(known?.engine ?? {}),
    };
  }

  #remove(key: string): void {
    this.#malformed.delete(key);
    const removed = decodeRemoval(key);
    if (removed.kind === "server") this.#options.fleet.remove(removed.serverId);
  }

  /** A registration that can't be read names no server to use; of other values the older holds. */
  #refuse(malformed: MalformedValue): void {
    const { key } = malformed;
    if (!this.#malformed.has(key)) {
      this.#malformed.add(key);
      this.#options.log.error({ event: "store_malformed", ...malformed });
    }
    const named = decodeRemoval(key);
    if (named.kind !== "server") return;
    this.#options.fleet.drop(named.serverId, "registration_malformed");
  }

  #useConfig(config: RoutingConfig): void {
    if (this.#table && config.version <= this.#table.version) return;
    const before = this.#table?.version;
    this.#table = RoutingTable.create(config);
    this.#options.fleet.applyLimits();
    this.#options.onConfig(config);
    this.#usePromptStores(config.services);
    this.#options.log.info({
      event: "config_in_force",
      version: config.version,
      before,
      routes: config.routes.length,
    });
  }

  #want(wanted: WantedWeights): void {
    const maxAgeMs = this.#options.maxAgeMs();
    const gatheredMs = this.#options.gatheredMs();
    if (!this.#options.wanted.name(wanted, { maxAgeMs, gatheredMs })) return;
    const isFound = maxAgeMs > 0;
    if (isFound) this.#recallAges();
    this.#options.log.info({ event: "weights_wanted", ...wanted, isFound });
  }

  #recallAges(): void {
    const { wanted, recordedAges } = this.#options;
    for (const age of recordedAges()) wanted.recall(age);
  }

  /** What a store holds outlives changes of the configuration. */
  #usePromptStores(services: Service[]): void {
    const tokenBytes = services.find(({ engine }) => engine)?.engine
      ?.tokenBytes;
    const before = this.#promptStores;
    this.#promptStores = new Map();
    for (const { cacheStore } of services) {
      if (!cacheStore) continue;
      const { address, zone, cacheTokens, linkMbps } = cacheStore;
      const capacityTokens = cacheTokens * CACHE_SHARE;
      const cache = before.get(address)?.cache ??
        CacheBook.create(capacityTokens);
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
