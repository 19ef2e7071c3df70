/** What entries tell each other by datagrams. One that is wrong in one field counts as lost. */
import type { Confirmation } from "./mirror.ts";

/**
 * Start of a server that something was seen at; what was learned of a former one would keep the new
 * one from being ordered weights that it lacks. 0: not known, or no server.
 */
export type Start = number;

/**
 * A request, a server's start that ended under it, time since its answer had begun (null: it had
 * not), how long ago that was, and how long it had been there; in ms.
 */
export type EndedUnder = [string, string, number | null, number, number];

/** A request that was answered well, and how long ago in ms. */
export type Cleared = [string, number];

/** One datagram. */
export interface Told {
  name: string;
  revision: string;
  /** Age of the copy, for entries that ran before `confirmed` was told. */
  ageMs: number;
  /** The store's answer that vouches for this revision; left out if none is known. */
  confirmed?: Confirmation;
  /** Server, pending tokens, requests under way, those that are bound to it. */
  loads: [string, number, number, number][];
  /** Server or store, salt, time until it is there, the parts with their tokens, and the start. */
  prompts: [string, string, number, [string, number][], Start][];
  /** Servers that are to get nothing new. */
  heldBack: string[];
  /** Servers that come after them; left out by entries of earlier releases. */
  changingNext?: string[];
  /** Servers that have just gone silent, or refuse connections. */
  silent: string[];
  /** Servers whose address another one has, by id and start; left out by entries of earlier releases. */
  gone?: [string, Start][];
  /** Servers that said they leave, by id and start, and how long ago in ms; as `gone`. */
  leaving?: [string, Start, number][];
  /** Servers that ended under requests; left out by entries of earlier releases. */
  ended?: EndedUnder[];
  /** Suspected requests that were answered well; left out by entries of earlier releases. */
  cleared?: Cleared[];
  /** When the entry started, since 1970, by its own clock; left out by entries of earlier releases. */
  startedAtMs?: number;
  /** Workspace, units that this entry has taken of its limit since it started, and what is left. */
  taken?: [string, number, number][];
  /** The store answers this entry, and has done so for a while; for those of earlier releases. */
  storeServes: boolean;
  /** Time since its last answer; left out if it doesn't, or by entries of earlier releases. */
  storeServedMs?: number;
  /** Server, model, version, start: weights that were seen there. */
  weights: [string, string, number, Start][];
  /** Model, version, age in ms: weights that were named a while ago. */
  named: [string, number, number][];
}

/** Whether a field of a datagram has its form. */
type Check = (value: unknown) => boolean;

/** Decimal digits of a revision; a number of more would not be one of the store's. */
const REVISION_PATTERN = /^\d{1,18}$/;

const isText: Check = (value) => typeof value === "string";
const isCount: Check = (value) =>
  typeof value === "number" && Number.isFinite(value) && value >= 0;
const isNumber: Check = (value) =>
  typeof value === "number" && Number.isFinite(value);
const isCountOrNone: Check = (value) => value === null || isCount(value);
/** Entries that ran before this field was told leave it out. */
const isStart: Check = (value) => value === undefined || isCount(value);

/** One check for each field, so that none is added without. */
const CHECKS: Record<keyof Told, Check> = {
  name: isText,
  revision: (value) => isText(value) && REVISION_PATTERN.test(value as string),
  ageMs: isCount,
  confirmed: (value) => value === undefined || isConfirmation(value),
  loads: listOf(rowOf(isText, isCount, isCount, isCount)),
  prompts: listOf(
    rowOf(isText, isText, isCount, listOf(rowOf(isText, isCount)), isStart),
  ),
  heldBack: listOf(isText),
  changingNext: (value) => value === undefined || listOf(isText)(value),
  silent: listOf(isText),
  gone: (value) => value === undefined || listOf(rowOf(isText, isStart))(value),
  leaving: (value) =>
    value === undefined || listOf(rowOf(isText, isCount, isCount))(value),
  ended: (value) =>
    value === undefined ||
    listOf(rowOf(isText, isText, isCountOrNone, isCount, isCount))(value),
  cleared: (value) =>
    value === undefined || listOf(rowOf(isText, isCount))(value),
  startedAtMs: isStart,
  taken: (value) =>
    value === undefined || listOf(rowOf(isText, isNumber, isNumber))(value),
  storeServes: (value) => typeof value === "boolean",
  storeServedMs: (value) => value === undefined || isCount(value),
  weights: listOf(rowOf(isText, isText, isCount, isStart)),
  named: listOf(rowOf(isText, isCount, isCount)),
};

/**
 * @param bytes A datagram.
 * @returns What it tells, if it has the form of an entry's.
 */
export function readTold(bytes: Uint8Array): Told | undefined {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    return undefined;
  }
  return isTold(value) ? value : undefined;
}

/**
 * @param value What a peer told.
 * @returns Whether it has the form of an answer that vouches for a copy.
 */
export function isConfirmation(value: unknown): value is Confirmation {
  if (typeof value !== "object" || value === null) return false;
  const { origin, count, ageMs } = value as Record<string, unknown>;
  return isText(origin) && isCount(count) && isCount(ageMs);
}

function isTold(value: unknown): value is Told {
  if (typeof value !== "object" || value === null) return false;
  const fields = value as Record<string, unknown>;
  return Object.entries(CHECKS).every(([name, check]) => check(fields[name]));
}

function listOf(check: Check): Check {
  return (value) => Array.isArray(value) && value.every(check);
}

function rowOf(...checks: Check[]): Check {
  return (value) =>
    Array.isArray(value) && checks.every((check, i) => check(value[i]));
}
