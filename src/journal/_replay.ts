/** Rebuilds the claims of a shard from its stored segments. */
import { err, ok, type Result } from "true-myth/result";
import type { KeyValueEntry } from "../store/store.ts";
import type { ClaimRecord, Segment, UnreadableRecord } from "./_records.ts";
import { decodeSegment } from "./_records.ts";
import {
  type ClaimEntry,
  createForeignEntry,
  digestToKey,
} from "./_claim_entry.ts";
import type { StoredSegment } from "./_shard.ts";

/** The segments and claims of a shard, in journal order. */
export interface Replay {
  segments: StoredSegment[];
  claims: ClaimEntry[];
}

/**
 * @param listed The stored segments of the shard, oldest first.
 * @param ownClaims Claims of this process by run id. Their in-memory entries are reused, since they
 * hold state that the journal lacks; their positions in the journal are updated.
 * @returns The claims with their ends, or an error if a segment can't be decoded.
 */
export function replaySegments(
  listed: KeyValueEntry[],
  ownClaims: ReadonlyMap<string, ClaimEntry>,
): Result<Replay, UnreadableRecord> {
  const segments: StoredSegment[] = [];
  const records: Segment[] = [];
  for (const { key, value } of listed) {
    const decoded = decodeSegment(value);
    if (decoded.isErr) return err(decoded.error);
    segments.push({ number: segmentNumber(key), claims: [] });
    records.push(decoded.value);
  }
  for (const entry of ownClaims.values()) entry.segment = 0;
  records.forEach((record, index) => {
    const segment = segments[index]!;
    segment.claims = record.claims.map((claim, index) => {
      const entry = findOwnEntry(record, claim, ownClaims) ??
        createEntry(record, claim);
      entry.segment = segment.number;
      entry.index = index;
      entry.expiresJournalMs = record.journalMs + entry.windowMs;
      return entry;
    });
  });
  applyEnds(records, segments);
  return ok({ segments, claims: segments.flatMap(({ claims }) => claims) });
}

function findOwnEntry(
  record: Segment,
  claim: ClaimRecord,
  ownClaims: ReadonlyMap<string, ClaimEntry>,
): ClaimEntry | undefined {
  const entry = ownClaims.get(claim.runId);
  if (entry?.key !== digestToKey(claim.keyDigest)) return undefined;
  const { address, agentIncarnation } = entry.claimant;
  const isOwn = record.agentIncarnation === agentIncarnation &&
    record.address === address;
  return isOwn ? entry : undefined;
}

function createEntry(record: Segment, claim: ClaimRecord): ClaimEntry {
  const { address, agentIncarnation, retryWindowMs } = record;
  const { keyDigest, fingerprint, runId } = claim;
  const claimant = { address, agentIncarnation, runId };
  return createForeignEntry({
    keyDigest,
    fingerprint,
    claimant,
    windowMs: retryWindowMs,
  });
}

function applyEnds(records: Segment[], segments: StoredSegment[]): void {
  const byNumber = new Map(
    segments.map((segment) => [segment.number, segment]),
  );
  for (const record of records) {
    for (const { segment, index, end } of record.ends) {
      // The segment of the claim may be deleted already: segments are deleted oldest first.
      const entry = byNumber.get(segment)?.claims[index];
      if (!entry) continue;
      entry.end ??= end;
      entry.isEndWritten = true;
      entry.expiresJournalMs = record.journalMs + entry.windowMs;
    }
  }
}

function segmentNumber(key: string): number {
  return Number(key.slice(key.lastIndexOf("/") + 1));
}
