/** In-memory representation of a claim. */
import type { Result } from "true-myth/result";
import { err, ok } from "true-myth/result";
import type {
  ClaimAnswer,
  Claimant,
  ClaimEnd,
  ClaimRefusal,
  ClaimRequest,
} from "./claims_journal.ts";

/**
 * State of a claim. `foreign`: read from the journal and made by another process. All others were
 * made by this process: `waiting` for a decision, `granted`, or `begun` (the call is forwarded).
 */
export type ClaimPhase = "foreign" | "waiting" | "granted" | "begun";

/** The decision on a claim: its refusal, or undefined if it is granted. */
export type Decision = ClaimRefusal | undefined;

/** A claim that this process made, or read from the journal. */
export interface ClaimEntry {
  readonly key: string;
  readonly fingerprint: Uint8Array;
  readonly claimant: Claimant;
  readonly windowMs: number;
  /** True if the claim may be granted while the store is down; own claims only. */
  readonly allowsMemory: boolean;
  /** Monotonic and wall-clock time of the request; own claims only. */
  readonly requestedMs: number;
  readonly requestedWallMs: number;
  /** Resolves when the claim is granted or refused; own claims only. */
  readonly decided: Promise<Decision>;
  decide: (decision: Decision) => void;
  phase: ClaimPhase;
  end: ClaimEnd | undefined;
  /** Monotonic time of the end; bounds how long the end may wait to be written. */
  endedMs: number;
  /** True if the journal is known to contain the end. */
  isEndWritten: boolean;
  /** Position in the journal; segment 0 if the claim is not known to be written. */
  segment: number;
  index: number;
  /** Expiry time on the shard's journal clock; see {@link Head}. */
  expiresJournalMs: number;
}

/** Claimant and times of a claim that this process makes. */
export interface OwnClaimContext {
  claimant: Claimant;
  windowMs: number;
  nowMs: number;
  wallMs: number;
}

/**
 * @param request The caller's request.
 * @param context Claimant, retry window and times of the claim.
 * @returns A claim that waits for its decision.
 */
export function createOwnEntry(
  request: ClaimRequest,
  context: OwnClaimContext,
): ClaimEntry {
  let decide: ClaimEntry["decide"] = () => {};
  const decided = new Promise<Decision>((resolve) => decide = resolve);
  return {
    ...createEmptyEntry(digestToKey(request.keyDigest), context.claimant),
    fingerprint: request.fingerprint,
    windowMs: context.windowMs,
    allowsMemory: request.settings.whenStoreDown === "memory",
    requestedMs: context.nowMs,
    requestedWallMs: context.wallMs,
    decided,
    decide,
    phase: "waiting",
  };
}

/** A claim of another process, as read from the journal. */
export interface ForeignClaim {
  keyDigest: Uint8Array;
  fingerprint: Uint8Array;
  claimant: Claimant;
  windowMs: number;
}

/**
 * @param claim A claim read from the journal.
 * @returns The claim in phase `foreign`.
 */
export function createForeignEntry(claim: ForeignClaim): ClaimEntry {
  return {
    ...createEmptyEntry(digestToKey(claim.keyDigest), claim.claimant),
    fingerprint: claim.fingerprint,
    windowMs: claim.windowMs,
  };
}

/**
 * @param keyDigest See `digestKey`.
 * @returns The digest as a string, for use as a map key.
 */
export function digestToKey(keyDigest: Uint8Array): string {
  return Buffer.from(keyDigest).toString("latin1");
}

/**
 * @param key A map key made by {@link digestToKey}.
 * @returns The digest that it was made from.
 */
export function keyToDigest(key: string): Uint8Array {
  return new Uint8Array(Buffer.from(key, "latin1"));
}

/**
 * @param entry A claim.
 * @returns True if its call was never forwarded and never will be.
 */
export function isNotRun(entry: ClaimEntry): boolean {
  return entry.end?.kind === "not_run";
}

/**
 * Answers a repeated claim of the same key.
 *
 * @param entry The existing claim, which is decided and was not refused.
 * @param ownAddress This agent's address.
 * @returns The state of the existing claim; refusal `unknown` if its outcome is lost.
 */
export function answerRepeatedClaim(
  entry: ClaimEntry,
  ownAddress: string,
): Result<ClaimAnswer, ClaimRefusal> {
  const { claimant, end, phase } = entry;
  if (end) return ok({ kind: "ended", end, claimant });
  if (phase !== "foreign") {
    return ok({ kind: "running", runId: claimant.runId });
  }
  if (claimant.address !== ownAddress) {
    return ok({ kind: "elsewhere", claimant });
  }
  // An earlier process at this address made the claim; its in-memory state is lost.
  return err({ kind: "unknown", retryAfterMs: entry.windowMs });
}

function createEmptyEntry(key: string, claimant: Claimant): ClaimEntry {
  return {
    key,
    fingerprint: NO_BYTES,
    claimant,
    windowMs: 0,
    allowsMemory: false,
    requestedMs: 0,
    requestedWallMs: 0,
    decided: ALREADY_GRANTED,
    decide: () => {},
    phase: "foreign",
    end: undefined,
    endedMs: 0,
    isEndWritten: false,
    segment: 0,
    index: 0,
    expiresJournalMs: 0,
  };
}

const NO_BYTES = new Uint8Array();
const ALREADY_GRANTED: Promise<Decision> = Promise.resolve(undefined);
