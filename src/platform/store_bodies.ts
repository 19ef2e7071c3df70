/** Bodies of the store's calls and answers. Readers throw a TypeError where a field is missing. */
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  WatchStep,
  Write,
} from "../store/store.ts";

/** A JSON object. */
export type Json = Record<string, unknown>;

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

/** @returns One page of a range. */
export function readPage(body: Json): {
  entries: KeyValueEntry[];
  revision: bigint;
  hasMore: boolean;
} {
  return {
    entries: items(body, "items").map(readEntry),
    revision: revisionOf(body, "current_rev"),
    hasMore: body["more_pages"] === true,
  };
}

/** @returns What a commit that was refused says of the keys it expected. */
export function readConflict(body: Json): CommitOutcome {
  const current = items(body, "items")
    // A key that doesn't exist is listed without a value.
    .filter((item) => typeof item["value"] === "string")
    .map(readEntry);
  const revision = body["current_rev"] === undefined
    ? current.reduce(
      (max, { modRevision }) => modRevision > max ? modRevision : max,
      0n,
    )
    : revisionOf(body, "current_rev");
  return { kind: "conflict", current, revision };
}

/** @returns One event of a watch. */
export function readStep(event: Json): WatchStep {
  if (event["deleted"] === true) {
    const revision = revisionOf(event, "revision");
    return { kind: "delete", key: String(event["key"]), revision };
  }
  return { kind: "put", entry: readEntry(event) };
}

/** @returns An item with its value. */
export function readEntry(item: Json): KeyValueEntry {
  if (typeof item["key"] !== "string" || typeof item["value"] !== "string") {
    throw new TypeError("Item without key or value");
  }
  return {
    key: item["key"],
    value: Buffer.from(item["value"], "base64"),
    modRevision: revisionOf(item, "revision"),
    createRevision: revisionOf(item, "created"),
  };
}

/** @returns A field that is a list. */
export function items(body: Json, name: string): Json[] {
  const value = body[name];
  if (Array.isArray(value)) return value as Json[];
  throw new TypeError(`No list: ${name}`);
}

/** @returns A field that is a revision. */
export function revisionOf(body: Json, name: string): bigint {
  const value = body[name];
  if (typeof value === "number" && Number.isSafeInteger(value)) {
    return BigInt(value);
  }
  throw new TypeError(`No whole number: ${name}`);
}
