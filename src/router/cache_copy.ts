/** Finds the best server or store from which an engine can copy the cached prefix of a prompt. */
import type { Server } from "./server.ts";

/** Copies between zones take this many times as long. */
const CROSS_ZONE_COPY_FACTOR = 2;
/** Fixed setup time of a cache copy. */
const COPY_SETUP_MS = 7;
/** Shorter copies are not worth their setup time. */
export const COPY_MIN_TOKENS = 48;

/** A server or store that has a prefix of the prompt cached. */
export interface CopySource {
  /** Undefined for a store. */
  server?: Server;
  address: string;
  zone: string;
  /** Expected length of the cached prefix. */
  tokens: number;
  copyMsPerToken: number;
}

/** A copy of cached tokens to a server. */
export interface Copy {
  address: string;
  /** Length of the cached prefix on the server after the copy. */
  tokens: number;
  copyMs: number;
}

/** Servers and the store that have a prefix of the prompt cached. */
export interface CopySources {
  /** Servers from which the prompt may be copied. */
  sources: CopySource[];
  stored?: CopySource;
}

/**
 * Finds the server or store with the longest cached prefix.
 *
 * @param sources Servers and the store that have a prefix cached, for the same weights version.
 * @param server Server to copy to.
 * @param cached Tokens that the server has cached already.
 * @returns The best copy; undefined if none is worth its time.
 */
export function findBestCopy(
  { sources, stored }: CopySources,
  server: Server,
  cached: number,
): Copy | undefined {
  let best: Copy | undefined;
  for (const source of sources) {
    if (source.server === server) continue;
    const copy = estimateCopy(source, server, cached);
    if (copy && (!best || isBetterCopy(copy, best))) best = copy;
  }
  const copy = stored && estimateCopy(stored, server, cached);
  if (copy && (!best || copy.tokens >= best.tokens)) return copy;
  // Otherwise name the store as a fallback, at no cost: the server may have evicted parts that it
  // is expected to hold.
  return best ?? (stored && {
    address: stored.address,
    tokens: Math.max(stored.tokens, cached),
    copyMs: 0,
  });
}

function estimateCopy(
  source: CopySource,
  { entry }: Server,
  cached: number,
): Copy | undefined {
  const { address, zone, tokens, copyMsPerToken } = source;
  if (tokens < cached + COPY_MIN_TOKENS) return undefined;
  const factor = zone === entry.zone ? 1 : CROSS_ZONE_COPY_FACTOR;
  const copyMs = COPY_SETUP_MS + (tokens - cached) * copyMsPerToken * factor;
  return { address, tokens, copyMs };
}

function isBetterCopy(copy: Copy, other: Copy): boolean {
  if (copy.tokens !== other.tokens) return copy.tokens > other.tokens;
  return copy.copyMs < other.copyMs;
}
