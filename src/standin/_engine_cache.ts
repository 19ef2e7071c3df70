/** Prefix cache of the stand-in engine: chained prompt blocks with least-recently-used eviction. */
import { hash } from "node:crypto";
import type { CacheEvent, LoadedModel } from "../backends/mod.ts";

/** One block of a cached prompt, chained to the block before it. */
export interface CacheBlock {
  blockKey: string;
  /** Key of the preceding block; empty for the first block of a prompt. */
  parentKey: string;
  cacheSalt: string;
  model: LoadedModel;
  content: string;
}

/** Cache partition: only prompts with the same salt and model share blocks. */
export interface CacheScope {
  cacheSalt: string;
  model: LoadedModel;
}

/** Settings of a {@link PrefixCache}. */
export interface PrefixCacheOptions {
  blockBytes: number;
  /** Maximum number of blocks; the least recently used ones are evicted beyond it. */
  capacityBlocks: number;
  /** Called on each stored or removed block; the event feed adds the sequence number. */
  onEvent: (event: UnnumberedEvent) => void;
}

/** A cache event without its sequence number. */
export type UnnumberedEvent = CacheEvent extends infer E
  ? E extends CacheEvent ? Omit<E, "seq"> : never
  : never;

const UTF8_LEAD_MASK = 0xc0;
const UTF8_CONTINUATION = 0x80;

/** Holds the blocks of prefilled prompts. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  /** Blocks by key, in the order of last use, least recent first. */
  readonly #blocks = new Map<string, CacheBlock>();

  private constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /**
   * @param options Block size, capacity and event callback.
   * @returns An empty cache.
   */
  static create(options: PrefixCacheOptions): PrefixCache {
    return new PrefixCache(options);
  }

  /** Number of cached blocks. */
  get size(): number {
    return this.#blocks.size;
  }

  /** @returns All blocks, parents before their children. */
  list(): CacheBlock[] {
    return [...this.#blocks.values()].reverse();
  }

  /**
   * @param blockKey Key of a block.
   * @returns The block, or undefined if it is not cached.
   */
  get(blockKey: string): CacheBlock | undefined {
    return this.#blocks.get(blockKey);
  }

  /**
   * Splits a prompt into its chain of blocks.
   *
   * @param prompt Text of the prompt.
   * @param scope Salt and model that the block keys depend on.
   * @returns Full blocks only; a partial block at the end is never cached.
   */
  split(prompt: string, scope: CacheScope): CacheBlock[] {
    const bytes = Buffer.from(prompt);
    const blocks: CacheBlock[] = [];
    let parentKey = "";
    let start = 0;
    while (start + this.#options.blockBytes <= bytes.length) {
      const end = lastCharacterBoundary(
        bytes,
        start + this.#options.blockBytes,
      );
      const content = bytes.toString("utf8", start, end);
      const block = toBlock(parentKey, content, scope);
      blocks.push(block);
      parentKey = block.blockKey;
      start = end;
    }
    return blocks;
  }

  /**
   * Finds the longest cached prefix of a chain and marks its blocks as used.
   *
   * @param chain Blocks of a prompt.
   * @returns Length of the cached prefix in bytes.
   */
  match(chain: CacheBlock[]): number {
    let count = 0;
    let matchedBytes = 0;
    while (count < chain.length && this.#blocks.has(chain[count]!.blockKey)) {
      matchedBytes += Buffer.byteLength(chain[count]!.content);
      count++;
    }
    // Last block first, so that children are evicted before their parent.
    for (let index = count - 1; index >= 0; index--) this.#touch(chain[index]!);
    return matchedBytes;
  }

  /**
   * Stores the chain of a prefilled prompt, up to the capacity.
   *
   * @param chain Blocks of a prompt.
   */
  store(chain: CacheBlock[]): void {
    const capacity = this.#options.capacityBlocks;
    const kept = chain.length > capacity ? chain.slice(0, capacity) : chain;
    const newBlocks = kept.filter(({ blockKey }) =>
      !this.#blocks.has(blockKey)
    );
    for (let index = kept.length - 1; index >= 0; index--) {
      this.#touch(kept[index]!);
    }
    for (const block of newBlocks) {
      this.#options.onEvent({ kind: "stored", ...block });
    }
    this.#evict();
  }

  /**
   * Imports a block of another engine. A block is rejected if its parent is missing or its key does
   * not match its content.
   *
   * @param block Block exported by the other engine.
   * @returns Whether the block is cached afterwards.
   */
  import(block: CacheBlock): boolean {
    const { parentKey, content } = block;
    if (parentKey !== "" && !this.#blocks.has(parentKey)) return false;
    const recomputed = toBlock(parentKey, content, block);
    if (recomputed.blockKey !== block.blockKey) return false;
    if (this.#blocks.has(recomputed.blockKey)) return true;
    this.#touchWithAncestors(recomputed);
    this.#options.onEvent({ kind: "stored", ...recomputed });
    this.#evict();
    return this.#blocks.has(recomputed.blockKey);
  }

  /** Removes all blocks of models that are no longer served. */
  retain(isServed: (model: LoadedModel) => boolean): void {
    for (const block of [...this.#blocks.values()]) {
      if (!isServed(block.model)) this.#remove(block.blockKey);
    }
  }

  /** Simulates a crash: drops all blocks without publishing events. */
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

/** @returns The last position at or before `end` that does not split a UTF-8 character. */
function lastCharacterBoundary(bytes: Buffer, end: number): number {
  let boundary = end;
  while (
    boundary < bytes.length &&
    (bytes[boundary]! & UTF8_LEAD_MASK) === UTF8_CONTINUATION
  ) boundary--;
  return boundary;
}
