/** Records the last holder of a lease in a key that outlives the lease. */
import type { Clock } from "../base/mod.ts";
import type { KeyValueEntry } from "../store/store.ts";

/** The last holder's record. Its key outlives the lease, and each acquisition writes it. */
export interface LastHolderOptions {
  key: string;
  /** The record in the caller's copy of the store; if it is outdated, the lease is not acquired. */
  known: KeyValueEntry | undefined;
  /** Era that the new record names; see {@link LastHolder.settledEra}. */
  settledEra?: number;
}

/** The process that last acquired a lease. */
export interface LastHolder {
  holderId: string;
  /** When it first acquired the lease after another holder, by the wall clock of its instance. */
  sinceWallMs: number;
  /**
   * Newest era of the store in which what holders wrote before is either known or too old to matter;
   * 0 if the store named none.
   */
  settledEra: number;
}

/**
 * Parses the last holder's record.
 *
 * @param value Value written by an acquisition.
 * @returns The last holder, or undefined if the value is malformed.
 */
export function readLastHolder(value: Uint8Array): LastHolder | undefined {
  const { holderId, sinceWallMs, settledEra = 0 } = readJson(value);
  if (typeof holderId !== "string") return undefined;
  if (typeof sinceWallMs !== "number") return undefined;
  if (typeof settledEra !== "number") return undefined;
  return { holderId, sinceWallMs, settledEra };
}

/**
 * Encodes the record that an acquisition writes.
 *
 * @param record The previous record, if there is one, and the settled era.
 * @param acquirer Id of the acquiring process, and the clock of its instance.
 * @returns The new record.
 */
export function encodeNextHolder(
  { known, settledEra = 0 }: LastHolderOptions,
  { holderId, clock }: { holderId: string; clock: Clock },
): Uint8Array {
  const before = known && readLastHolder(known.value);
  const isSameHolder = before?.holderId === holderId;
  const sinceWallMs = isSameHolder ? before.sinceWallMs : clock.wallMs();
  const next: LastHolder = { holderId, sinceWallMs, settledEra };
  return new TextEncoder().encode(JSON.stringify(next));
}

/**
 * Parses a JSON object from the store; another writer may have written something else there.
 *
 * @param value The stored value.
 * @returns The object's fields; none if the value is not a JSON object.
 */
export function readJson(value: Uint8Array): Record<string, unknown> {
  try {
    const parsed: unknown = JSON.parse(new TextDecoder().decode(value));
    if (typeof parsed !== "object" || parsed === null) return {};
    return parsed as Record<string, unknown>;
  } catch {
    return {};
  }
}
