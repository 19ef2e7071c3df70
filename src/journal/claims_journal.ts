/**
 * Interface of the claims journal, which ensures that calls that may not be repeated run at most
 * once. An agent claims the key of a call before it forwards the call. For each key, at most one
 * granted claim leads to an execution, despite crashes, pauses, takeovers and lost store answers.
 */
import type { Result } from "true-myth/result";

/** Settings of a plain service that affect claims, from the configuration branch of the team. */
export interface ClaimSettings {
  /** How long a repeated key is recognized; raised to the longest duration of a call if shorter. */
  retryWindowMs: number;
  /** Maximum duration of a call. */
  timeoutMs: number;
  /** Whether claims are refused or granted from memory while the store is down. */
  whenStoreDown: "refuse" | "memory";
}

/** Identifies the claim of a run. */
export interface ClaimRef {
  team: string;
  service: string;
  /** See `digestKey`. */
  keyDigest: Uint8Array;
  /** Id of the run that makes the claim; a run makes at most one claim. */
  runId: string;
}

/** A request to claim a key. */
export interface ClaimRequest extends ClaimRef {
  /** Hash of the call; a repeated key with another fingerprint is refused. */
  fingerprint: Uint8Array;
  settings: ClaimSettings;
  /** Addresses of owners that did not answer the caller; allows a takeover at once. */
  unreachableAddresses?: string[];
}

/** The agent process and the run that claimed a key. */
export interface Claimant {
  address: string;
  agentIncarnation: string;
  runId: string;
}

/** Outcome of a claimed call. */
export type ClaimEnd =
  /** The backend server answered. */
  | { kind: "done"; status: number }
  /** The call was forwarded, and failed or its answer was lost. */
  | { kind: "failed"; status: number }
  /** The call was never forwarded and never will be; the key may be claimed again. */
  | { kind: "not_run" };

/** A granted claim. The holder must always end it; otherwise the key never expires. */
export interface ClaimTicket {
  readonly ref: ClaimRef;
  /**
   * Must be called immediately before the call is forwarded.
   *
   * @returns True on the first call. False if it was called before or too late, for example after a
   * pause of the process, since the key may expire soon; then the call must not be forwarded.
   */
  begin(): boolean;
  /**
   * Records the end of the call; later ends are ignored. The end is written to the store together
   * with later claims, or after about a second.
   *
   * @param end The outcome of the call.
   */
  end(end: ClaimEnd): void;
}

/** Answer to a claim that was not refused. */
export type ClaimAnswer =
  /** The caller may forward the call once. */
  | { kind: "granted"; ticket: ClaimTicket }
  /** This process already has a claim for the key; the caller may attach to its run. */
  | { kind: "running"; runId: string }
  /**
   * Another process has a claim for the key, whose end is not known here; the caller may attach to
   * its run. If that process is unreachable or has restarted, the outcome is unknown. An end that
   * it reports may be recorded with {@link ClaimsJournal.resolve}.
   */
  | { kind: "elsewhere"; claimant: Claimant }
  /** The call has ended. */
  | { kind: "ended"; end: ClaimEnd; claimant: Claimant };

/** Reason of a refusal. Only `unknown` means that the call of an earlier claim may have run. */
export type ClaimRefusal =
  /** The call was not run and won't be run by this claim; the caller may retry later. */
  | { kind: "not_run"; cause: NotRunCause; retryAfterMs: number }
  /** The call was not run; another agent owns the shard. */
  | { kind: "redirect"; address: string; agentIncarnation: string }
  /** The call was not run; the key was used for a different call. */
  | { kind: "key_reused" }
  /** The key may have been used before, and the outcome of that call is unknown. */
  | { kind: "unknown"; retryAfterMs: number };

/** Causes of a refusal of kind `not_run`. */
export const NOT_RUN_CAUSES = {
  /** The store is down or did not answer in time. */
  storeDown: "store_down",
  /** The shard has reached its maximum number of claims. */
  journalFull: "journal_full",
  /** Another agent took over the shard in the meantime. */
  ownershipLost: "ownership_lost",
  /** The stored journal can't be decoded, for example since a newer version wrote it. */
  unreadable: "unreadable",
  /** The journal is closing. */
  closing: "closing",
} as const;

/** One of {@link NOT_RUN_CAUSES}. */
export type NotRunCause = typeof NOT_RUN_CAUSES[keyof typeof NOT_RUN_CAUSES];

/** Status of a claim that this process made. */
export type ClaimStatus =
  /** The claim is undecided, granted or forwarded. */
  | { kind: "running" }
  | { kind: "ended"; end: ClaimEnd }
  /** This process did not make the claim, or it has expired. */
  | { kind: "unknown" };

/** State of one shard, for the state dump. */
export interface ShardState {
  team: string;
  service: string;
  shard: number;
  ownership: "owned" | "foreign" | "none";
  ownerAddress: string;
  epoch: number;
  keyCount: number;
  segmentCount: number;
  waitingCount: number;
  /** Remaining time in which claims of unknown keys are refused as `unknown`. */
  quarantineMs: number;
}

/** State of a journal, for the state dump. */
export interface JournalState {
  storeDown: boolean;
  commits: number;
  grants: number;
  /** Number of these grants that were made from memory, without the store. */
  memoryGrants: number;
  shards: ShardState[];
}

/** Grants claims; each agent process has one journal. */
export interface ClaimsJournal {
  /**
   * Claims a key. Only the owner of the key's shard grants claims; this agent takes over the shard
   * first if it may.
   *
   * @param request The requested claim.
   * @returns The answer or the refusal, in bounded time.
   */
  claim(request: ClaimRequest): Promise<Result<ClaimAnswer, ClaimRefusal>>;
  /**
   * Returns the status of a claim that this process made. Other agents ask for it after an answer
   * `elsewhere`.
   *
   * @param ref Identifies the claim.
   */
  claimStatus(ref: ClaimRef): ClaimStatus;
  /**
   * Records an end that another process reported for its own claim. No other source is reliable.
   *
   * @param ref Identifies the claim, with the run id from the answer `elsewhere`.
   * @param end The outcome of the call.
   */
  recordEnd(ref: ClaimRef, end: ClaimEnd): void;
  /** Returns the state for the state dump. */
  state(): JournalState;
  /**
   * Stops granting claims, writes pending records and releases the shards, so that successors can
   * take over at once and without a quarantine. Must be called after all runs have ended.
   *
   * @returns Resolves when everything is written or the time limit has passed.
   */
  close(): Promise<void>;
}
