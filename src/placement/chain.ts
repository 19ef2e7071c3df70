/**
 * The prefix chain of a prompt: the prompt is cut into blocks of a fixed size, and each block is
 * hashed together with the key of the preceding block, so that equal keys mean equal prefixes.
 *
 * The first block is hashed with a seed derived from team, workspace, model, adapter and weights
 * version, so keys of different scopes are unrelated. Keys are SHA-256 digests truncated to 64
 * bits. A caller could search for collisions, so indexes of keys must be separate per scope, by
 * {@link scopeId}, which isn't truncated: collisions then affect only the caller's own scope.
 */
import { hash } from "node:crypto";
import type { ChainPoint } from "../wire/gen/cicadahitch.ts";

/** Size of a block. A block is up to 3 bytes shorter where it would split a UTF-8 character. */
export const CHAIN_BLOCK_BYTES = 256;
/** Estimated size of a token in UTF-8. */
export const BYTES_PER_TOKEN = 4;
/** Estimated tokens per block. */
export const CHAIN_BLOCK_TOKENS = CHAIN_BLOCK_BYTES / BYTES_PER_TOKEN;
/** Bound on the chain points that a request carries. */
export const MAX_POINTS = 8;
/** Number of the shallowest levels that the choice of candidates uses. */
export const MAX_PLACEMENT_LEVELS = 3;

const KEY_BYTES = 8;
const DIGEST = "sha256";
/** Hash input: the parent key, then the block. Shared by all calls, which are synchronous. */
const HASH_INPUT = Buffer.alloc(KEY_BYTES + CHAIN_BLOCK_BYTES);
const KEY_BUFFER = Buffer.alloc(KEY_BYTES);

/** Scope within which cached blocks may be shared. */
export interface ChainScope {
  team: string;
  workspace: string;
  model: string;
  adapter: string;
  weightsVersion: string;
}

/** The keys of a prompt's full blocks. */
export interface PrefixChain {
  /** `keys[i]` identifies the prefix of `i + 1` blocks. */
  keys: BigUint64Array;
  /** `ends[i]` is the byte offset of the end of block `i`. */
  ends: Uint32Array;
}

/**
 * @param scope Team, workspace, model, adapter and weights version.
 * @returns The scope's full digest in hex; indexes of keys are separate per scope id.
 */
export function scopeId(scope: ChainScope): string {
  return hash(DIGEST, scopeBytes(scope), "hex");
}

/**
 * @param scope Team, workspace, model, adapter and weights version.
 * @returns The parent key of the first block.
 */
export function chainSeed(scope: ChainScope): bigint {
  return hash(DIGEST, scopeBytes(scope), "buffer").readBigUInt64LE(0);
}

/**
 * @param team The team's name.
 * @param workspace The workspace's name.
 * @returns Salt that isolates the workspace's blocks in an engine's own cache.
 */
export function cacheSalt(team: string, workspace: string): string {
  return hash(DIGEST, lengthPrefixed([team, workspace]), "hex");
}

/**
 * @param parentKey Key of the preceding block, or the seed.
 * @param block The block's bytes, at most {@link CHAIN_BLOCK_BYTES}.
 * @returns The block's key.
 */
export function nextKey(parentKey: bigint, block: Uint8Array): bigint {
  HASH_INPUT.writeBigUInt64LE(parentKey, 0);
  return keyFromDigest(hashBlock(block, 0, block.length));
}

/**
 * Cuts a prompt into full blocks at character boundaries. A remainder shorter than a block is
 * omitted.
 *
 * @param prompt The prompt in UTF-8.
 * @returns Byte offsets of the ends of the blocks.
 */
export function blockEnds(prompt: Uint8Array): Uint32Array {
  const ends = new Uint32Array(
    Math.ceil(prompt.length / (CHAIN_BLOCK_BYTES - 3)),
  );
  let count = 0;
  for (
    let end = CHAIN_BLOCK_BYTES;
    end <= prompt.length;
    end += CHAIN_BLOCK_BYTES
  ) {
    end = characterStart(prompt, end);
    ends[count++] = end;
  }
  return ends.subarray(0, count);
}

/**
 * @param scope Scope within which the blocks may be shared.
 * @param prompt The rendered prompt in UTF-8.
 * @returns The keys and ends of its full blocks.
 */
export function promptChain(
  scope: ChainScope,
  prompt: Uint8Array,
): PrefixChain {
  const ends = blockEnds(prompt);
  const keys = new BigUint64Array(ends.length);
  HASH_INPUT.writeBigUInt64LE(chainSeed(scope), 0);
  let start = 0;
  for (let block = 0; block < ends.length; block++) {
    const end = ends[block]!;
    const digest = hashBlock(prompt, start, end);
    keys[block] = keyFromDigest(digest);
    HASH_INPUT.write(digest, 0, KEY_BYTES, "latin1");
    start = end;
  }
  return { keys, ends };
}

