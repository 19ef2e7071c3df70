/** Records that the journal keeps in the store, and their encoding. */
import { BinaryReader, BinaryWriter } from "@bufbuild/protobuf/wire";
import { err, ok, type Result } from "true-myth/result";
import type { ClaimEnd } from "./claims_journal.ts";

/**
 * Metadata record of a shard; each commit to the shard expects the revision of the head. Times
 * named `journal…` are on the shard's journal clock. This clock advances with the owner's monotonic
 * clock and stands still between an owner's last commit and the takeover by its successor. It never
 * runs faster than real time, so that claims never expire early, even if wall clocks are wrong.
 */
export interface Head {
  address: string;
  agentIncarnation: string;
  /** Incremented by each takeover. */
  epoch: number;
  /** Number of the commit in the epoch; identifies the commit, with incarnation and epoch. */
  commitNumber: number;
  oldestSegment: number;
  nextSegment: number;
  journalMs: number;
  /** How long after its last confirmed commit the owner may grant claims from memory; 0: never. */
  maxMemoryGrantMs: number;
  /** Longest retry window of all claims in the shard. */
  retryWindowMs: number;
  /** End of the quarantine, during which unknown keys may have been granted without the journal. */
  quarantineUntilJournalMs: number;
  /** True if the owner has released the shard and grants no more claims. */
  released: boolean;
}

/** A stored claim, identified by the number of its segment and its index in the segment. */
export interface ClaimRecord {
  keyDigest: Uint8Array;
  fingerprint: Uint8Array;
  runId: string;
}

/** The outcome of the claim at `index` of a segment. */
export interface EndRecord {
  segment: number;
  index: number;
  end: ClaimEnd;
}

/** An immutable batch of records, written by one commit. */
export interface Segment {
  address: string;
  agentIncarnation: string;
  journalMs: number;
  /** Wall-clock time of the commit; only for humans who inspect the store. */
  wallMs: number;
  retryWindowMs: number;
  claims: ClaimRecord[];
  ends: EndRecord[];
}

/** Error for a stored record that this version can't decode. */
export interface UnreadableRecord {
  kind: "unreadable";
  message: string;
}

const FORMAT = 1;
const END_KINDS = ["done", "failed", "not_run"] as const;

/**
 * @param head The head to encode.
 * @returns The encoded value for the store.
 */
export function encodeHead(head: Head): Uint8Array {
  return new BinaryWriter()
    .uint32(FORMAT)
    .string(head.address)
    .string(head.agentIncarnation)
    .uint32(head.epoch)
    .uint32(head.commitNumber)
    .uint32(head.oldestSegment)
    .uint32(head.nextSegment)
    .double(head.journalMs)
    .double(head.maxMemoryGrantMs)
    .double(head.retryWindowMs)
    .double(head.quarantineUntilJournalMs)
    .bool(head.released)
    .finish();
}

/**
 * @param value An encoded head from the store.
 * @returns The head, or an error if this version can't decode it.
 */
export function decodeHead(value: Uint8Array): Result<Head, UnreadableRecord> {
  return decode(value, (reader) => ({
    address: reader.string(),
    agentIncarnation: reader.string(),
    epoch: reader.uint32(),
    commitNumber: reader.uint32(),
    oldestSegment: reader.uint32(),
    nextSegment: reader.uint32(),
    journalMs: reader.double(),
    maxMemoryGrantMs: reader.double(),
    retryWindowMs: reader.double(),
    quarantineUntilJournalMs: reader.double(),
    released: reader.bool(),
  }));
}

/**
 * @param segment The segment to encode.
 * @returns The encoded value for the store.
 */
export function encodeSegment(segment: Segment): Uint8Array {
  const writer = new BinaryWriter()
    .uint32(FORMAT)
    .string(segment.address)
    .string(segment.agentIncarnation)
    .double(segment.journalMs)
    .double(segment.wallMs)
    .double(segment.retryWindowMs)
    .uint32(segment.claims.length);
  for (const claim of segment.claims) {
    writer.bytes(claim.keyDigest).bytes(claim.fingerprint).string(claim.runId);
  }
  writer.uint32(segment.ends.length);
  for (const { segment: number, index, end } of segment.ends) {
    const status = end.kind === "not_run" ? 0 : end.status;
    writer.uint32(number).uint32(index);
    writer.uint32(END_KINDS.indexOf(end.kind)).uint32(status);
  }
  return writer.finish();
}

/**
 * @param value An encoded segment from the store.
 * @returns The segment, or an error if this version can't decode it.
 */
export function decodeSegment(
  value: Uint8Array,
): Result<Segment, UnreadableRecord> {
  return decode(value, (reader) => ({
    address: reader.string(),
    agentIncarnation: reader.string(),
    journalMs: reader.double(),
    wallMs: reader.double(),
    retryWindowMs: reader.double(),
    claims: readArray(reader, readClaim),
    ends: readArray(reader, readEnd),
  }));
}

/**
 * @param one A head.
 * @param other A head.
 * @returns True if the same commit wrote both heads.
 */
export function isSameWriter(one: Head, other: Head): boolean {
  return one.agentIncarnation === other.agentIncarnation &&
    one.epoch === other.epoch && one.commitNumber === other.commitNumber;
}

function decode<T>(
  value: Uint8Array,
  read: (reader: BinaryReader) => T,
): Result<T, UnreadableRecord> {
  try {
    const reader = new BinaryReader(value);
    const format = reader.uint32();
    if (format !== FORMAT) return err(unreadable(`Unknown format ${format}`));
    const record = read(reader);
    const remainingBytes = reader.len - reader.pos;
    return remainingBytes === 0
      ? ok(record)
      : err(unreadable(`Record has ${remainingBytes} trailing bytes`));
  } catch (error) {
    return err(unreadable(String(error)));
  }
}

function readClaim(reader: BinaryReader): ClaimRecord {
  return {
    keyDigest: reader.bytes(),
    fingerprint: reader.bytes(),
    runId: reader.string(),
  };
}

function readEnd(reader: BinaryReader): EndRecord {
  const segment = reader.uint32();
  const index = reader.uint32();
  const kind = END_KINDS[reader.uint32()];
  const status = reader.uint32();
  if (!kind) throw new RangeError("Unknown kind of claim end");
  const end: ClaimEnd = kind === "not_run" ? { kind } : { kind, status };
  return { segment, index, end };
}

function readArray<T>(
  reader: BinaryReader,
  read: (reader: BinaryReader) => T,
): T[] {
  const count = reader.uint32();
  if (count > reader.len) throw new RangeError("More records than bytes");
  return Array.from({ length: count }, () => read(reader));
}

function unreadable(message: string): UnreadableRecord {
  return { kind: "unreadable", message };
}
