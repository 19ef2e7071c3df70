/** Datagrams by which entries tell each other which software began the streams that they serve. */
import { isAmount, isFlag, isText, MessageFrame } from "./message_frame.ts";
import type { OriginRow } from "./origin_table.ts";

/** Any datagram about the origins of streams. */
export type OriginMessage =
  /** Streams whose first events are being delivered. */
  | { kind: "began"; rows: OriginRow[] }
  /** Asks which software began a stream. */
  | { kind: "ask"; sequence: number; id: string; service: string }
  | OriginReply;

/** The version that all servers of a service have; undefined if they state none. */
export interface OnlyVersion {
  softwareVersion: string | undefined;
}

/** Reply to a question. */
export interface OriginReply {
  kind: "reply";
  /** Repeated from the question. */
  sequence: number;
  /** Absent if the sender doesn't know the stream. */
  row?: OriginRow;
  /** Whether the service has several software versions, as far as the sender knows. */
  isMixed: boolean;
  /** Whether the store answered the sender after the question. */
  reachesStore: boolean;
  /** The service's only version by that answer; absent if it has several, or if that isn't known. */
  onlyVersion?: OnlyVersion;
}

const FRAME = MessageFrame.create("origin");

/** Attempt, service, software version (null: not stated), server process or null, time left in ms. */
type WireRow = [string, string, string | null, string | null, number];

/**
 * @param message A message.
 * @returns Its datagram.
 */
export function encodeOriginMessage(message: OriginMessage): Buffer {
  return FRAME.encode(toWire(message));
}

/**
 * @param bytes A datagram.
 * @returns Whether it is about origins of streams; it may still be malformed.
 */
export function isOriginDatagram(bytes: Buffer): boolean {
  return FRAME.matches(bytes);
}

/**
 * @param bytes A datagram about origins of streams.
 * @returns Its message, or undefined if it is malformed.
 */
export function decodeOriginMessage(bytes: Buffer): OriginMessage | undefined {
  const row = FRAME.decode(bytes);
  return row && fromWire(row);
}

function toWire(message: OriginMessage): unknown[] {
  const { kind } = message;
  switch (kind) {
    case "began":
      return [kind, message.rows.map(toWireRow)];
    case "ask":
      return [kind, message.sequence, message.id, message.service];
    case "reply": {
      const { sequence, row, isMixed, reachesStore, onlyVersion } = message;
      const wireRow = row ? toWireRow(row) : null;
      const only = onlyVersion ? [onlyVersion.softwareVersion ?? null] : null;
      return [kind, sequence, wireRow, isMixed, reachesStore, only];
    }
  }
}

function fromWire([kind, ...values]: unknown[]): OriginMessage | undefined {
  switch (kind) {
    case "began": {
      const [wireRows] = values;
      if (!Array.isArray(wireRows)) return undefined;
      const rows = wireRows.map(fromWireRow);
      return rows.every((row) => row !== undefined)
        ? { kind, rows: rows as OriginRow[] }
        : undefined;
    }
    case "ask": {
      const [sequence, id, service] = values;
      return isAmount(sequence) && isText(id) && isText(service)
        ? { kind, sequence, id, service }
        : undefined;
    }
    case "reply": {
      // Entries of an earlier release don't ask the store, and name no version.
      const [sequence, wireRow, isMixed, reachesStore, only = null] = values;
      const row = wireRow === null ? undefined : fromWireRow(wireRow);
      if (wireRow !== null && !row) return undefined;
      const onlyVersion = only === null ? undefined : fromWireVersion(only);
      if (only !== null && !onlyVersion) return undefined;
      return isAmount(sequence) && isFlag(isMixed) && isFlag(reachesStore)
        ? { kind, sequence, row, isMixed, reachesStore, onlyVersion }
        : undefined;
    }
    default:
      return undefined;
  }
}

function toWireRow({ id, origin, leftMs }: OriginRow): WireRow {
  const { service, softwareVersion = null, incarnation = null } = origin;
  // The process matters only where the version is not stated.
  const process = softwareVersion === null ? incarnation : null;
  return [id, service, softwareVersion, process, Math.ceil(leftMs)];
}

function fromWireRow(value: unknown): OriginRow | undefined {
  if (!Array.isArray(value)) return undefined;
  const [id, service, version, incarnation, leftMs] = value;
  if (!isText(id) || !isText(service) || !isAmount(leftMs)) return undefined;
  if (version !== null && !isText(version)) return undefined;
  if (incarnation !== null && !isText(incarnation)) return undefined;
  const origin = {
    service,
    softwareVersion: version ?? undefined,
    incarnation: incarnation ?? undefined,
  };
  return { id, origin, leftMs };
}

function fromWireVersion(value: unknown): OnlyVersion | undefined {
  if (!Array.isArray(value) || value.length !== 1) return undefined;
  const [version] = value;
  if (version === null) return { softwareVersion: undefined };
  return isText(version) ? { softwareVersion: version } : undefined;
}
