/**
 * Format of a team's values in the key-value service: an envelope around the branch that names the
 * writer and lets a writer recognise its own write.
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { z } from "zod";

/** Key prefix of the current team branches. */
export const TEAMS_PREFIX = "/cicadahitch/teams/";
/** Key prefix of the version history. */
export const HISTORY_PREFIX = "/cicadahitch/history/";
/** Maximum size of a stored value; the key-value service accepts up to a megabyte. */
export const MAX_STORED_BYTES = 900_000;

const HISTORY_NUMBER_DIGITS = 12;
const HEAD_SUFFIX = "head";
const ENCODER = new TextEncoder();
const DECODER = new TextDecoder();

const WRITE_METADATA = z.looseObject({
  /** Unique id chosen by the writer, to recognise its own write if the store's answer was lost. */
  writeId: z.string().min(1),
  /** Name of the writer, as the writer itself reports it; not verified. */
  writer: z.string(),
  writtenAtMs: z.int().min(0),
  /** Sequence number of the write within the team, starting at 1; deletions count as writes. */
  number: z.int().min(1),
});

const STORED_BRANCH = WRITE_METADATA.extend({ branch: z.unknown().optional() });

/** Metadata of a write: the writer, the time, and its position in the team's history. */
export interface WriteMetadata {
  writeId: string;
  writer: string;
  writtenAtMs: number;
  number: number;
}

/** A team's value in the store. Unknown fields of newer software versions are preserved. */
export interface StoredBranch extends WriteMetadata {
  /** The branch as written, not validated; undefined for a deletion in the history. */
  branch?: unknown;
}

/** A stored value that is not a valid envelope. */
export interface UnreadableValue {
  kind: "unreadable";
  message: string;
}

/** @returns The key of a team's current branch. */
export function teamKey(team: string): string {
  return TEAMS_PREFIX + team;
}

/** @returns The key prefix of a team's history. */
export function historyPrefix(team: string): string {
  return `${HISTORY_PREFIX}${team}/`;
}

/** @returns The history key of a team's write with this sequence number. */
export function historyKey(team: string, number: number): string {
  return historyPrefix(team) +
    String(number).padStart(HISTORY_NUMBER_DIGITS, "0");
}

/** @returns The key that every write to the team updates, including deletions. */
export function headKey(team: string): string {
  return historyPrefix(team) + HEAD_SUFFIX;
}

/** @returns The team that a key of a current branch belongs to. */
export function teamOfKey(key: string): string {
  return key.slice(TEAMS_PREFIX.length);
}

/** @returns Whether a history key is the head key rather than the key of a version. */
export function isHeadKey(key: string): boolean {
  return key.endsWith(`/${HEAD_SUFFIX}`);
}

/** @returns The encoded value for the store. */
export function encodeStored(stored: StoredBranch): Uint8Array {
  return ENCODER.encode(JSON.stringify(stored));
}

/**
 * Encodes a branch as the first write to its team; for tests and for filling a store manually.
 *
 * @param branch The branch, not validated.
 * @param metadata Fields that differ from the defaults.
 * @returns The encoded value for the store.
 */
export function encodeBranch(
  branch: unknown,
  metadata: Partial<WriteMetadata> = {},
): Uint8Array {
  return encodeStored({
    writeId: randomUUID(),
    writer: "",
    writtenAtMs: 0,
    number: 1,
    ...metadata,
    branch,
  });
}

/**
 * @param value A stored value.
 * @returns The decoded envelope, or why it can't be read.
 */
export function decodeStored(
  value: Uint8Array,
): Result<StoredBranch, UnreadableValue> {
  let json: unknown;
  try {
    json = JSON.parse(DECODER.decode(value));
  } catch (error) {
    return Result.err({ kind: "unreadable", message: String(error) });
  }
  const parsed = STORED_BRANCH.safeParse(json);
  if (parsed.success) return Result.ok(parsed.data);
  const message = z.prettifyError(parsed.error);
  return Result.err({ kind: "unreadable", message });
}
