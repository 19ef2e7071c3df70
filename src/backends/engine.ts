/**
 * Interface of a model engine as its agent uses it. `http_engine.ts` implements it; see
 * docs/INTERFACES.md for the wire format.
 */
import type { Result } from "true-myth/result";

/** Reason why a call to an engine failed. */
export type EngineFailure =
  /** The connection was refused, so the request never reached the engine. */
  | { kind: "unreachable"; message: string }
  /** The engine answered with an error status and did not run the request. */
  | { kind: "rejected"; status: number; body: string }
  /** The connection broke or timed out after the request was sent. */
  | { kind: "broken"; message: string }
  /** The engine rejected the order because it has seen a higher fencing number. */
  | { kind: "fenced"; highestFencingNumber: bigint };

/** A request to the engine. */
export interface EngineCall {
  requestId: string;
  api: "chat" | "text";
  /** The caller's parsed body; the adapter sets `stream`, `priority` and `cache_salt`. */
  body: Record<string, unknown>;
  /** A lower number runs first. */
  priority: number;
  /** Isolates workspaces from each other in the engine's prefix cache. */
  cacheSalt: string;
  /** Required weights version; if empty or absent, the engine uses the weights loaded last. */
  weightsVersion?: string;
}

/** A part of an engine's response stream. */
export type EngineResponsePart =
  /** Unchanged data of a server-sent event; never the closing `[DONE]`. */
  | { kind: "piece"; data: Uint8Array }
  /** The response is complete. */
  | {
    kind: "end";
    promptTokens: number;
    completionTokens: number;
    cachedTokens: number;
  };

/** Identity and configuration that the engine reports. */
export interface EngineInfo {
  /** Changes each time the engine restarts; a restart empties its cache. */
  incarnation: string;
  models: LoadedModel[];
  blockBytes: number;
  maxRunning: number;
  cacheBlocks: number;
  prefillMsPerToken: number;
  decodeMsPerToken: number;
}

/** A model that the engine has loaded, with adapter and weights version. */
export interface LoadedModel {
  model: string;
  adapter: string;
  weightsVersion: string;
}

/** A load report; its values are `ageMs` old. */
export interface EngineLoad {
  incarnation: string;
  running: number;
  waiting: number;
  /** Prompt tokens not yet prefilled, over waiting and running requests. */
  prefillTokensQueued: number;
  ageMs: number;
}

/** A cache event; the engine chooses the `blockKey` values. */
export type CacheEvent =
  | {
    kind: "stored";
    seq: number;
    blockKey: string;
    /** Key of the preceding block of the prefix; empty for the first block. */
    parentKey: string;
    cacheSalt: string;
    model: LoadedModel;
    /** Text of the block: `blockBytes` bytes of UTF-8. */
    content: string;
  }
  | { kind: "removed"; seq: number; blockKey: string }
  | { kind: "cleared"; seq: number };

/** A snapshot of the engine's cache, or one event of its cache event feed. */
export type CacheFeedItem =
  | {
    kind: "snapshot";
    incarnation: string;
    nextSeq: number;
    blocks: CacheEvent[];
  }
  | { kind: "event"; incarnation: string; event: CacheEvent };

/** An order to the engine, with the fencing number of the lease under which it was issued. */
export interface EngineOrder {
  fencingNumber: bigint;
  order:
    | { kind: "load"; model: LoadedModel }
    | { kind: "unload"; model: LoadedModel }
    | { kind: "role"; role: string };
}

/** A model engine. */
export interface Engine {
  info(): Promise<Result<EngineInfo, EngineFailure>>;
  load(): Promise<Result<EngineLoad, EngineFailure>>;
  /** Runs a request; aborting the signal cancels the run in the engine. */
  run(
    call: EngineCall,
    signal: AbortSignal,
  ): AsyncIterable<Result<EngineResponsePart, EngineFailure>>;
  /** Returns all blocks currently cached, to rebuild a view of the cache. */
  cacheSnapshot(): Promise<
    Result<Extract<CacheFeedItem, { kind: "snapshot" }>, EngineFailure>
  >;
  /** Streams events from `sinceSeq`; a gap in sequence numbers means that events were lost. */
  cacheEvents(
    sinceSeq: number,
    signal: AbortSignal,
  ): AsyncIterable<Result<CacheFeedItem, EngineFailure>>;
  exportCache(
    cacheSalt: string,
    blockKeys: string[],
  ): Promise<Result<Uint8Array, EngineFailure>>;
  importCache(data: Uint8Array): Promise<Result<number, EngineFailure>>;
  order(order: EngineOrder): Promise<Result<void, EngineFailure>>;
  close(): void;
}
