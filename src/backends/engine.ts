/**
 * A model engine as the agent beside it meets it. The adapter is `http_engine.ts`; see
 * docs/INTERFACES.md for the wire form.
 */
import type { Result } from "true-myth/result";

/** Why an engine did not do what was asked. */
export type EngineFailure =
  /** The connection was refused, so the request never reached the engine. */
  | { kind: "unreachable"; message: string }
  /** The engine answered with an error status and did not run the request. */
  | { kind: "rejected"; status: number; body: string }
  /** The connection broke or went silent after the request was sent. */
  | { kind: "broken"; message: string }
  /** The engine refused an old fencing number. */
  | { kind: "fenced"; highestFencingNumber: bigint };

/** A request as passed to the engine. */
export interface EngineCall {
  requestId: string;
  api: "chat" | "text";
  /** The caller's body, parsed; the adapter sets `stream`, `priority` and `cache_salt`. */
  body: Record<string, unknown>;
  /** Lower runs first. */
  priority: number;
  /** Keeps workspaces apart in the engine's own cache. */
  cacheSalt: string;
  /** The only weights that may answer; empty or left out: those loaded last. */
  weightsVersion?: string;
}

/** One thing that an engine says during a run. */
export type EngineStep =
  /** A server-sent event's data, unchanged, without the closing `[DONE]`. */
  | { kind: "piece"; data: Uint8Array }
  | {
    kind: "end";
    promptTokens: number;
    completionTokens: number;
    cachedTokens: number;
  };

/** What the engine says about itself. */
export interface EngineInfo {
  /** Changes whenever the engine starts anew, with an empty cache. */
  incarnation: string;
  models: LoadedModel[];
  blockBytes: number;
  maxRunning: number;
  cacheBlocks: number;
  prefillMsPerToken: number;
  decodeMsPerToken: number;
}

/** A model, with adapter and weights version, that the engine serves. */
export interface LoadedModel {
  model: string;
  adapter: string;
  weightsVersion: string;
}

/** A report of load; it lags by `ageMs`. */
export interface EngineLoad {
  incarnation: string;
  running: number;
  waiting: number;
  /** Tokens still to prefill for requests waiting and running. */
  prefillTokensQueued: number;
  ageMs: number;
}

/** A cache event. `blockKey` values are the engine's own. */
export type CacheEvent =
  | {
    kind: "stored";
    seq: number;
    blockKey: string;
    /** Empty for a first block. */
    parentKey: string;
    cacheSalt: string;
    model: LoadedModel;
    /** The block's text, `blockBytes` of UTF-8. */
    content: string;
  }
  | { kind: "removed"; seq: number; blockKey: string }
  | { kind: "cleared"; seq: number };

/** A step of the event feed. */
export type CacheFeedStep =
  | {
    kind: "snapshot";
    incarnation: string;
    nextSeq: number;
    blocks: CacheEvent[];
  }
  | { kind: "event"; incarnation: string; event: CacheEvent };

/** An order to the engine, with the fencing number of the lease under which it was decided. */
export interface EngineOrder {
  fencingNumber: bigint;
  order:
    | { kind: "load"; model: LoadedModel }
    | { kind: "unload"; model: LoadedModel }
    | { kind: "role"; role: string };
}

/** Queries and commands of a model engine. */
export interface Engine {
  info(): Promise<Result<EngineInfo, EngineFailure>>;
  load(): Promise<Result<EngineLoad, EngineFailure>>;
  /** Runs a request; aborting the signal cancels it in the engine. */
  run(
    call: EngineCall,
    signal: AbortSignal,
  ): AsyncIterable<Result<EngineStep, EngineFailure>>;
  /** Current blocks, to start the picture anew. */
  cacheSnapshot(): Promise<
    Result<Extract<CacheFeedStep, { kind: "snapshot" }>, EngineFailure>
  >;
  /** Events from `sinceSeq`; sequence numbers may jump where entries were lost. */
  cacheEvents(
    sinceSeq: number,
    signal: AbortSignal,
  ): AsyncIterable<Result<CacheFeedStep, EngineFailure>>;
  exportCache(
    cacheSalt: string,
    blockKeys: string[],
  ): Promise<Result<Uint8Array, EngineFailure>>;
  importCache(data: Uint8Array): Promise<Result<number, EngineFailure>>;
  order(order: EngineOrder): Promise<Result<void, EngineFailure>>;
  close(): void;
}
