/**
 * Stores of cached prompts, from which engines copy and to which they save. All entries assign a
 * prompt to the same store, which spreads the prompts over the capacity and bandwidth of all
 * stores.
 */
import { textHash } from "../placement/rendezvous.ts";
import type { Chain, ExpectedCache } from "./expected_cache.ts";

/** A store of cached prompts and its expected contents. */
export interface PromptStore {
  address: string;
  zone: string;
  cache: ExpectedCache;
  /** Time per token to copy from the store within its zone. */
  copyMsPerToken: number;
}

/**
 * Assigns a prompt to a store by rendezvous hashing of its shared parts: if a store is removed,
 * only the prompts assigned to it move.
 *
 * @param stores Configured stores.
 * @param chain Parts of the prompt.
 * @returns The store; undefined if there are none.
 */
export function selectStore(
  stores: readonly PromptStore[],
  { salt, parts }: Chain,
): PromptStore | undefined {
  if (stores.length < 2) return stores[0];
  // The last part is specific to the request.
  const shared = parts.at(-2)?.id ?? "";
  let best: { store: PromptStore; score: number } | undefined;
  for (const store of stores) {
    const score = textHash(`${store.address}/${salt}/${shared}`);
    if (!best || score > best.score) best = { store, score };
  }
  return best?.store;
}
