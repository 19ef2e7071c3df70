/** Converts between etcd messages and the types of the memory store. */
import {
  type Compare,
  Compare_CompareResult,
  Compare_CompareTarget,
  type Event,
  Event_EventType,
  type KeyValue,
  type RequestOp,
  type ResponseHeader,
  type ResponseOp,
} from "../wire/gen/etcd.ts";
import { positionAt } from "../store/position.ts";
import type {
  Expectation,
  KeyRange,
  KeyValueEntry,
  TableEvent,
  Write,
} from "../store/mod.ts";

const EMPTY = Buffer.alloc(0);

/** Thrown for an etcd message that the stand-in does not support. */
export class UnsupportedError extends Error {
  override readonly name = "UnsupportedError";
}

/**
 * @param revision Revision of the store.
 * @returns The header of a response.
 */
export function toHeader(revision: bigint): ResponseHeader {
  return { clusterId: 1n, memberId: 1n, revision, raftTerm: 1n };
}

/**
 * @param entry Entry of the memory store.
 * @returns The etcd key-value pair.
 */
export function toKeyValue(entry: KeyValueEntry): KeyValue {
  return {
    key: Buffer.from(entry.key),
    createRevision: entry.createPosition.revision,
    modRevision: entry.modPosition.revision,
    version: 1n,
    value: Buffer.from(entry.value),
    lease: 0n,
  };
}

/**
 * @param event Event of the memory store.
 * @returns The etcd event.
 */
export function toEvent(event: TableEvent): Event {
  if (event.kind === "put") {
    const kv = toKeyValue(event.entry);
    return { type: Event_EventType.PUT, kv, prevKv: undefined };
  }
  const kv: KeyValue = {
    key: Buffer.from(event.key),
    createRevision: 0n,
    modRevision: event.position.revision,
    version: 0n,
    value: EMPTY,
    lease: 0n,
  };
  return { type: Event_EventType.DELETE, kv, prevKv: undefined };
}

/**
 * @param key First key of the range; a zero byte selects all keys from the start.
 * @param rangeEnd Exclusive end; empty selects only `key`, a zero byte means no upper bound.
 * @returns The range in the memory store.
 */
export function toRange(key: Buffer, rangeEnd: Buffer): KeyRange {
  const from = key.length === 1 && key[0] === 0 ? "" : key.toString();
  if (rangeEnd.length === 0) return { from, to: `${from}\0` };
  if (rangeEnd.length === 1 && rangeEnd[0] === 0) {
    return { from, to: undefined };
  }
  return { from, to: rangeEnd.toString() };
}

/**
 * @param compare Condition of a transaction; only equality of the mod revision is supported.
 * @returns The expectation for the memory store.
 */
export function toExpectation(compare: Compare): Expectation {
  const supported = compare.result === Compare_CompareResult.EQUAL &&
    compare.target === Compare_CompareTarget.MOD;
  if (!supported || compare.targetUnion?.$case !== "modRevision") {
    throw new UnsupportedError("Only equal mod revisions are supported");
  }
  const revision = compare.targetUnion.value;
  const modPosition = revision === 0n ? undefined : positionAt(0, revision);
  return { key: compare.key.toString(), modPosition };
}

/**
 * @param op Operation of the success branch; only puts and deletes are supported.
 * @returns The write for the memory store.
 */
export function toWrite({ request }: RequestOp): Write {
  switch (request?.$case) {
    case "requestPut": {
      const { key, value, lease } = request.value;
      const leaseId = lease === 0n ? undefined : lease;
      return { kind: "put", key: key.toString(), value, leaseId };
    }
    case "requestDeleteRange": {
      const { key, rangeEnd } = request.value;
      const from = key.toString();
      if (rangeEnd.length === 0) return { kind: "delete", key: from };
      return { kind: "delete_range", from, to: rangeEnd.toString() };
    }
    case "requestRange":
    case undefined:
      throw new UnsupportedError("Only writes are supported on success");
  }
}

/**
 * @param op Operation of the failure branch; only the range of a single key is supported.
 * @param current Current entries of the compared keys that exist.
 * @param revision Revision of the store.
 * @returns The response to the operation.
 */
export function toFailureResponse(
  { request }: RequestOp,
  current: KeyValueEntry[],
  revision: bigint,
): ResponseOp {
  if (request?.$case !== "requestRange") {
    throw new UnsupportedError("Only ranges are supported on failure");
  }
  const key = request.value.key.toString();
  const kvs = current.filter((entry) => entry.key === key).map(toKeyValue);
  const value = {
    header: toHeader(revision),
    kvs,
    more: false,
    count: BigInt(kvs.length),
  };
  return { response: { $case: "responseRange", value } };
}
