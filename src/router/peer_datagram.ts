/** Format of the datagrams between entries. A datagram with one invalid field counts as lost. */
import type { VersionRow } from "./software_versions.ts";
import type { Confirmation } from "./mirror.ts";
import type { DemandRow } from "../scheduling/mod.ts";

/**
 * Start time of the server process that an observation is about, in ms since 1970; 0 if unknown, or if
 * it is not a server. Without it, the weights of an earlier process would be attributed to the new one,
 * which then would not be ordered to load them.
 */
export type StartMs = number;

/**
 * A request during which a server process ended: request, server process, time from the answer's start
 * to the end (null: the answer had not started), time since the end, and how long the request had been
 * at the server; times in ms.
 */
export type ServerEndRow = [string, string, number | null, number, number];

/** A suspected request that completed normally, and the time since then in ms. */
export type ClearedRow = [string, number];

/** A crash of a server: server process, ms since then, and the parts of prompts that may be the cause. */
export type CrashRow = [string, number, string[]];

/** A suspected part of prompts that appeared in a successful answer, and the ms since then. */
export type AnsweredPartRow = [string, number];

/** Decoded content of one datagram. */
export interface Datagram {
  name: string;
  revision: string;
  /** Era of the revision; absent if the store names none, or from earlier releases. */
  era?: number;
  /** Age of the sender's copy of the store; read only by releases without `confirmed`. */
  ageMs: number;
  /** The store answer that confirms the copy at this revision; absent if none is known. */
  confirmed?: Confirmation;
  /** Per server: id, pending tokens, requests in flight, and those of them bound to the server. */
  loads: [string, number, number, number][];
  /** Server or prompt store, salt, time until it is cached there, parts with tokens, start time. */
  prompts: [string, string, number, [string, number][], StartMs][];
  /** Ids of servers that should get no new requests. */
  heldBack: string[];
  /** Ids of the servers whose weights change next; absent from earlier releases. */
  changingNext?: string[];
  /** Ids of servers that have just stopped answering, or refuse connections. */
  silent: string[];
  /** Servers whose address another server now has: id and start time; absent from earlier releases. */
  gone?: [string, StartMs][];
  /** Servers that announced leaving: id, start time, ms since then; absent from earlier releases. */
  leaving?: [string, StartMs, number][];
  /** Rates of requests that servers take: id, start time, requests per second, ms since then. */
  rates?: [string, StartMs, number | null, number][];
  /** Samples of the paces of servers: id, start time, factor, number of samples, age in ms. */
  paces?: [string, StartMs, number, number, number][];
  /** Software versions of services with several; absent if there is none. */
  software?: VersionRow[];
  /** Time that requests wait before the sender reads them; absent if short, or from earlier releases. */
  lagMs?: number;
  /** The sender stops, so it grants no more permits; absent otherwise. */
  stopping?: boolean;
  /** Servers that ended during a request; absent from earlier releases. */
  ended?: ServerEndRow[];
  /** Suspected requests that completed normally; absent from earlier releases. */
  cleared?: ClearedRow[];
  /** Crashes of servers; absent if there are none to tell, or from earlier releases. */
  crashes?: CrashRow[];
  /** Suspected parts that were answered; absent likewise. */
  answeredParts?: AnsweredPartRow[];
  /** Sender's start time in ms since 1970, by its own clock; absent from earlier releases. */
  startedAtMs?: number;
  /** Demand for services; absent if there is none, or from earlier releases. */
  demand?: DemandRow[];
  /** Workspace, units of its limit that the sender has consumed since its start, and units left. */
  taken?: [string, number, number][];
  /** Whether the sender's contact with the store is stable; read only by earlier releases. */
  storeServes: boolean;
  /** Time since the store's last answer; absent without stable contact, or from earlier releases. */
  storeServedMs?: number;
  /** Weights seen at servers: server, model, version, start time. */
  weights: [string, string, number, StartMs][];
  /** Wanted weights: model, version, and ms since the version was published. */
  named: [string, number, number][];
}

/** Returns whether a field's value is valid. */
type Validator = (value: unknown) => boolean;

/** A store revision: at most 18 decimal digits, more than the store's revisions can have. */
const REVISION_PATTERN = /^\d{1,18}$/;

const isString: Validator = (value) => typeof value === "string";
const isStringOrNone: Validator = (value) => value === null || isString(value);
const isCount: Validator = (value) =>
  typeof value === "number" && Number.isFinite(value) && value >= 0;
