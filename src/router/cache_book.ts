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
  /** When the server is expected to have read it. */
  readyAtMs: number;
}

/** A part as one entry tells it to another that has just started. */
export interface TaughtPart {
  /** Salt and id. */
  key: string;
  tokens: number;
}

/** A cache with whose it is. */
export interface OwnedBook {
  /** A server's id, or a store's address. */
  id: string;
  /** The server's start, if it is known: after another one its cache is empty. */
  bornAtMs?: number;
  cache: CacheBook;
}

/** Expected contents of one server's cache. */
export class CacheBook {
  readonly #parts = new Map<string, HeldPart>();
  #capacityTokens: number;
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
   * @returns How many of its leading tokens are expected in the cache, or are about to be read.
   */
  cachedTokens(chain: Chain): number {
    return this.readyTokens(chain, Infinity);
  }

  /**
   * @param chain Parts of a prompt, in order.
   * @param nowMs The time.
   * @returns How many of its leading tokens are expected to have been read by then.
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
   * Notes that a prompt was sent to the server.
   *
   * @param chain Parts of the prompt.
   * @param readyAtMs When the server is expected to have read it.
   */
  use(chain: Chain, readyAtMs: number): void {
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
   * Notes that a prompt was not read after all.
   *
   * @param chain Parts of the prompt.
   * @param nowMs The time; parts that were ready by then stay.
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
   * @param nowMs The time.
   * @returns All parts that are ready, the least recently used first.
   */
  teach(nowMs: number): TaughtPart[] {
    const parts: TaughtPart[] = [];
    for (const [key, { tokens, readyAtMs }] of this.#parts) {
      if (readyAtMs <= nowMs) parts.push({ key, tokens });
    }
    return parts;
  }

  /**
   * Takes in what another entry knows; what was learned here since counts as used later.
   *
   * @param parts The least recently used first.
   */
  learn(parts: readonly TaughtPart[]): void {
    const own = [...this.#parts];
    this.clear();
    for (const { key, tokens } of parts) {
      this.#parts.set(key, { tokens, readyAtMs: -Infinity });
    }
    for (const [key, held] of own) {
      this.#parts.delete(key);
      this.#parts.set(key, held);
    }
    for (const { tokens } of this.#parts.values()) this.#tokens += tokens;
    this.#evict();
  }

  /** @param capacityTokens Tokens of cached prompts that the server has room for from now on. */
  resize(capacityTokens: number): void {
    this.#capacityTokens = capacityTokens;
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
