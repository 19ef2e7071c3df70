/**
 * What a backend server's prefix cache is expected to hold: the parts of prompts that were sent to
 * it, the least recently used dropped where its memory would be full. It is an expectation; the
 * server alone knows.
 */
import type { PromptPart } from "./model.ts";

/** Parts of one prompt under one salt. */
export interface Chain {
  /** Parts with different salts are never shared. */
  salt: string;
  parts: readonly PromptPart[];
}

interface HeldPart {
  tokens: number;
  usedAtMs: number;
}

/** Expected contents of one server's cache. */
export class CacheBook {
  readonly #parts = new Map<string, HeldPart>();
  readonly #capacityTokens: number;
  #tokens = 0;

  private constructor(capacityTokens: number) {
    this.#capacityTokens = capacityTokens;
  }

  /**
   * @param capacityTokens Tokens of cached prompts that the server has room for.
   * @returns An empty book.
   */
  static create(capacityTokens: number): CacheBook {
    return new CacheBook(capacityTokens);
  }

  /**
   * @param chain Parts of a prompt, in order.
   * @returns How many of its leading tokens are expected in the cache.
   */
  cachedTokens(chain: Chain): number {
    let cached = 0;
    for (const { id, tokens } of chain.parts) {
      if (!this.#parts.has(partKey(chain.salt, id))) break;
      cached += tokens;
    }
    return cached;
  }

  /**
   * Notes that a prompt was sent to the server.
   *
   * @param chain Parts of the prompt.
   * @param nowMs The time.
   */
  use(chain: Chain, nowMs: number): void {
    for (const { id, tokens } of chain.parts) {
      const key = partKey(chain.salt, id);
      const held = this.#parts.get(key);
      if (held) this.#parts.delete(key);
      else this.#tokens += tokens;
      this.#parts.set(key, { tokens, usedAtMs: nowMs });
    }
    this.#evict();
  }

  /** Forgets everything, as the server does when its weights change. */
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
