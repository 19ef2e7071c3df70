/**
 * Positions in the history of the key-value service. A service that is restored from an older copy
 * gives out revisions again; it then names a new era, so a revision means one write only within an
 * era.
 */

import { Result } from "true-myth";

/** A revision within an era. Positions of a later era come after all positions of earlier ones. */
export interface StorePosition {
  /** Rises by one with each restore; 0 where the service names no era. */
  readonly era: number;
  readonly revision: bigint;
}

/** Position before any change, as of an empty replica. */
export const START_POSITION: StorePosition = { era: 0, revision: 0n };

/** Bits of a fencing number that hold the revision; the era is in the bits above. */
const FENCING_REVISION_BITS = 38n;
const MAX_FENCING_REVISION = (1n << FENCING_REVISION_BITS) - 1n;
/** A position that is too high for a fencing number. */
export interface NoFencingNumber {
  kind: "no_fencing_number";
  position: StorePosition;
}

/** Longest text of an era or a revision that is parsed. */
const MAX_DIGITS = 18;

/**
 * @param era Era that the service named.
 * @param revision Revision within this era.
 * @returns The position.
 */
export function positionAt(era: number, revision: bigint): StorePosition {
  return { era, revision };
}

/**
 * @returns A negative number if `a` comes before `b`, 0 if they are equal, else a positive number.
 */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  if (a.era !== b.era) return a.era - b.era;
  if (a.revision === b.revision) return 0;
  return a.revision < b.revision ? -1 : 1;
}

/** @returns Whether `a` comes after `b`. */
export function isAfter(a: StorePosition, b: StorePosition): boolean {
  return comparePositions(a, b) > 0;
}

/** @returns Whether `a` comes before `b`. */
export function isBefore(a: StorePosition, b: StorePosition): boolean {
  return comparePositions(a, b) < 0;
}

/**
 * @param a A position, or undefined for a key that doesn't exist.
 * @param b Another one.
 * @returns Whether both are the same.
 */
export function isSamePosition(
  a: StorePosition | undefined,
  b: StorePosition | undefined,
): boolean {
  if (!a || !b) return a === b;
  return comparePositions(a, b) === 0;
}

/** @returns Whether a replica at this position holds nothing yet. */
export function isStart(position: StorePosition): boolean {
  return isSamePosition(position, START_POSITION);
}

/** @returns The later of two positions. */
export function laterOf(a: StorePosition, b: StorePosition): StorePosition {
  return isAfter(b, a) ? b : a;
}

/** @returns The next position of the same era. */
export function nextPosition({ era, revision }: StorePosition): StorePosition {
  return { era, revision: revision + 1n };
}

/**
 * @param position The position.
 * @returns Its text: the revision alone in era 0, else `era.revision`.
 */
export function formatPosition({ era, revision }: StorePosition): string {
  return era === 0 ? String(revision) : `${era}.${revision}`;
}

/**
 * @param text Text of {@link formatPosition}.
 * @returns The position, or undefined if the text is none.
 */
export function parsePosition(text: string): StorePosition | undefined {
  const parts = text.split(".");
  const revision = parseDigits(parts.pop()!);
  if (parts.length > 1 || revision === undefined) return undefined;
  const era = parts.length === 0 ? 0n : parseDigits(parts[0]!);
  if (era === undefined || era > Number.MAX_SAFE_INTEGER) return undefined;
  return { era: Number(era), revision };
}

/**
 * Maps a position to the number that engines compare, which rises over eras and is exact in JSON.
 *
 * @param position Position at which a lease was taken.
 * @returns The fencing number, in era 0 the revision; a failure if the era is above 32767 or the
 *   revision needs more than 38 bits, as a number beyond its bits would belong to another era.
 */
export function fencingNumberOf(
  position: StorePosition,
): Result<bigint, NoFencingNumber> {
  const { era, revision } = position;
  const number = (BigInt(era) << FENCING_REVISION_BITS) + revision;
  const isExact = revision >= 0n && revision <= MAX_FENCING_REVISION &&
    number <= BigInt(Number.MAX_SAFE_INTEGER);
  return isExact
    ? Result.ok(number)
    : Result.err({ kind: "no_fencing_number", position });
}

function parseDigits(text: string): bigint | undefined {
  const isValid = /^\d+$/.test(text) && text.length <= MAX_DIGITS;
  return isValid ? BigInt(text) : undefined;
}
