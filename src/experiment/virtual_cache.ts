/**
 * Simulates an engine's prefix cache with least-recently-used eviction. Its event feed delivers
 * events late and loses some of them.
 */
import type { Clock } from "../base/mod.ts";
import { cacheSalt } from "../placement/mod.ts";
import type { CacheEvent, LoadedModel } from "../backends/engine.ts";
import type { Random } from "./random.ts";
import type { RequestPlan } from "./workload.ts";

const EVENT_DELAY_MS = 50;
/** Share of cache events that are never delivered. */
const EVENT_LOSS_RATE = 0.0005;

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

type StoredEvent = Extract<CacheEvent, { kind: "stored" }>;

/** Stores cached blocks by their chain keys. */
export class VirtualCache {
  /** Sequence number of the next event. */
  nextSeq = 1;
  readonly #options: VirtualCacheOptions;
  /** Blocks ordered by last use, least recently used first. */
  readonly #blocks = new Map<bigint, CachedBlock>();
  readonly #salts = new Map<string, string>();
  #events: { atMs: number; event: CacheEvent }[] = [];

  private constructor(options: VirtualCacheOptions) {
    this.#options = options;
  }

  /**
   * @param options Size and simulated environment.
   * @returns An empty cache.
   */
  static create(options: VirtualCacheOptions): VirtualCache {
    return new VirtualCache(options);
  }

  /**
   * @param keys The block keys of a prompt.
   * @returns The number of blocks in the prompt's longest cached prefix.
   */
  countCachedPrefix(keys: BigUint64Array): number {
    let count = 0;
    while (count < keys.length && this.#blocks.has(keys[count]!)) count++;
    return count;
  }

  /** Removes all blocks and pending events and resets the sequence, without publishing events. */
  clear(): void {
    this.#blocks.clear();
    this.#events = [];
    this.nextSeq = 1;
  }

  /** @returns A stored event for each block, parents before their children. */
  snapshot(): CacheEvent[] {
    return [...this.#blocks].reverse().map(([key, block]) =>
      this.#storedEvent(key, block)
    );
  }

  /**
   * Removes the events that are due by now.
   *
   * @param fromSeq The lowest sequence number to return.
   * @returns The due events from that sequence number on.
   */
  takeEvents(fromSeq: number): CacheEvent[] {
    const untilMs = this.#options.clock.nowMs() - EVENT_DELAY_MS;
    const due = this.#events.filter(({ atMs }) => atMs <= untilMs);
    this.#events = this.#events.slice(due.length);
    return due.map(({ event }) => event).filter(({ seq }) => seq >= fromSeq);
  }

  /** Caches all blocks of a prompt; evicts the least recently used blocks above the capacity. */
  store({ prompt, scope }: RequestPlan): void {
    const { keys, contents } = prompt;
    const salt = this.#saltOf(scope);
    for (let i = 0; i < keys.length; i++) {
      if (this.#blocks.has(keys[i]!)) continue;
      const parentKey = i === 0 ? "" : String(keys[i - 1]);
      const block = { parentKey, content: contents[i]!, salt };
      this.#blocks.set(keys[i]!, block);
      this.#publish(this.#storedEvent(keys[i]!, block));
    }
    this.touch(keys, keys.length);
    this.#evict();
  }

  /** Marks blocks as used; iterates backwards, so that children are evicted before parents. */
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

  #storedEvent(
    key: bigint,
    { parentKey, content, salt }: CachedBlock,
  ): StoredEvent {
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
    if (this.#options.random.next() < EVENT_LOSS_RATE) return;
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
