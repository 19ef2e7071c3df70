/** Stand-in for a model engine: batches continuously, caches prefixes, and fails on demand. */
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

/** The model engine of tests and development. */
export class StandinEngine {
  readonly #state: EngineState;
  #host: HttpHost | undefined;

  private constructor(options: StandinEngineOptions) {
    this.#state = createState(options);
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns An engine that is up, with an empty cache.
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

  /** Changes with each crash. */
  get incarnation(): string {
    return this.#state.incarnation;
  }

  /** Runs whose prefill began, in order, over all incarnations. */
  get executions(): readonly EngineExecution[] {
    return this.#state.executions;
  }

  /** Orders carried out, in order. */
  get orders(): readonly ExecutedOrder[] {
    return this.#state.orders;
  }

  /** Models served now. */
  get models(): LoadedModel[] {
    return this.#state.models.list();
  }

  /** Blocks in the cache. */
  get cachedBlocks(): number {
    return this.#state.cache.size;
  }

  /**
   * @param faults Faults to change; what is not named stays as it is.
   */
  async setFaults(faults: Partial<StandinEngineFaults>): Promise<void> {
    const { crash, downMs, ...lasting } = faults;
    Object.assign(this.#state.faults, lasting);
    this.#state.feed.loseNext = faults.loseEvents ?? this.#state.feed.loseNext;
    this.#state.feed.lateMs = faults.lateEventsMs ?? this.#state.feed.lateMs;
    if (crash) this.crash();
    if (downMs) await this.#downFor(downMs);
  }

  /** Loses runs, cache and connections, and is back at once as a new incarnation. */
  crash(): void {
    resetState(this.#state);
    this.#host!.cut();
  }

  /** Crashes and stays down until {@link up}. */
  async down(): Promise<void> {
    resetState(this.#state);
    await this.#host!.down();
  }

  /** Comes back after {@link down}, on the same port. */
  async up(): Promise<void> {
    await this.#host!.up();
  }

  /** Stops for good. */
  async close(): Promise<void> {
    await this.down();
  }

  async #downFor(downMs: number): Promise<void> {
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

/** Everything in memory is gone, the fencing number as well. */
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
