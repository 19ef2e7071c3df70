/** Maps idempotency keys to digests and shards. */
import { createHash } from "node:crypto";

/**
 * Number of shards of each service. All processes must use the same number: if a key's shard
 * changes, its earlier claims are not found any more.
 */
export const SHARD_COUNT = 16;

/** An idempotency key and the scope in which it is unique. */
export interface KeyScope {
  team: string;
  workspace: string;
  service: string;
  /** The idempotency key that the caller sent. */
  idempotencyKey: string;
}

const DIGEST_BYTES = 16;

/**
 * @param scope The key and its scope.
 * @returns A digest of 16 bytes, long enough to make collisions negligible.
 */
export function digestKey(scope: KeyScope): Uint8Array {
  const { team, workspace, service, idempotencyKey } = scope;
  const parts = JSON.stringify([team, workspace, service, idempotencyKey]);
  const hash = createHash("sha256").update(parts).digest();
  return new Uint8Array(hash.subarray(0, DIGEST_BYTES));
}

/**
 * Returns the shard of a key. Entries choose the agent by rendezvous hashing of the shard, not the
 * key, so that each shard has one owner at a time.
 *
 * @param keyDigest See {@link digestKey}.
 * @returns 0 to {@link SHARD_COUNT} - 1.
 */
export function shardOf(keyDigest: Uint8Array): number {
  const high = keyDigest[0] ?? 0;
  const low = keyDigest[1] ?? 0;
  return (high * 256 + low) % SHARD_COUNT;
}
