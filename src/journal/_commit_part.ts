/** Builds one shard's part of a commit, and applies or reverts it when the result is known. */
import type { StorePosition } from "../store/position.ts";
import type { Expectation, Write } from "../store/store.ts";
import { type ClaimEntry, isNotRun, keyToDigest } from "./_claim_entry.ts";
import type { JournalOptions } from "./_options.ts";
import { headKey, segmentKey } from "./_paths.ts";
import { encodeHead, encodeSegment, type Head } from "./_records.ts";
import type { OwnerState, Shard } from "./_shard.ts";

/** The expectation, the writes and the records that a commit has for one shard. */
export interface CommitPart {
  shard: Shard;
  expect: Expectation;
  /** The new head; undefined if the part only confirms the ownership of the shard. */
  head: Head | undefined;
  /** Number of the new segment; 0 if the part writes no segment. */
  segment: number;
  writes: Write[];
  claims: ClaimEntry[];
  ends: ClaimEntry[];
}

/** Times and settings used to build the parts of a commit. */
export interface PartContext {
  options: JournalOptions;
  nowMs: number;
  wallMs: number;
  /** Number of claims that may still be added to the commit. */
  maxClaims: number;
}

/** Position and times of a commit that took effect. */
export interface CommitResult {
  position: StorePosition;
  /** Monotonic time at which the commit was sent; it took effect no earlier. */
  sentMs: number;
  nowMs: number;
}

/** Interval at which an idle owner confirms its ownership, relative to its memory grant limit. */
const CONFIRM_INTERVAL_RATIO = 1 / 8;
/** Time without commits after which an idle shard deletes its expired segments. */
const IDLE_TRIM_DELAY_MS = 60_000;

/**
 * @param shard A shard.
 * @param context Times and settings.
 * @returns True if the shard needs a commit now, even if no other shard does.
 */
export function isDue(shard: Shard, context: PartContext): boolean {
  const { ownerState: state } = shard;
  if (!state) return false;
  if (shard.queue.length > 0 || needsHead(shard, state, context)) return true;
  const flushedBeforeMs = context.nowMs - context.options.endFlushDelayMs;
  if (shard.ends.some(({ endedMs }) => endedMs <= flushedBeforeMs)) return true;
  return isTrimDue(shard, state, context) ||
    isConfirmDue(state, context);
}

/**
 * Dequeues the pending records of a shard and builds its part of a commit.
 *
 * @param shard A shard.
 * @param context Times and settings.
 * @returns The part; undefined if there is nothing to write or confirm.
 */
export function buildPart(
  shard: Shard,
  context: PartContext,
): CommitPart | undefined {
  const { ownerState: state } = shard;
  if (!state) return undefined;
  const hasRecords = shard.queue.length > 0 || shard.ends.length > 0;
  const mustWrite = hasRecords || needsHead(shard, state, context) ||
    isTrimDue(shard, state, context);
  if (mustWrite) return buildWritingPart(shard, state, context);
  return isConfirmDue(state, context)
    ? createPart(shard, state.modPosition)
    : undefined;
}

/**
 * Updates the shard after the commit took effect, and grants the claims of the part.
 *
 * @param part The shard's part of the commit.
 * @param result Position and times of the commit.
 */
export function applyPart(
  part: CommitPart,
  result: CommitResult,
): void {
  const { shard, head, claims, ends, segment } = part;
  const { ownerState: state } = shard;
  if (!state) return;
  state.confirmedMs = result.sentMs;
  if (!head) return;
  state.head = head;
  state.modPosition = result.position;
  state.maxMemoryGrantMs = head.maxMemoryGrantMs;
  shard.trimSegments(head.oldestSegment);
  if (segment > 0) shard.addSegment({ number: segment, claims });
  claims.forEach((entry, index) => {
    entry.segment = segment;
    entry.index = index;
    shard.grant(entry, result.nowMs);
  });
  for (const entry of ends) entry.isEndWritten = true;
}

/**
 * Queues the records of a part again, after its commit failed and can't take effect any more.
 *
 * @param part The shard's part of the commit.
 */
export function requeuePart({ shard, claims, ends }: CommitPart): void {
  for (const entry of claims) {
    if (isNotRun(entry)) shard.forget(entry);
  }
  const kept = claims.filter((entry) => !isNotRun(entry));
  shard.queue = [...kept, ...shard.queue];
  const isWritable = (entry: ClaimEntry) =>
    entry.segment > 0 || !isNotRun(entry);
  shard.ends = [...ends, ...shard.ends].filter(isWritable);
}