const isWhole: Validator = (value) =>
  isCount(value) && Number.isSafeInteger(value);
const isNumber: Validator = (value) =>
  typeof value === "number" && Number.isFinite(value);
const isPositive: Validator = (value) => isCount(value) && value !== 0;
const isRank: Validator = (value) => Number.isInteger(value) && isCount(value);
const isCountOrNone: Validator = (value) => value === null || isCount(value);
/** Earlier releases leave the start time out. */
const isOptionalCount: Validator = (value) =>
  value === undefined || isCount(value);

/** Validators by field; the type requires one for each field. */
const FIELD_VALIDATORS: Record<keyof Datagram, Validator> = {
  name: isString,
  revision: (value) =>
    isString(value) && REVISION_PATTERN.test(value as string),
  era: (value) => value === undefined || isEra(value),
  ageMs: isCount,
  confirmed: (value) => value === undefined || isConfirmation(value),
  loads: listOf(rowOf(isString, isCount, isCount, isCount)),
  prompts: listOf(
    rowOf(
      isString,
      isString,
      isCount,
      listOf(rowOf(isString, isCount)),
      isOptionalCount,
    ),
  ),
  heldBack: listOf(isString),
  changingNext: (value) => value === undefined || listOf(isString)(value),
  silent: listOf(isString),
  gone: (value) =>
    value === undefined || listOf(rowOf(isString, isOptionalCount))(value),
  leaving: (value) =>
    value === undefined || listOf(rowOf(isString, isCount, isCount))(value),
  rates: (value) =>
    value === undefined ||
    listOf(rowOf(isString, isCount, isCountOrNone, isCount))(value),
  paces: (value) =>
    value === undefined ||
    listOf(rowOf(isString, isCount, isPositive, isWhole, isCount))(value),
  software: (value) =>
    value === undefined ||
    listOf(rowOf(isString, isStringOrNone, isCount))(value),
  lagMs: isOptionalCount,
  stopping: (value) => value === undefined || typeof value === "boolean",
  ended: (value) =>
    value === undefined ||
    listOf(rowOf(isString, isString, isCountOrNone, isCount, isCount))(value),
  cleared: (value) =>
    value === undefined || listOf(rowOf(isString, isCount))(value),
  crashes: (value) =>
    value === undefined ||
    listOf(rowOf(isString, isCount, listOf(isString)))(value),
  answeredParts: (value) =>
    value === undefined || listOf(rowOf(isString, isCount))(value),
  startedAtMs: isOptionalCount,
  demand: (value) =>
    value === undefined ||
    listOf(rowOf(isString, isRank, isString, isCount, isCount))(value),
  taken: (value) =>
    value === undefined || listOf(rowOf(isString, isNumber, isNumber))(value),
  storeServes: (value) => typeof value === "boolean",
  storeServedMs: (value) => value === undefined || isCount(value),
  weights: listOf(rowOf(isString, isString, isCount, isOptionalCount)),
  named: listOf(rowOf(isString, isCount, isCount)),
};

/**
 * @param bytes A datagram.
 * @returns Its content, or undefined if it is not a valid datagram of an entry.
 */
export function readDatagram(
  bytes: Uint8Array,
): Datagram | undefined {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    return undefined;
  }
  return isDatagram(value) ? value : undefined;
}

/**
 * @param value A value that a peer sent.
 * @returns Whether it is the number of an era.
 */
export function isEra(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/**
 * @param value A value that a peer sent.
 * @returns Whether it is a valid {@link Confirmation}.
 */
export function isConfirmation(value: unknown): value is Confirmation {
  if (typeof value !== "object" || value === null) return false;
  const { origin, count, ageMs } = value as Record<string, unknown>;
  return isString(origin) && isCount(count) && isCount(ageMs);
}

function isDatagram(value: unknown): value is Datagram {
  if (typeof value !== "object" || value === null) return false;
  const fields = value as Record<string, unknown>;
  return Object.entries(FIELD_VALIDATORS).every(([name, check]) =>
    check(fields[name])
  );
}

function listOf(check: Validator): Validator {
  return (value) => Array.isArray(value) && value.every(check);
}

function rowOf(...checks: Validator[]): Validator {
  return (value) =>
    Array.isArray(value) && checks.every((check, i) => check(value[i]));
}
