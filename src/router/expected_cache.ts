/**
 * Model of a backend server's prefix cache: the prompt parts sent to the server, with LRU eviction
 * at the server's capacity. This is an estimate; only the server knows the actual contents.
 */
import type { PromptPart } from "./model.ts";

/** The parts of a prompt, cached under one salt. */
export interface Chain {
  /** Parts under different salts are never shared. */
  salt: string;
  parts: readonly PromptPart[];
}

interface PartState {
  tokens: number;
  /** When the server is expected to finish the prefill of this part. */
  readyAtMs: number;
}

/** A cached part as sent to an entry that has just started. */
export interface CachedPart {
  /** Salt and part id. */
  key: string;
  tokens: number;
}

/** A cache model and its owner. */
export interface OwnedCache {
  /** Server id or store address. */
  id: string;
  /** Start of the server, if known; a restart empties its cache. */
  bornAtMs?: number;
  cache: ExpectedCache;
}

/** Expected contents of one server's or store's cache. */
export class ExpectedCache {
  readonly #parts = new Map<string, PartState>();
  #capacityTokens: number;
  #tokens = 0;

  private constructor(capacityTokens: number) {
    this.#capacityTokens = capacityTokens;
  }

  /**
   * Creates an empty cache model.
   *
   * @param capacityTokens Capacity of the cache in tokens.
   * @returns The model.
   */
  static create(capacityTokens: number): ExpectedCache {
    return new ExpectedCache(capacityTokens);
  }

  /**
   * Counts cached tokens, including parts whose prefill is still pending.
   *
   * @param chain Parts of a prompt, in order.
   * @returns Length of the expected cached prefix in tokens.
   */
  cachedTokens(chain: Chain): number {
    return this.readyTokens(chain, Infinity);
  }

  /**
   * Counts cached tokens whose prefill is expected to be complete.
   *
   * @param chain Parts of a prompt, in order.
   * @param nowMs Current time.
   * @returns Length of the expected cached prefix at that time, in tokens.
   */
  readyTokens(chain: Chain, nowMs: number): number {
    let ready = 0;
    for (const { id, tokens } of chain.parts) {
      const held = this.#parts.get(partKey(chain.salt, id));
      if (!held || held.readyAtMs > nowMs) break;
      ready += tokens;
    }
    return ready;
  }

  /**
   * Records that a prompt was sent to the server.
   *
   * @param chain Parts of the prompt.
   * @param readyAtMs When the prefill is expected to be complete.
   */
  recordPrompt(chain: Chain, readyAtMs: number): void {
    for (const { id, tokens } of chain.parts) {
      const key = partKey(chain.salt, id);
      const held = this.#parts.get(key);
      if (held) this.#parts.delete(key);
      else this.#tokens += tokens;
      const readyMs = Math.min(held?.readyAtMs ?? Infinity, readyAtMs);
      this.#parts.set(key, { tokens, readyAtMs: readyMs });
    }
    this.#evict();
  }

  /**
   * Removes the parts of a prompt whose prefill did not happen.
   *
   * @param chain Parts of the prompt.
   * @param nowMs Current time; parts that were ready before are kept.
   */
  forget(chain: Chain, nowMs: number): void {
    for (const { id, tokens } of chain.parts) {
      const key = partKey(chain.salt, id);
      const held = this.#parts.get(key);
      if (!held || held.readyAtMs <= nowMs) continue;
      this.#parts.delete(key);
      this.#tokens -= tokens;
    }
  }

  /**
   * Exports the cache contents for another entry.
   *
   * @param nowMs Current time.
   * @returns All ready parts, least recently used first.
   */
  exportParts(nowMs: number): CachedPart[] {
    const parts: CachedPart[] = [];
    for (const [key, { tokens, readyAtMs }] of this.#parts) {
      if (readyAtMs <= nowMs) parts.push({ key, tokens });
    }
    return parts;
  }

  /**
   * Merges the contents reported by another entry. Parts recorded locally count as more recently
   * used.
   *
   * @param parts Reported parts, least recently used first.
   */
  mergeParts(parts: readonly CachedPart[]): void {
    const localParts = [...this.#parts];
    this.clear();
    for (const { key, tokens } of parts) {
      this.#parts.set(key, { tokens, readyAtMs: -Infinity });
    }
    for (const [key, held] of localParts) {
      this.#parts.delete(key);
      this.#parts.set(key, held);
    }
    for (const { tokens } of this.#parts.values()) this.#tokens += tokens;
    this.#evict();
  }

  /**
   * Changes the capacity and evicts parts that no longer fit.
   *
   * @param capacityTokens Capacity of the cache in tokens.
   */
  resize(capacityTokens: number): void {
    this.#capacityTokens = capacityTokens;
    this.#evict();
  }

  /** Removes all parts, as the server does when its weights change. */
  clear(): void {
    this.#parts.clear();
    this.#tokens = 0;
  }

  #evict(): void {
    for (const [key, { tokens }] of this.#parts) {
      if (this.#tokens <= this.#capacityTokens) return;
      this.#parts.delete(key);
      this.#tokens -= tokens;
    }
  }
}

function partKey(salt: string, id: string): string {
  return `${salt}/${id}`;
}
