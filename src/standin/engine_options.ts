/** Settings and faults of the stand-in engine. */
import type { LoadedModel } from "../backends/mod.ts";

/** Settings of a {@link StandinEngine}. */
export interface StandinEngineOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  models: LoadedModel[];
  /** Size of a cache block. */
  blockBytes: number;
  /** Capacity of the prefix cache in blocks. */
  cacheBlocks: number;
  /** Number of slots for concurrent runs. */
  maxRunning: number;
  /** Maximum queue length; further requests are answered with 429. */
  maxWaiting: number;
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  /** Age of the load report. */
  loadLagMs: number;
  /** Time to load a model. */
  modelLoadMs: number;
  /** Whether orders with an outdated fencing number are rejected. */
  enforceFencing: boolean;
  /** Minimum number of recent cache events buffered for reconnecting readers. */
  keptEvents: number;
  /** Heartbeat interval of the cache-event feed. */
  heartbeatMs: number;
}

/** Faults of a {@link StandinEngine}, in the format of its control endpoint. */
export interface StandinEngineFaults {
  /** Number of upcoming cache events to drop. */
  loseEvents: number;
  /** Delay of cache events. */
  lateEventsMs: number;
  /** Number of tokens after which each run stalls; negative: off. */
  stallAfterPieces: number;
  /** Number of tokens after which the connection of each run is closed; negative: off. */
  cutAfterPieces: number;
  /** Number of upcoming runs that are answered with 503 and not executed. */
  rejectNext: number;
  /** Crashes the engine once; it restarts immediately with an empty cache. */
  crash: boolean;
  /** Crashes the engine on each run whose request body contains this text; empty: off. */
  crashOnText: string;
  /** Crashes the engine; it restarts with an empty cache after this time; 0: off. */
  downMs: number;
}

/** Record of an executed run, checked by tests. */
export interface EngineExecution {
  requestId: string;
  incarnation: string;
  model: LoadedModel;
  cacheSalt: string;
  promptTokens: number;
  cachedTokens: number;
}

/** An order that the engine executed. */
export interface ExecutedOrder {
  fencingNumber: string;
  kind: string;
  /** The model as JSON, or the role. */
  subject: string;
}

/** Default settings. */
export const DEFAULT_ENGINE_OPTIONS: StandinEngineOptions = {
  listenAddress: "127.0.0.1:0",
  models: [{ model: "notes", adapter: "", weightsVersion: "1" }],
  blockBytes: 256,
  cacheBlocks: 4096,
  maxRunning: 16,
  maxWaiting: 10_000,
  prefillMsPerToken: 0.05,
  decodeMsPerToken: 2,
  loadLagMs: 100,
  modelLoadMs: 0,
  enforceFencing: true,
  keptEvents: 10_000,
  heartbeatMs: 500,
};
