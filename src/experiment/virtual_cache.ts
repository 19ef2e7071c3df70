/**
 * The prefix cache of a virtual engine, with the least recently used block evicted first, and its
 * feed of events, which is late and has gaps.
 */
import type { Clock } from "../base/mod.ts";
import { cacheSalt } from "../placement/mod.ts";
import type { CacheEvent, LoadedModel } from "../backends/engine.ts";
import type { Random } from "./random.ts";
import type { RequestPlan } from "./workload.ts";

const FEED_LAG_MS = 50;
/** Share of cache events that are lost. */
const LOST_SHARE = 0.0005;

/** Settings of a {@link VirtualCache}. */
export interface VirtualCacheOptions {
  model: LoadedModel;
  cacheBlocks: number;
  clock: Clock;
  random: Random;
}

interface CachedBlock {
  parentKey: string;
  content: string;
  salt: string;
}

type Stored = Extract<CacheEvent, { kind: "stored" }>;

/** Cached blocks by the keys of their chains. */
export class VirtualCache {
  /** Number of the next event. */
  nextSeq = 1;
  readonly #options: VirtualCacheOptions;
  /** In the order of last use, oldest first. */
  readonly #blocks = new Map<bigint, CachedBlock>();
  readonly #salts = new Map<string, string>();
  #events: { atMs: number; event: CacheEvent }[] = [];

  private constructor(options: VirtualCacheOptions) {
    this.#options = options;
  }

  /**
   * @param options Size and surroundings.
   * @returns An empty cache.
   */
  static create(options: VirtualCacheOptions): VirtualCache {
    return new VirtualCache(options);
  }

  /**
   * @param keys A prompt's keys.
   * @returns Blocks of its longest prefix that is cached.
   */
  count(keys: BigUint64Array): number {
    let count = 0;
    while (count < keys.length && this.#blocks.has(keys[count]!)) count++;
    return count;
  }

  /** Loses everything, without events. */
  clear(): void {
    this.#blocks.clear();
    this.#events = [];
    this.nextSeq = 1;
  }

  /** @returns All blocks, parents first. */
  snapshot(): CacheEvent[] {
    return [...this.#blocks].reverse().map(([key, block]) =>
      this.#stored(key, block)
    );
  }

  /** @returns Events from a number on that have reached the reader by now. */
  take(fromSeq: number): CacheEvent[] {
    const untilMs = this.#options.clock.nowMs() - FEED_LAG_MS;
    const due = this.#events.filter(({ atMs }) => atMs <= untilMs);
    this.#events = this.#events.slice(due.length);
    return due.map(({ event }) => event).filter(({ seq }) => seq >= fromSeq);
  }

  /** Caches a whole prompt. */
  store({ prompt, scope }: RequestPlan): void {
    const { keys, contents } = prompt;
    const salt = this.#saltOf(scope);
    for (let i = 0; i < keys.length; i++) {
      if (this.#blocks.has(keys[i]!)) continue;
      const parentKey = i === 0 ? "" : String(keys[i - 1]);
      const block = { parentKey, content: contents[i]!, salt };
      this.#blocks.set(keys[i]!, block);
      this.#publish(this.#stored(keys[i]!, block));
    }
    this.touch(keys, keys.length);
    this.#evict();
  }

  /** Counts as a use. Backwards, so that parents outlive their children. */
  touch(keys: BigUint64Array, count: number): void {
    for (let i = count - 1; i >= 0; i--) {
      const block = this.#blocks.get(keys[i]!);
      if (!block) continue;
      this.#blocks.delete(keys[i]!);
      this.#blocks.set(keys[i]!, block);
    }
  }

  #evict(): void {
    for (const key of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#options.cacheBlocks) break;
      this.#blocks.delete(key);
      this.#publish({ kind: "removed", seq: 0, blockKey: String(key) });
    }
  }

  #stored(key: bigint, { parentKey, content, salt }: CachedBlock): Stored {
    return {
      kind: "stored",
      seq: 0,
      blockKey: String(key),
      parentKey,
      cacheSalt: salt,
      model: this.#options.model,
      content,
    };
  }

  #publish(event: CacheEvent): void {
    const seq = this.nextSeq++;
    if (this.#options.random.next() < LOST_SHARE) return;
    this.#events.push({
      atMs: this.#options.clock.nowMs(),
      event: { ...event, seq },
    });
  }

  #saltOf({ team, workspace }: RequestPlan["scope"]): string {
    const name = `${team}/${workspace}`;
    const salt = this.#salts.get(name) ?? cacheSalt(team, workspace);
    this.#salts.set(name, salt);
    return salt;
  }
}