/**
 * Selects the points of a chain that are sent to agents. They are, in order of priority: the last
 * block, the shallow levels, which the choice of candidates uses, the deepest levels, at which
 * later turns of a conversation continue, and then the middle of the widest gap, repeatedly.
 *
 * @param chain The whole chain.
 * @param levels Lengths of the prefix levels in blocks, ascending.
 * @param maxPoints Bound on the number of points.
 * @returns Points in ascending order.
 */
export function selectPoints(
  chain: PrefixChain,
  levels: number[],
  maxPoints = MAX_POINTS,
): ChainPoint[] {
  const lastBlock = chain.keys.length;
  if (lastBlock === 0) return [];
  const chosen = new Set([lastBlock]);
  const shallow = levels.slice(0, MAX_PLACEMENT_LEVELS);
  const deep = levels.slice(MAX_PLACEMENT_LEVELS).reverse();
  for (const blocks of [...shallow, ...deep]) {
    if (chosen.size >= maxPoints) break;
    if (blocks > 0 && blocks <= lastBlock) chosen.add(blocks);
  }
  const sorted = splitWidestGaps([...chosen].sort((a, b) => a - b), maxPoints);
  return sorted.map((blocks) => ({ blocks, key: chain.keys[blocks - 1]! }));
}

/**
 * @param points Points of a chain, ascending.
 * @param has Whether the prefix with a key is cached.
 * @returns Length in blocks of the longest cached prefix, 0 if none is.
 */
export function matchedBlocks(
  points: ChainPoint[],
  has: (key: bigint) => boolean,
): number {
  for (let i = points.length - 1; i >= 0; i--) {
    const point = points[i]!;
    if (has(point.key)) return point.blocks;
  }
  return 0;
}

/**
 * @param textBytes Size of a text in UTF-8.
 * @returns Estimated number of tokens.
 */
export function estimateTokens(textBytes: number): number {
  return Math.ceil(textBytes / BYTES_PER_TOKEN);
}

/**
 * Hashes the parent key in {@link HASH_INPUT} together with a block. Returns the digest as a latin1
 * string, which takes less than half the time of a buffer.
 */
function hashBlock(bytes: Uint8Array, start: number, end: number): string {
  const length = end - start;
  if (length > CHAIN_BLOCK_BYTES) throw new RangeError("Block too long");
  HASH_INPUT.set(bytes.subarray(start, end), KEY_BYTES);
  return hash(DIGEST, HASH_INPUT.subarray(0, KEY_BYTES + length), "binary");
}

function keyFromDigest(digest: string): bigint {
  KEY_BUFFER.write(digest, 0, KEY_BYTES, "latin1");
  return KEY_BUFFER.readBigUInt64LE(0);
}

function scopeBytes(scope: ChainScope): Buffer {
  const { team, workspace, model, adapter, weightsVersion } = scope;
  return lengthPrefixed([team, workspace, model, adapter, weightsVersion]);
}

function lengthPrefixed(fields: string[]): Buffer {
  const parts: Buffer[] = [];
  for (const field of fields) {
    const text = Buffer.from(field, "utf8");
    const size = Buffer.allocUnsafe(4);
    size.writeUInt32LE(text.length, 0);
    parts.push(size, text);
  }
  return Buffer.concat(parts);
}

/** Returns the start of the UTF-8 character that contains the byte at `offset`. */
function characterStart(prompt: Uint8Array, offset: number): number {
  let start = offset;
  while (offset - start < 3 && isContinuation(prompt[start])) start--;
  return start;
}

function isContinuation(byte: number | undefined): boolean {
  return byte !== undefined && (byte & 0xc0) === 0x80;
}

/** Adds the middle of the widest gap until there are `maxPoints` points or no gap is left. */
function splitWidestGaps(sorted: number[], maxPoints: number): number[] {
  while (sorted.length < maxPoints) {
    let widestGap = 1;
    let widestIndex = -1;
    for (let i = 0; i < sorted.length; i++) {
      const gap = sorted[i]! - (sorted[i - 1] ?? 0);
      if (gap <= widestGap) continue;
      widestGap = gap;
      widestIndex = i;
    }
    if (widestIndex < 0) break;
    const previous = sorted[widestIndex - 1] ?? 0;
    sorted.splice(widestIndex, 0, previous + (widestGap >> 1));
  }
  return sorted;
}
