/**
 * Encodes and decodes JSON bodies of the platform store's calls and answers. Decoding throws a
 * TypeError if a field of the answer itself is missing or invalid.
 */
import { laterOf, positionAt, type StorePosition } from "../store/position.ts";
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  WatchStep,
  Write,
} from "../store/store.ts";
import type { JsonObject } from "./shape.ts";

/** @returns The request body of a commit. */
export function commitBody(
  expect: Expectation[],
  writes: Exclude<Write, { kind: "delete_range" }>[],
): JsonObject {
  const puts: JsonObject[] = [];
  const deletes: string[] = [];
  for (const write of writes) {
    if (write.kind === "delete") {
      deletes.push(write.key);
      continue;
    }
    puts.push({
      key: write.key,
      value: Buffer.from(write.value).toString("base64"),
      lease: Number(write.leaseId ?? 0n),
    });
  }
  return {
    expected: expect.map(({ key, modPosition }) => ({
      key,
      revision: Number(modPosition?.revision ?? 0n),
    })),
    writes: puts,
    deletes,
  };
}

/** An item of an answer that could not be decoded, or only in part. */
export interface UnreadableItem {
  /** Undefined if the item has no readable key. */
  key?: string;
  reason: string;
  /** Whether the item is used, with an empty value. */
  isKept: boolean;
}

/** One page of a range listing. */
export interface Page {
  entries: KeyValueEntry[];
  unreadable: UnreadableItem[];
  position: StorePosition;
  /** Key after which the next page starts; undefined on the last page. */
  nextAfter?: string;
}

/** Era of an answer, and where its unreadable items are collected. */
interface ReadContext {
  era: number;
  unreadable: UnreadableItem[];
}

/** Answer to one poll of a watch. */
export interface WatchAnswer {
  steps: WatchStep[];
  unreadable: UnreadableItem[];
  position: StorePosition;
}

/**
 * Decodes a page. Items that can't be decoded are reported and don't affect the others.
 *
 * @param body The body of the answer.
 * @param era Era of the answer.
 * @returns The page's entries and unreadable items.
 */
export function readPage(body: JsonObject, era: number): Page {
  const entries: KeyValueEntry[] = [];
  const unreadable: UnreadableItem[] = [];
  const rows = listField(body, "items");
  for (const row of rows) {
    const entry = readListedEntry(row, { era, unreadable });
    if (entry) entries.push(entry);
  }
  return {
    entries,
    unreadable,
    position: positionOf(body, "current_rev", era),
    nextAfter: body["more_pages"] === true ? lastKeyOf(rows) : undefined,
  };
}

/**
 * Decodes the events of a watch. Events that can't be decoded are reported and don't affect the
 * others.
 *
 * @param body The body of the answer.
 * @param era Era of the answer.
 * @returns The events and unreadable items.
 */
export function readWatch(body: JsonObject, era: number): WatchAnswer {
  const steps: WatchStep[] = [];
  const unreadable: UnreadableItem[] = [];
  for (const event of listField(body, "events")) {
    const step = readWatchStep(event, { era, unreadable });
    if (step) steps.push(step);
  }
  const position = positionOf(body, "current_rev", era);
  return { steps, unreadable, position };
}

/** @returns The conflict that the body of a refused commit describes. */
export function readConflict(body: JsonObject, era: number): CommitOutcome {
  const current = listField(body, "items")
    // Expected keys that don't exist are listed without a value.
    .filter((item) => isObject(item) && typeof item["value"] === "string")
    .map((item) => readEntry(item as JsonObject, era));
  const position = body["current_rev"] === undefined
    ? current.reduce(
      (latest, { modPosition }) => laterOf(latest, modPosition),
      positionAt(era, 0n),
    )
    : positionOf(body, "current_rev", era);
  return { kind: "conflict", current, position };
}

/**
 * Decodes an item. Any client may have written the value, so an undecodable value is replaced by an
 * empty one: the key exists all the same.
 *
 * @param item The item as sent.
 * @param era Era of the answer that holds it.
 * @returns The entry.
 */
export function readEntry(item: JsonObject, era: number): KeyValueEntry {
  return {
    key: keyOf(item),
    value: readValue(item["value"]) ?? new Uint8Array(),
    modPosition: positionOf(item, "revision", era),
    createPosition: positionOf(item, "created", era),
  };
}

/** @returns The position that a field with a revision names. */
export function positionOf(
  body: JsonObject,
  name: string,
  era: number,
): StorePosition {
  return positionAt(era, integerOf(body, name));
}

/** @returns The value of a field with an integer. */
export function integerOf(body: JsonObject, name: string): bigint {
  const value = body[name];
  if (typeof value === "number" && Number.isSafeInteger(value)) {
    return BigInt(value);
  }
  throw new TypeError(`Not an integer: ${name}`);
}

function readWatchStep(
  event: unknown,
  { era, unreadable }: ReadContext,
): WatchStep | undefined {
  if (!isObject(event) || event["deleted"] !== true) {
    const entry = readListedEntry(event, { era, unreadable });
    return entry && { kind: "put", entry };
  }
  return tryRead(event, unreadable, () => ({
    kind: "delete",
    key: keyOf(event),
    position: positionOf(event, "revision", era),
  }));
}

function readListedEntry(
  item: unknown,
  { era, unreadable }: ReadContext,
): KeyValueEntry | undefined {
  if (!isObject(item)) {
    unreadable.push({ reason: "Not an object", isKept: false });
    return undefined;
  }
  const entry = tryRead(item, unreadable, () => readEntry(item, era));
  if (entry && readValue(item["value"]) === undefined) {
    const reason = "Value is not a base64 string";
    unreadable.push({ key: entry.key, reason, isKept: true });
  }
  return entry;
}

function tryRead<T>(
  item: JsonObject,
  unreadable: UnreadableItem[],
  read: () => T,
): T | undefined {
  try {
    return read();
  } catch (error) {
    const key = typeof item["key"] === "string" ? item["key"] : undefined;
    const reason = error instanceof Error ? error.message : String(error);
    unreadable.push({ key, reason, isKept: false });
    return undefined;
  }
}

/** The next page starts after this page's last key, even if that item can't be decoded. */
function lastKeyOf(rows: unknown[]): string {
  const last = rows.findLast((row) =>
    isObject(row) && typeof row["key"] === "string"
  );
  return keyOf(isObject(last) ? last : {});
}

function keyOf(item: JsonObject): string {
  const key = item["key"];
  if (typeof key === "string") return key;
  throw new TypeError("Item has no key");
}

/** Decodes padded base64, strictly: Node's decoder alone would skip invalid characters. */
function readValue(value: unknown): Uint8Array | undefined {
  if (typeof value !== "string") return undefined;
  const bytes = Buffer.from(value, "base64");
  return bytes.toString("base64") === value ? bytes : undefined;
}

function listField(body: JsonObject, name: string): unknown[] {
  const value = body[name];
  if (Array.isArray(value)) return value;
  throw new TypeError(`Not an array: ${name}`);
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
