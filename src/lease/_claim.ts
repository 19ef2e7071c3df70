/** The key of a lease, which shows in the store who holds it. */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  fencingNumberOf,
  type NoFencingNumber,
  type StorePosition,
} from "../store/position.ts";
import type {
  Expectation,
  KeyValueEntry,
  KeyValueStore,
  StoreFailure,
  Write,
} from "../store/store.ts";
import {
  encodeNextHolder,
  type LastHolderOptions,
  readJson,
} from "./last_holder.ts";

/** Key and value that a process writes to acquire a lease. */
export interface Claim {
  key: string;
  /** Contains an id of this claim. */
  text: string;
}

/** Options of {@link claimKey}. */
export interface ClaimOptions {
  leaseId: bigint;
  holderId: string;
  clock: Clock;
  lastHolder?: LastHolderOptions;
}

/** Why a lease was not acquired. */
export type AcquireFailure =
  /** The fencing number is undefined if the holder's position is too high for one. */
  | { kind: "held"; holderId: string; fencingNumber: bigint | undefined }
  /**
   * The caller's copy of the last holder's record is outdated: another process has held the lease.
   */
  | { kind: "outdated" }
  | { kind: "store"; failure: StoreFailure }
  | NoFencingNumber;

/** Outcome of the write that claims the lease's key. */
export type ClaimResult =
  | { kind: "taken"; position: StorePosition }
  | { kind: "refused"; failure: AcquireFailure };

/**
 * @param key Key of the lease.
 * @param holderId Id of the process that acquires it.
 * @returns A claim that no other one equals.
 */
export function createClaim(key: string, holderId: string): Claim {
  return { key, text: JSON.stringify({ holderId, claimId: randomUUID() }) };
}

/**
 * Deletes the lease's key if it holds a claim of this process. In a later era than the claim's, the id
 * of its store lease may name the lease of another process, which must not be revoked.
 *
 * @param store The store that keeps the lease.
 * @param claim The claim.
 * @returns Success if the key doesn't hold the claim any more.
 */
export async function deleteClaim(
  store: KeyValueStore,
  { key, text }: Claim,
): Promise<Result<void, StoreFailure>> {
  const found = await store.get(key);
  if (found.isErr) return Result.err(found.error);
  const { value: entry } = found;
  if (!entry || new TextDecoder().decode(entry.value) !== text) {
    return Result.ok(undefined);
  }
  const expect = [{ key, modPosition: entry.modPosition }];
  const deleted = await store.commit(expect, [{ kind: "delete", key }]);
  return deleted.map(() => undefined);
}

/**
 * Writes the key of a lease, unless it exists.
 *
 * @param store The store that keeps the lease.
 * @param claim Key and value.
 * @param options The store lease to attach the key to, and who acquires it.
 * @returns Whether the key was written.
 */
export async function claimKey(
  store: KeyValueStore,
  { key, text }: Claim,
  options: ClaimOptions,
): Promise<ClaimResult> {
  const { leaseId, lastHolder } = options;
  const value = new TextEncoder().encode(text);
  const expect: Expectation[] = [{ key, modPosition: undefined }];
  const writes: Write[] = [{ kind: "put", key, value, leaseId }];
  if (lastHolder) {
    const modPosition = lastHolder.known?.modPosition;
    expect.push({ key: lastHolder.key, modPosition });
    const last = encodeNextHolder(lastHolder, options);
    writes.push({ kind: "put", key: lastHolder.key, value: last });
  }
  const outcome = await store.commit(expect, writes);
  if (outcome.isErr) {
    if (outcome.error.kind !== "effect_unknown") {
      return refusedByStore(outcome.error);
    }
    return readBack(store, {
      key,
      writtenText: text,
      commitFailure: outcome.error,
    });
  }
  if (outcome.value.kind === "committed") {
    return { kind: "taken", position: outcome.value.position };
  }
  const current = outcome.value.current.find((entry) => entry.key === key);
  if (current) return { kind: "refused", failure: heldByOther(current) };
  if (lastHolder) return { kind: "refused", failure: { kind: "outdated" } };
  return refusedByStore({
    kind: "unavailable",
    message: "Commit conflict without a conflicting key",
  });
}

/** A commit of the lease's key that may or may not have taken effect. */
interface UnconfirmedClaim {
  key: string;
  writtenText: string;
  commitFailure: StoreFailure;
}

/**
 * Determines the outcome of a commit whose answer was lost, by the claim id in the stored value.
 */
async function readBack(
  store: KeyValueStore,
  claim: UnconfirmedClaim,
): Promise<ClaimResult> {
  const found = await store.get(claim.key);
  if (found.isErr) return refusedByStore(found.error);
  if (!found.value) return refusedByStore(claim.commitFailure);
  if (new TextDecoder().decode(found.value.value) === claim.writtenText) {
    return { kind: "taken", position: found.value.createPosition };
  }
  return { kind: "refused", failure: heldByOther(found.value) };
}

/**
 * @param entry Key of a lease that another process holds.
 * @returns The failure to acquire it.
 */
export function heldByOther(entry: KeyValueEntry): AcquireFailure {
  return {
    kind: "held",
    holderId: readHolderId(entry.value),
    fencingNumber: fencingNumberOf(entry.createPosition).unwrapOr(undefined),
  };
}

function readHolderId(value: Uint8Array): string {
  const holderId = readJson(value)["holderId"];
  return typeof holderId === "string" ? holderId : "";
}

function refusedByStore(failure: StoreFailure): ClaimResult {
  return { kind: "refused", failure: { kind: "store", failure } };
}
