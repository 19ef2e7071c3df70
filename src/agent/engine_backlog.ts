/**
 * Tracks the load of one engine: the agent's own requests, which are counted exactly, plus requests
 * of other clients, which are derived from the engine's load reports. A report describes an earlier
 * moment, so the own requests that were on the engine at that moment are subtracted from it. Own
 * requests sent since then are added.
 */
import type { EngineLoad } from "../backends/engine.ts";

/** A request that was sent to the engine. */
export interface PlacedRequest {
  uncachedTokens: number;
  placedMs: number;
  /** Time of the first piece of output; Infinity until then. */
  firstPieceMs: number;
  /** Time at which the request left the engine; Infinity until then. */
  leftMs: number;
}

/** Load reports older than this are ignored. */
const REPORT_MAX_AGE_MS = 5000;

/** Requests and pending prefill tokens on the engine. */
export class EngineBacklog {
  readonly #requests = new Set<PlacedRequest>();
  /** Requests that left recently; a lagging report may still include them. */
  #recentlyLeft: PlacedRequest[] = [];
  #otherRequestCount = 0;
  #otherPrefillTokens = 0;
  #reportExpiresMs = -Infinity;

  private constructor() {}

  /** @returns The backlog of an idle engine. */
  static create(): EngineBacklog {
    return new EngineBacklog();
  }

  get ownCount(): number {
    return this.#requests.size;
  }

  /** Number of own requests still in prefill. */
  get prefillingCount(): number {
    let count = 0;
    for (const request of this.#requests) {
      if (request.firstPieceMs === Infinity) count++;
    }
    return count;
  }

  /** @returns Number of requests on the engine, including those of other clients. */
  count(nowMs: number): number {
    return this.ownCount +
      (nowMs < this.#reportExpiresMs ? this.#otherRequestCount : 0);
  }

  /** @returns Number of tokens that the engine still has to prefill. */
  prefillTokens(nowMs: number): number {
    let tokens = nowMs < this.#reportExpiresMs ? this.#otherPrefillTokens : 0;
    for (const request of this.#requests) {
      if (request.firstPieceMs === Infinity) tokens += request.uncachedTokens;
    }
    return tokens;
  }

  /** @param request A request that is being sent to the engine. */
  add(request: PlacedRequest): void {
    this.#requests.add(request);
  }

  /**
   * @param request A request that has ended or was cancelled.
   * @param nowMs Current time.
   */
  remove(request: PlacedRequest, nowMs: number): void {
    if (!this.#requests.delete(request)) return;
    request.leftMs = nowMs;
    this.#recentlyLeft.push(request);
  }

  /**
   * @param load The engine's load report.
   * @param nowMs Time at which the report was received.
   */
  applyReport(load: EngineLoad, nowMs: number): void {
    const asOfMs = nowMs - load.ageMs;
    this.#recentlyLeft = this.#recentlyLeft.filter((request) =>
      request.leftMs > nowMs - REPORT_MAX_AGE_MS
    );
    let count = 0;
    let tokens = 0;
    for (const request of [...this.#requests, ...this.#recentlyLeft]) {
      if (request.placedMs > asOfMs || request.leftMs <= asOfMs) continue;
      count++;
      if (request.firstPieceMs > asOfMs) tokens += request.uncachedTokens;
    }
    this.#otherRequestCount = Math.max(0, load.running + load.waiting - count);
    this.#otherPrefillTokens = Math.max(0, load.prefillTokensQueued - tokens);
    this.#reportExpiresMs = asOfMs + REPORT_MAX_AGE_MS;
  }

  /** Discards the load reports, after the engine restarted without requests. */
  reset(): void {
    this.#otherRequestCount = 0;
    this.#otherPrefillTokens = 0;
    this.#reportExpiresMs = -Infinity;
  }
}
