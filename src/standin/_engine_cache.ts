/** The stand-in engine's prefix cache: blocks in a chain, the least recently used evicted first. */
import { hash } from "node:crypto";
import type { CacheEvent, LoadedModel } from "../backends/mod.ts";

/** A cached block. */
export interface CacheBlock {
  blockKey: string;
  /** Empty for a first block. */
  parentKey: string;
  cacheSalt: string;
  model: LoadedModel;
  content: string;
}

/** Whose blocks a prompt may use. */
export interface CacheScope {
  cacheSalt: string;
  model: LoadedModel;
}

/** Settings of a {@link PrefixCache}. */
export interface PrefixCacheOptions {
  blockBytes: number;
  /** Blocks beyond this are evicted. */
  capacityBlocks: number;
  /** Receives events without their sequence numbers, which the feed gives. */
  onEvent: (event: UnnumberedEvent) => void;
}

/** A cache event before it is numbered. */
export type UnnumberedEvent = CacheEvent extends infer E
  ? E extends CacheEvent ? Omit<E, "seq"> : never
  : never;

const CONTINUATION_BITS = 0xc0;
const CONTINUATION = 0x80;

/** Blocks of prompts that were prefilled. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  /** In the order of last use, oldest first. */
  readonly #blocks = new Map<string, CacheBlock>();

  private constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /**
   * @param options Size, and who hears of changes.
   * @returns An empty cache.
   */
  static create(options: PrefixCacheOptions): PrefixCache {
    return new PrefixCache(options);
  }

  /** Blocks held. */
  get size(): number {
    return this.#blocks.size;
  }

  /** @returns All blocks, parents before their children. */
  list(): CacheBlock[] {
    return [...this.#blocks.values()].reverse();
  }

  /**
   * @param blockKey Key of a block.
   * @returns The block, if it is held.
   */
  get(blockKey: string): CacheBlock | undefined {
    return this.#blocks.get(blockKey);
  }

  /**
   * @param prompt The prompt's text.
   * @param scope Whose blocks it may use.
   * @returns The prompt's full blocks; the rest of the prompt is never cached.
   */
  split(prompt: string, scope: CacheScope): CacheBlock[] {
    const bytes = Buffer.from(prompt);
    const blocks: CacheBlock[] = [];
    let parentKey = "";
    let start = 0;
    while (start + this.#options.blockBytes <= bytes.length) {
      const end = characterBoundary(bytes, start + this.#options.blockBytes);
      const content = bytes.toString("utf8", start, end);
      const block = toBlock(parentKey, content, scope);
      blocks.push(block);
      parentKey = block.blockKey;
      start = end;
    }
    return blocks;
  }

  /**
   * Looks up a chain and marks what it finds as used.
   *
   * @param chain Blocks of a prompt.
   * @returns Bytes of the longest prefix that is cached.
   */
  match(chain: CacheBlock[]): number {
    let count = 0;
    let matchedBytes = 0;
    while (count < chain.length && this.#blocks.has(chain[count]!.blockKey)) {
      matchedBytes += Buffer.byteLength(chain[count]!.content);
      count++;
    }
    // Backwards, so that a parent is evicted after its children.
    for (let index = count - 1; index >= 0; index--) this.#touch(chain[index]!);
    return matchedBytes;
  }

  /**
   * Stores a chain whose prompt was prefilled.
   *
   * @param chain Blocks of a prompt.
   */
  store(chain: CacheBlock[]): void {
    const capacity = this.#options.capacityBlocks;
    const kept = chain.length > capacity ? chain.slice(0, capacity) : chain;
    const fresh = kept.filter(({ blockKey }) => !this.#blocks.has(blockKey));
    for (let index = kept.length - 1; index >= 0; index--) {
      this.#touch(kept[index]!);
    }
    for (const block of fresh) {
      this.#options.onEvent({ kind: "stored", ...block });
    }
    this.#evict();
  }

  /**
   * Takes over a block of another engine, unless its parent is missing.
   *
   * @param block The block.
   * @returns True when the cache holds it now.
   */
  import(block: CacheBlock): boolean {
    const { parentKey, content } = block;
    if (parentKey !== "" && !this.#blocks.has(parentKey)) return false;
    const own = toBlock(parentKey, content, block);
    if (own.blockKey !== block.blockKey) return false;
    if (this.#blocks.has(own.blockKey)) return true;
    this.#touchWithAncestors(own);
    this.#options.onEvent({ kind: "stored", ...own });
    this.#evict();
    return this.#blocks.has(own.blockKey);
  }

  /** Drops all blocks of models that are no longer served. */
  retain(isServed: (model: LoadedModel) => boolean): void {
    for (const block of [...this.#blocks.values()]) {
      if (!isServed(block.model)) this.#remove(block.blockKey);
    }
  }

  /** Drops all blocks without events, as a crash does. */
  clear(): void {
    this.#blocks.clear();
  }

  #touch(block: CacheBlock): void {
    this.#blocks.delete(block.blockKey);
    this.#blocks.set(block.blockKey, block);
  }

  #touchWithAncestors(block: CacheBlock): void {
    let next: CacheBlock | undefined = block;
    while (next) {
      this.#touch(next);
      next = this.#blocks.get(next.parentKey);
    }
  }

  #evict(): void {
    while (this.#blocks.size > this.#options.capacityBlocks) {
      const [oldest] = this.#blocks.keys();
      this.#remove(oldest!);
    }
  }

  #remove(blockKey: string): void {
    this.#blocks.delete(blockKey);
    this.#options.onEvent({ kind: "removed", blockKey });
  }
}

function toBlock(
  parentKey: string,
  content: string,
  scope: CacheScope,
): CacheBlock {
  const { cacheSalt, model } = scope;
  const root = parentKey === ""
    ? JSON.stringify([
      cacheSalt,
      model.model,
      model.adapter,
      model.weightsVersion,
    ])
    : parentKey;
  const blockKey = hash("sha1", `${root}\n${content}`, "base64url");
  return { blockKey, parentKey, cacheSalt, model, content };
}

/** The last end at or before `end` that splits no character. */
function characterBoundary(bytes: Buffer, end: number): number {
  let boundary = end;
  while (
    boundary < bytes.length &&
    (bytes[boundary]! & CONTINUATION_BITS) === CONTINUATION
  ) boundary--;
  return boundary;
}
