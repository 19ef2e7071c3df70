/**
 * Tracks prompt prefixes that the engine is currently computing: those of admitted requests whose
 * blocks the engine has not yet reported as cached. A new request with the same prefix will find it
 * in the cache, so it needs less prefill. Only {@link CacheView} tells whether a block is cached.
 *
 * Everything is cleared when the engine restarts. Prefixes are counted separately by scope, which
 * includes team, workspace, model, adapter and weights version.
 */
import type { Clock } from "../base/mod.ts";
import { CHAIN_BLOCK_TOKENS, scopeId } from "../placement/chain.ts";
import { InFlightPrefixes } from "../placement/in_flight_prefixes.ts";
import type { AskRequest } from "../wire/gen/cicadahitch.ts";

/** The prefill of an admitted request. */
interface Prefill {
  ask: AskRequest;
  scope: string;
  /** False once the first piece of output has arrived. */
  isPrefilling: boolean;
}

/** A prefill that is removed at `dueMs`. */
interface PendingRemoval {
  request: object;
  prefill: Prefill;
  dueMs: number;
}

/** Time after the first piece by which the engine's cache events have reached the cache view. */
const EVENT_DELAY_MS = 150;

/** Prefixes in prefill on one engine. */
export class PrefillsInFlight {
  readonly #clock: Clock;
  readonly #scopes = new Map<string, InFlightPrefixes>();
  readonly #prefills = new Map<object, Prefill>();
  /** In order of removal. */
  #pendingRemovals: PendingRemoval[] = [];

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock for the delay of the engine's cache events.
   * @returns A tracker without prefixes.
   */
  static create(clock: Clock): PrefillsInFlight {
    return new PrefillsInFlight(clock);
  }

  /** Number of tracked requests. */
  get size(): number {
    this.#removeDue();
    return this.#prefills.size;
  }

  /**
   * Adds an admitted request.
   *
   * @param request Object that identifies the request.
   * @param ask The ask of the request.
   * @param options The weights version that serves the request.
   */
  add(
    request: object,
    ask: AskRequest,
    { weightsVersion }: { weightsVersion: string },
  ): void {
    const scope = scopeId({ ...ask, weightsVersion });
    let prefixes = this.#scopes.get(scope);
    if (!prefixes) {
      this.#scopes.set(scope, prefixes = InFlightPrefixes.create());
    }
    prefixes.add(ask.chain);
    this.#prefills.set(request, { ask, scope, isPrefilling: true });
  }

  /** @param request A request whose first piece has arrived; the engine's cache events follow. */
  notePrefilled(request: object): void {
    this.#removeDue();
    const prefill = this.#prefills.get(request);
    if (!prefill?.isPrefilling) return;
    prefill.isPrefilling = false;
    const dueMs = this.#clock.nowMs() + EVENT_DELAY_MS;
    this.#pendingRemovals.push({ request, prefill, dueMs });
  }

  /** @param request A request that ended; it is removed at once if no first piece has arrived. */
  remove(request: object): void {
    const prefill = this.#prefills.get(request);
    if (prefill?.isPrefilling) this.#remove(request, prefill);
  }

  /**
   * @param ask A request.
   * @param weightsVersion The weights version that would serve it.
   * @returns Number of tokens of its prompt that earlier requests are computing.
   */
  inFlightTokens(ask: AskRequest, weightsVersion: string): number {
    this.#removeDue();
    if (this.#scopes.size === 0) return 0;
    const prefixes = this.#scopes.get(scopeId({ ...ask, weightsVersion }));
    if (!prefixes) return 0;
    const blocks = prefixes.matchedBlocks(ask.chain);
    return Math.min(blocks * CHAIN_BLOCK_TOKENS, ask.promptTokens);
  }

  /** Removes everything, after the engine restarted with an empty cache. */
  clear(): void {
    this.#scopes.clear();
    this.#prefills.clear();
    this.#pendingRemovals = [];
  }

  #removeDue(): void {
    const nowMs = this.#clock.nowMs();
    let count = 0;
    for (const { dueMs } of this.#pendingRemovals) {
      if (dueMs > nowMs) break;
      count++;
    }
    if (count === 0) return;
    for (const { request, prefill } of this.#pendingRemovals.splice(0, count)) {
      this.#remove(request, prefill);
    }
  }

  #remove(request: object, { ask, scope }: Prefill): void {
    this.#prefills.delete(request);
    const prefixes = this.#scopes.get(scope);
    prefixes?.remove(ask.chain);
    if (prefixes?.size === 0) this.#scopes.delete(scope);
  }
}
