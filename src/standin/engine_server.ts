/** Stand-in for a model engine, with continuous batching, a prefix cache and fault injection. */
import { randomUUID } from "node:crypto";
import type { LoadedModel } from "../backends/mod.ts";
import { CacheEventFeed } from "./_engine_events.ts";
import { PrefixCache } from "./_engine_cache.ts";
import { serveEngine } from "./_engine_routes.ts";
import { EngineScheduler } from "./_engine_scheduler.ts";
import { HttpHost } from "./_http_host.ts";
import { LoadHistory } from "./_load_history.ts";
import type { EngineState } from "./_engine_state.ts";
import { ModelSet } from "./_model_set.ts";
import {
  DEFAULT_ENGINE_OPTIONS,
  type EngineExecution,
  type ExecutedOrder,
  type StandinEngineFaults,
  type StandinEngineOptions,
} from "./engine_options.ts";

/** A simulated model engine for tests and development. */
export class StandinEngine {
  readonly #state: EngineState;
  #host: HttpHost | undefined;

  private constructor(options: StandinEngineOptions) {
    this.#state = createState(options);
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns A listening engine with an empty cache.
   */
  static async create(
    options: Partial<StandinEngineOptions> = {},
  ): Promise<StandinEngine> {
    const engine = new StandinEngine({ ...DEFAULT_ENGINE_OPTIONS, ...options });
    const { listenAddress } = engine.#state.options;
    engine.#host = await HttpHost.create({
      listenAddress,
      handle: (request) =>
        serveEngine(engine.#state, request, {
          setFaults: (faults) => engine.setFaults(faults),
        }),
    });
    return engine;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return this.#host!.address;
  }

  /** Base URL of the listener. */
  get url(): string {
    return `http://${this.address}`;
  }

  /** Id of the engine's current incarnation; changes with each crash. */
  get incarnation(): string {
    return this.#state.incarnation;
  }

  /** Runs whose prefill started, in order, across all incarnations. */
  get executions(): readonly EngineExecution[] {
    return this.#state.executions;
  }

  /** Accepted orders, in order of arrival. */
  get orders(): readonly ExecutedOrder[] {
    return this.#state.orders;
  }

  /** Models that are currently served. */
  get models(): LoadedModel[] {
    return this.#state.models.list();
  }

  /** Number of blocks in the prefix cache. */
  get cachedBlocks(): number {
    return this.#state.cache.size;
  }

  /**
   * Changes faults.
   *
   * @param faults Faults to change; omitted ones keep their value.
   */
  async setFaults(faults: Partial<StandinEngineFaults>): Promise<void> {
    const { crash, downMs, ...lasting } = faults;
    Object.assign(this.#state.faults, lasting);
    this.#state.feed.loseNext = faults.loseEvents ?? this.#state.feed.loseNext;
    this.#state.feed.delayMs = faults.lateEventsMs ?? this.#state.feed.delayMs;
    if (crash) this.crash();
    if (downMs) await this.#takeDownFor(downMs);
  }

  /** Drops runs, cache and connections, and restarts immediately as a new incarnation. */
  crash(): void {
    resetState(this.#state);
    this.#host!.cut();
  }

  /** Crashes and refuses connections until {@link up}. */
  async down(): Promise<void> {
    resetState(this.#state);
    await this.#host!.down();
  }

  /** Starts listening again after {@link down}, on the same port. */
  async up(): Promise<void> {
    await this.#host!.up();
  }

  /** Stops the engine permanently. */
  async close(): Promise<void> {
    await this.down();
  }

  async #takeDownFor(downMs: number): Promise<void> {
    await this.down();
    setTimeout(() => void this.up(), downMs).unref();
  }
}

function createState(options: StandinEngineOptions): EngineState {
  const feed = CacheEventFeed.create(options);
  const cache = PrefixCache.create({
    blockBytes: options.blockBytes,
    capacityBlocks: options.cacheBlocks,
    onEvent: (event) => feed.publish(event),
  });
  const executions: EngineExecution[] = [];
  const loadHistory = LoadHistory.create(options.loadLagMs);
  const scheduler: EngineScheduler = EngineScheduler.create({
    maxRunning: options.maxRunning,
    prefillMsPerToken: options.prefillMsPerToken,
    decodeMsPerToken: options.decodeMsPerToken,
    cache,
    onStart: (run) => {
      const { execution, cachedTokens } = run;
      executions.push({ ...execution, cachedTokens });
      loadHistory.record(scheduler.load());
    },
  });
  return {
    options,
    faults: noFaults(),
    cache,
    feed,
    scheduler,
    loadHistory,
    executions,
    orders: [],
    models: ModelSet.create(options.models),
    incarnation: randomUUID(),
    role: "",
    highestFencingNumber: 0n,
  };
}

/** Clears all in-memory state, including the fencing number, as a restart does. */
function resetState(state: EngineState): void {
  state.scheduler.clear();
  state.cache.clear();
  state.feed.reset();
  state.loadHistory.record(state.scheduler.load());
  state.models = ModelSet.create(state.options.models);
  state.incarnation = randomUUID();
  state.role = "";
  state.highestFencingNumber = 0n;
}

function noFaults(): StandinEngineFaults {
  return {
    loseEvents: 0,
    lateEventsMs: 0,
    stallAfterPieces: -1,
    cutAfterPieces: -1,
    rejectNext: 0,
    crash: false,
    crashOnText: "",
    downMs: 0,
  };
}
