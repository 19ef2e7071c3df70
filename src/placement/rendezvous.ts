/**
 * Rendezvous (highest random weight) hashing. Server ids are hashed once in advance, so that a
 * selection only has to mix these hashes with the key.
 */
import { hash } from "node:crypto";

/**
 * @param text A text, for instance a server's id.
 * @returns A 32-bit hash.
 */
export function textHash(text: string): number {
  return hash("sha256", text, "buffer").readUInt32LE(0);
}

/**
 * @param value A 32-bit hash.
 * @param salt A 32-bit value to mix into it.
 * @returns A 32-bit hash.
 */
export function mixHash(value: number, salt: number): number {
  let hash32 = (value ^ salt) >>> 0;
  hash32 = Math.imul(hash32 ^ (hash32 >>> 16), 0x85ebca6b);
  hash32 = Math.imul(hash32 ^ (hash32 >>> 13), 0xc2b2ae35);
  return (hash32 ^ (hash32 >>> 16)) >>> 0;
}

/**
 * Returns the rows with the highest scores for a key.
 *
 * @param idHashes Hash of each row's id.
 * @param key The key to place.
 * @param options The eligible rows, and how many to return.
 * @returns At most `count` rows, best first. A smaller count returns the first rows of a larger
 * one.
 */
export function topRows(
  idHashes: Uint32Array,
  key: bigint,
  options: TopRowsOptions,
): number[] {
  const { count, rows, skip } = options;
  const low = Number(key & 0xffffffffn);
  const high = Number(key >> 32n);
  const best: number[] = [];
  const scores: number[] = [];
  const size = rows ? rows.length : idHashes.length;
  for (let i = 0; i < size; i++) {
    const row = rows ? rows[i]! : i;
    const score = mixHash(mixHash(idHashes[row]!, low), high);
    if (best.length === count && score <= scores[count - 1]!) continue;
    if (skip?.has(row)) continue;
    insertSorted(best, scores, { row, score, count });
  }
  return best;
}

/** Options of {@link topRows}. */
export interface TopRowsOptions {
  count: number;
  /** Rows to choose from; default: all. */
  rows?: readonly number[];
  /** Rows to leave out. */
  skip?: ReadonlySet<number>;
}

interface ScoredRow {
  row: number;
  score: number;
  count: number;
}

function insertSorted(
  best: number[],
  scores: number[],
  scored: ScoredRow,
): void {
  const { row, score, count } = scored;
  let index = best.length;
  while (index > 0 && scores[index - 1]! < score) index--;
  best.splice(index, 0, row);
  scores.splice(index, 0, score);
  if (best.length <= count) return;
  best.pop();
  scores.pop();
}