function buildWritingPart(
  shard: Shard,
  state: OwnerState,
  context: PartContext,
): CommitPart {
  const part = createPart(shard, state.modPosition);
  part.claims = shard.queue.splice(0, context.maxClaims);
  part.ends = dequeueEnds(shard, part.claims);
  const head = nextHead(shard, state, context);
  const hasRecords = part.claims.length > 0 || part.ends.length > 0;
  if (hasRecords) part.segment = head.nextSegment++;
  part.head = head;
  part.writes.push(put(headKey(shard.id), encodeHead(head)));
  if (hasRecords) part.writes.push(segmentWrite(part, head, context));
  const { oldestSegment } = state.head;
  if (head.oldestSegment > oldestSegment) {
    part.writes.push({
      kind: "delete_range",
      from: segmentKey(shard.id, oldestSegment),
      to: segmentKey(shard.id, head.oldestSegment),
    });
  }
  state.commitNumber = head.commitNumber;
  // Lowers the limit before the commit is sent: once the commit takes effect, a successor no longer
  // expects grants from memory beyond the new limit.
  state.maxMemoryGrantMs = Math.min(
    state.maxMemoryGrantMs,
    head.maxMemoryGrantMs,
  );
  return part;
}

function createPart(shard: Shard, modPosition: StorePosition): CommitPart {
  return {
    shard,
    expect: { key: headKey(shard.id), modPosition },
    head: undefined,
    segment: 0,
    writes: [],
    claims: [],
    ends: [],
  };
}

/** Dequeues the ends whose claims are in the journal already or are written by this commit. */
function dequeueEnds(shard: Shard, claims: ClaimEntry[]): ClaimEntry[] {
  const written = new Set(claims);
  const isReady = (entry: ClaimEntry) =>
    entry.segment > 0 || written.has(entry);
  const writable = shard.ends.filter(isReady);
  shard.ends = shard.ends.filter((entry) => !isReady(entry));
  return writable;
}

function nextHead(
  shard: Shard,
  state: OwnerState,
  context: PartContext,
): Head {
  // Claims granted from memory must be written before the head may say that the journal is
  // complete.
  const isComplete = shard.queue.length === 0;
  const wantedMs = wantedMemoryLimitMs(shard, context);
  const committedMs = state.head.maxMemoryGrantMs;
  return {
    ...state.head,
    commitNumber: state.commitNumber + 1,
    oldestSegment: oldestNeededSegment(shard, state, context),
    journalMs: shard.journalMs(context.nowMs),
    maxMemoryGrantMs: isComplete ? wantedMs : Math.max(wantedMs, committedMs),
    retryWindowMs: shard.maxWindowMs,
    released: isComplete && shard.isClosing,
  };
}

function segmentWrite(
  part: CommitPart,
  head: Head,
  context: PartContext,
): Write {
  const { shard, segment, claims, ends } = part;
  const indexes = new Map(claims.map((entry, index) => [entry, index]));
  const value = encodeSegment({
    address: head.address,
    agentIncarnation: head.agentIncarnation,
    journalMs: head.journalMs,
    wallMs: context.wallMs,
    retryWindowMs: Math.max(0, ...claims.map(({ windowMs }) => windowMs)),
    claims: claims.map((entry) => ({
      keyDigest: keyToDigest(entry.key),
      fingerprint: entry.fingerprint,
      runId: entry.claimant.runId,
    })),
    ends: ends.map((entry) => ({
      segment: indexes.has(entry) ? segment : entry.segment,
      index: indexes.get(entry) ?? entry.index,
      end: entry.end!,
    })),
  });
  return put(segmentKey(shard.id, segment), value);
}

function oldestNeededSegment(
  shard: Shard,
  state: OwnerState,
  { nowMs }: PartContext,
): number {
  const isNeeded = (entry: ClaimEntry) => !shard.isExpired(entry, nowMs);
  const needed = shard.segments.find(({ claims }) => claims.some(isNeeded));
  return needed?.number ?? state.head.nextSegment;
}

function needsHead(
  shard: Shard,
  state: OwnerState,
  context: PartContext,
): boolean {
  if (shard.isClosing) return true;
  return state.head.maxMemoryGrantMs !==
    wantedMemoryLimitMs(shard, context);
}

function wantedMemoryLimitMs(shard: Shard, { options }: PartContext): number {
  const isWanted = shard.wantsMemoryMode && !shard.isClosing;
  return isWanted ? options.maxMemoryGrantMs : 0;
}

function isTrimDue(
  shard: Shard,
  state: OwnerState,
  context: PartContext,
): boolean {
  if (context.nowMs - state.confirmedMs < IDLE_TRIM_DELAY_MS) return false;
  return oldestNeededSegment(shard, state, context) >
    state.head.oldestSegment;
}

function isConfirmDue(
  state: OwnerState,
  { nowMs }: PartContext,
): boolean {
  const limitMs = state.head.maxMemoryGrantMs;
  if (limitMs === 0) return false;
  return nowMs - state.confirmedMs > limitMs * CONFIRM_INTERVAL_RATIO;
}

function put(key: string, value: Uint8Array): Write {
  return { kind: "put", key, value };
}
