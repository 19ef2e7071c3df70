/**
 * Stores of cached prompts, which engines save to and copy from. Each prompt has one store, which
 * every entry computes alike, so that the room and the link of all of them are used.
 */
import { textHash } from "../placement/rendezvous.ts";
import type { CacheBook, Chain } from "./cache_book.ts";

/** A store of cached prompts, and what it is expected to hold. */
export interface PromptStore {
  address: string;
  zone: string;
  cache: CacheBook;
  /** Time to copy a token from it within its zone. */
  copyMsPerToken: number;
}

/**
 * @param stores Stores in force.
 * @param chain A prompt as engines keep it.
 * @returns The store of its shared parts, by rendezvous hashing: if a store goes, only its own
 *   prompts get another.
 */
export function storeOf(
  stores: readonly PromptStore[],
  { salt, parts }: Chain,
): PromptStore | undefined {
  if (stores.length < 2) return stores[0];
  // The last part belongs to the request alone.
  const shared = parts.at(-2)?.id ?? "";
  let best: { store: PromptStore; score: number } | undefined;
  for (const store of stores) {
    const score = textHash(`${store.address}/${salt}/${shared}`);
    if (!best || score > best.score) best = { store, score };
  }
  return best?.store;
}
