/** Converts between the types of the store interface and etcd's messages. */
import { type ServiceError, status } from "@grpc/grpc-js";
import {
  type Compare,
  Compare_CompareResult,
  Compare_CompareTarget,
  type Event,
  Event_EventType,
  type KeyValue,
  type RequestOp,
  type TxnRequest,
  type TxnResponse,
} from "../wire/gen/etcd.ts";
import { positionAt, type StorePosition } from "./position.ts";
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  StoreFailure,
  WatchStep,
  Write,
} from "./store.ts";

const EMPTY = Buffer.alloc(0);

/**
 * Message with which etcd refuses a call before processing it. The message is needed to tell, since
 * gRPC itself uses the same status for other errors.
 */
const TOO_MANY_REQUESTS = "etcdserver: too many requests";

/** Status codes that guarantee that a write had no effect. */
const NO_EFFECT_STATUSES: ReadonlySet<number> = new Set([
  status.INVALID_ARGUMENT,
  status.NOT_FOUND,
  status.FAILED_PRECONDITION,
  status.PERMISSION_DENIED,
  status.UNAUTHENTICATED,
  status.UNIMPLEMENTED,
]);

/** etcd names no era. */
export function etcdPosition(revision: bigint): StorePosition {
  return positionAt(0, revision);
}

/**
 * @param kv An entry as an etcd message.
 * @returns The entry as a type of the store interface.
 */
export function toEntry(kv: KeyValue): KeyValueEntry {
  return {
    key: kv.key.toString(),
    value: kv.value,
    modPosition: etcdPosition(kv.modRevision),
    createPosition: etcdPosition(kv.createRevision),
  };
}

/**
 * @param event A watch event as an etcd message.
 * @returns The event as a type of the store interface.
 */
export function toWatchStep(event: Event): WatchStep {
  const kv = event.kv!;
  if (event.type === Event_EventType.PUT) {
    return { kind: "put", entry: toEntry(kv) };
  }
  const position = etcdPosition(kv.modRevision);
  return { kind: "delete", key: kv.key.toString(), position };
}

/**
 * @param expect Conditions of the commit.
 * @param writes Writes of the commit.
 * @returns A transaction that returns the entries of the expected keys if a condition fails.
 */
export function toTxnRequest(
  expect: Expectation[],
  writes: Write[],
): TxnRequest {
  const keys = new Set(expect.map(({ key }) => key));
  return {
    compare: expect.map(toCompare),
    success: writes.map(toRequestOp),
    failure: [...keys].map(toRangeOp),
  };
}

/**
 * @param response etcd's response to a transaction.
 * @returns The outcome of the commit.
 */
export function toCommitOutcome(response: TxnResponse): CommitOutcome {
  const position = etcdPosition(response.header?.revision ?? 0n);
  if (response.succeeded) return { kind: "committed", position };
  const current = response.responses.flatMap(({ response: op }) =>
    op?.$case === "responseRange" ? op.value.kvs.map(toEntry) : []
  );
  return { kind: "conflict", current, position };
}

/**
 * @param error gRPC error of a read.
 * @returns The failure, which is always `unavailable`.
 */
export function toReadFailure(error: ServiceError): StoreFailure {
  return { kind: "unavailable", message: describe(error) };
}

/**
 * @param error gRPC error of a write that was sent.
 * @returns The failure; the effect is unknown unless etcd refused the write.
 */
export function toWriteFailure(error: ServiceError): StoreFailure {
  const message = describe(error);
  if (hasNoEffect(error)) return { kind: "unavailable", message };
  return { kind: "effect_unknown", message };
}

function hasNoEffect(error: ServiceError): boolean {
  if (NO_EFFECT_STATUSES.has(error.code)) return true;
  return error.code === status.RESOURCE_EXHAUSTED &&
    error.details.startsWith(TOO_MANY_REQUESTS);
}

function describe(error: ServiceError): string {
  return `Store answered ${status[error.code]}: ${error.details}`;
}

function toCompare({ key, modPosition }: Expectation): Compare {
  return {
    result: Compare_CompareResult.EQUAL,
    target: Compare_CompareTarget.MOD,
    key: Buffer.from(key),
    targetUnion: { $case: "modRevision", value: modPosition?.revision ?? 0n },
  };
}

function toRequestOp(write: Write): RequestOp {
  switch (write.kind) {
    case "put":
      return toPutOp(write);
    case "delete":
      return toDeleteOp(Buffer.from(write.key), EMPTY);
    case "delete_range":
      return toDeleteOp(Buffer.from(write.from), Buffer.from(write.to));
  }
}

function toPutOp(write: Extract<Write, { kind: "put" }>): RequestOp {
  const value = {
    key: Buffer.from(write.key),
    value: Buffer.from(write.value),
    lease: write.leaseId ?? 0n,
  };
  return { request: { $case: "requestPut", value } };
}

function toDeleteOp(key: Buffer, rangeEnd: Buffer): RequestOp {
  const value = { key, rangeEnd };
  return { request: { $case: "requestDeleteRange", value } };
}

function toRangeOp(key: string): RequestOp {
  const value = {
    key: Buffer.from(key),
    rangeEnd: EMPTY,
    limit: 0n,
    revision: 0n,
  };
  return { request: { $case: "requestRange", value } };
}
