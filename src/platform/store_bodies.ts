/**
 * Bodies of the store's calls and answers. Readers throw a TypeError where a field of the answer
 * itself is missing.
 */
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  WatchStep,
  Write,
} from "../store/store.ts";
import type { Json } from "./shape.ts";

/** @returns Body of a commit. */
export function commitBody(
  expect: Expectation[],
  writes: Exclude<Write, { kind: "delete_range" }>[],
): Json {
  const puts: Json[] = [];
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
    expected: expect.map(({ key, modRevision }) => ({
      key,
      revision: Number(modRevision),
    })),
    writes: puts,
    deletes,
  };
}

/** An item that came and can't be read, or can't be read whole. */
export interface UnreadableItem {
  /** Left out where it has none. */
  key?: string;
  reason: string;
}

/** One page of a range. */
export interface Page {
  entries: KeyValueEntry[];
  unreadable: UnreadableItem[];
  revision: bigint;
  /** Key after which the next page begins; left out: this is the last one. */
  nextAfter?: string;
}

/** One answer of a watch. */
export interface WatchAnswer {
  steps: WatchStep[];
  unreadable: UnreadableItem[];
  revision: bigint;
}

/**
 * Reads a page. An item that can't be read leaves the others as they are.
 *
 * @param body The answer.
 * @returns One page of a range.
 */
export function readPage(body: Json): Page {
  const entries: KeyValueEntry[] = [];
  const unreadable: UnreadableItem[] = [];
  const rows = items(body, "items");
  for (const row of rows) {
    const entry = readItem(row, unreadable);
    if (entry) entries.push(entry);
  }
  return {
    entries,
    unreadable,
    revision: revisionOf(body, "current_rev"),
    nextAfter: body["more_pages"] === true ? lastKeyOf(rows) : undefined,
  };
}

/**
 * Reads the events of a watch. One that can't be read leaves the others as they are.
 *
 * @param body The answer.
 * @returns What it brings.
 */
export function readWatch(body: Json): WatchAnswer {
  const steps: WatchStep[] = [];
  const unreadable: UnreadableItem[] = [];
  for (const event of items(body, "events")) {
    const step = readStep(event, unreadable);
    if (step) steps.push(step);
  }
  return { steps, unreadable, revision: revisionOf(body, "current_rev") };
}

/** @returns What a commit that was refused says of the keys it expected. */
export function readConflict(body: Json): CommitOutcome {
  const current = items(body, "items")
    // A key that doesn't exist is listed without a value.
    .filter((item) => isObject(item) && typeof item["value"] === "string")
    .map((item) => readEntry(item as Json));
  const revision = body["current_rev"] === undefined
    ? current.reduce(
      (max, { modRevision }) => modRevision > max ? modRevision : max,
      0n,
    )
    : revisionOf(body, "current_rev");
  return { kind: "conflict", current, revision };
}

/**
 * Reads an item. The bytes of its value are its writer's: where they can't be read, the key is there
 * all the same, with an empty value.
 *
 * @param item The item.
 * @returns Its key and value.
 */
export function readEntry(item: Json): KeyValueEntry {
  return {
    key: keyOf(item),
    value: readValue(item["value"]) ?? new Uint8Array(),
    modRevision: revisionOf(item, "revision"),
    createRevision: revisionOf(item, "created"),
  };
}

/** @returns A field that is a revision. */
export function revisionOf(body: Json, name: string): bigint {
  const value = body[name];
  if (typeof value === "number" && Number.isSafeInteger(value)) {
    return BigInt(value);
  }
  throw new TypeError(`No whole number: ${name}`);
}

function readStep(
  event: unknown,
  unreadable: UnreadableItem[],
): WatchStep | undefined {
  if (!isObject(event) || event["deleted"] !== true) {
    const entry = readItem(event, unreadable);
    return entry && { kind: "put", entry };
  }
  return attempt(event, unreadable, () => ({
    kind: "delete",
    key: keyOf(event),
    revision: revisionOf(event, "revision"),
  }));
}

function readItem(
  item: unknown,
  unreadable: UnreadableItem[],
): KeyValueEntry | undefined {
  if (!isObject(item)) {
    unreadable.push({ reason: "No object" });
    return undefined;
  }
  const entry = attempt(item, unreadable, () => readEntry(item));
  if (entry && readValue(item["value"]) === undefined) {
    unreadable.push({ key: entry.key, reason: "Value is no base64 text" });
  }
  return entry;
}

function attempt<T>(
  item: Json,
  unreadable: UnreadableItem[],
  read: () => T,
): T | undefined {
  try {
    return read();
  } catch (error) {
    const key = typeof item["key"] === "string" ? item["key"] : undefined;
    const reason = error instanceof Error ? error.message : String(error);
    unreadable.push({ key, reason });
    return undefined;
  }
}

/** The next page begins after this one's last key, also where that item can't be read. */
function lastKeyOf(rows: unknown[]): string {
  const last = rows.findLast((row) =>
    isObject(row) && typeof row["key"] === "string"
  );
  return keyOf(isObject(last) ? last : {});
}

function keyOf(item: Json): string {
  const key = item["key"];
  if (typeof key === "string") return key;
  throw new TypeError("Item without key");
}

/** Standard base64 with padding; the decoder alone would skip what it doesn't know. */
function readValue(value: unknown): Uint8Array | undefined {
  if (typeof value !== "string") return undefined;
  const bytes = Buffer.from(value, "base64");
  return bytes.toString("base64") === value ? bytes : undefined;
}

function items(body: Json, name: string): unknown[] {
  const value = body[name];
  if (Array.isArray(value)) return value;
  throw new TypeError(`No list: ${name}`);
}

function isObject(value: unknown): value is Json {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
