/** Settings and faults of the stand-in engine. */
import type { LoadedModel } from "../backends/mod.ts";

/** Settings of a {@link StandinEngine}. */
export interface StandinEngineOptions {
  /** `ip:port`; port 0: any free one. */
  listenAddress: string;
  models: LoadedModel[];
  blockBytes: number;
  cacheBlocks: number;
  maxRunning: number;
  /** More requests than this wait: the next is answered with 429. */
  maxWaiting: number;
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  /** Age of the load report. */
  loadLagMs: number;
  /** Time that loading a model takes. */
  modelLoadMs: number;
  /** True: orders with an old fencing number are refused. */
  enforceFencing: boolean;
  /** Cache events kept for readers that come back. */
  keptEvents: number;
  heartbeatMs: number;
}

/** Faults of a {@link StandinEngine}, as the control endpoint takes them. */
export interface StandinEngineFaults {
  /** This many next cache events are lost. */
  loseEvents: number;
  lateEventsMs: number;
  /** Each run says nothing more after this many pieces; negative: off. */
  stallAfterPieces: number;
  /** Each run's connection is cut after this many pieces; negative: off. */
  cutAfterPieces: number;
  /** This many next runs are answered with 503, and not run. */
  rejectNext: number;
  /** True: crashes once and comes back empty. */
  crash: boolean;
  /** Each run of a request whose body holds this text crashes it; empty: off. */
  crashOnText: string;
  /** Crashes, and comes back empty after this time; 0: does nothing. */
  downMs: number;
}

/** An execution, for oracles. */
export interface EngineExecution {
  requestId: string;
  incarnation: string;
  model: LoadedModel;
  cacheSalt: string;
  promptTokens: number;
  cachedTokens: number;
}

/** An order that the engine carried out. */
export interface ExecutedOrder {
  fencingNumber: string;
  kind: string;
  /** The model or the role. */
  subject: string;
}

/** Settings for what a test leaves open. */
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
