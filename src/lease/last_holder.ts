/** Who took a lease last, in a key that outlives the lease. */
import type { Clock } from "../base/mod.ts";
import type { KeyValueEntry } from "../store/store.ts";

/** Who took the lease last. The key outlives the lease, and each acquisition writes it. */
export interface LastHolderOptions {
  key: string;
  /** What a copy of the store has there; if it is not the newest, the lease is not acquired. */
  known: KeyValueEntry | undefined;
}

/** Who took a lease last. */
export interface LastHolder {
  holderId: string;
  /** From when on no other holder has taken it, by the wall clock of the holder's machine. */
  sinceWallMs: number;
}

/**
 * @param value What an acquisition wrote.
 * @returns The last holder, if it can be read.
 */
export function readLastHolder(value: Uint8Array): LastHolder | undefined {
  const { holderId, sinceWallMs } = readJson(value);
  if (typeof holderId !== "string") return undefined;
  if (typeof sinceWallMs !== "number") return undefined;
  return { holderId, sinceWallMs };
}

/**
 * @param known The last holder that is known.
 * @param taking Who takes the lease now, and the clock of its machine.
 * @returns What the acquisition writes.
 */
export function nextHolder(
  known: KeyValueEntry | undefined,
  { holderId, clock }: { holderId: string; clock: Clock },
): Uint8Array {
  const before = known && readLastHolder(known.value);
  const isOwn = before?.holderId === holderId;
  const sinceWallMs = isOwn ? before.sinceWallMs : clock.wallMs();
  const next: LastHolder = { holderId, sinceWallMs };
  return new TextEncoder().encode(JSON.stringify(next));
}

/**
 * @param value A value that another writer may have spoilt; it then says nothing.
 * @returns Its fields.
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
