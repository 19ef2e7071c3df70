/** Keys of a shard in the store. */

/** Identifies a shard of a team's service. */
export interface ShardId {
  team: string;
  service: string;
  shard: number;
}

const ROOT = "/cicadahitch/journal";
const SEGMENT_DIGITS = 10;

/**
 * @param id The shard.
 * @returns The prefix of all its keys in the store.
 */
export function shardPrefix({ team, service, shard }: ShardId): string {
  return `${ROOT}/${team}/${service}/${shard}/`;
}

/**
 * @param id The shard.
 * @returns The key of its head.
 */
export function headKey(id: ShardId): string {
  return `${shardPrefix(id)}head`;
}

/**
 * @param id The shard.
 * @param segment The segment's number.
 * @returns The key of the segment; zero-padded, so that keys sort by segment number.
 */
export function segmentKey(id: ShardId, segment: number): string {
  const padded = String(segment).padStart(SEGMENT_DIGITS, "0");
  return `${shardPrefix(id)}seg/${padded}`;
}
