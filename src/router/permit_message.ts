/** Datagrams by which entries ask each other for permits to send requests to rate-limited servers. */
import type { StartMs } from "./peer_datagram.ts";
import { Caller } from "./permit_bucket.ts";

/** What the sender knows about the server's rate. */
export interface RateKnowledge {
  /** Requests per second; null: any number. */
  perSecond: number | null;
  /** Time since the server said so. */
  ageMs: number;
}

/** What an entry asks for. */
export const PermitRequestKind = {
  /** A permit to send a request now. */
  permit: "permit",
  /** A permit for a caller who is refused now and will return. */
  reservation: "reservation",
} as const;

/** Request to the entry that grants the permits of a server. */
export interface PermitRequest {
  kind: typeof PermitRequestKind[keyof typeof PermitRequestKind];
  /** Repeated in the reply. */
  sequence: number;
  serverId: string;
  startMs: StartMs;
  rate: RateKnowledge;
  caller: Caller;
  /** Longest wait of a reservation; 0 for a permit. */
  maxWaitMs: number;
}

/** A permit that was not used. */
export interface PermitReturn {
  kind: "unused";
  serverId: string;
  startMs: StartMs;
}

/** Reply to a {@link PermitRequest}. */
export type PermitReply =
  | { kind: "granted"; sequence: number }
  /** `waitMs`: until a permit is free; `pauseMs`: how long the asker should not ask again. */
  | { kind: "denied"; sequence: number; waitMs: number; pauseMs: number }
  /** The server takes any number of requests. */
  | { kind: "unlimited"; sequence: number; ageMs: number };

/** Any datagram about permits. */
export type PermitMessage = PermitRequest | PermitReturn | PermitReply;

/** Field that tells these datagrams from the gossip on the same port. */
const MESSAGE_FIELD = "permit";
const MESSAGE_PREFIX = Buffer.from(`{"${MESSAGE_FIELD}":`);

/**
 * @param message A message.
 * @returns Its datagram.
 */
export function encodePermitMessage(message: PermitMessage): Buffer {
  return Buffer.from(JSON.stringify({ [MESSAGE_FIELD]: message }));
}

/**
 * @param bytes A datagram.
 * @returns Whether it is about permits; it may still be malformed.
 */
export function isPermitDatagram(bytes: Buffer): boolean {
  return bytes.subarray(0, MESSAGE_PREFIX.length).equals(MESSAGE_PREFIX);
}

/**
 * @param bytes A datagram about permits.
 * @returns Its message, or undefined if it is malformed.
 */
export function decodePermitMessage(bytes: Buffer): PermitMessage | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
  const fields = (parsed as Record<string, unknown> | null)?.[MESSAGE_FIELD];
  if (typeof fields !== "object" || fields === null) return undefined;
  return isPermitMessage(fields as Record<string, unknown>)
    ? fields as unknown as PermitMessage
    : undefined;
}

function isPermitMessage(fields: Record<string, unknown>): boolean {
  const { kind, sequence, serverId, startMs } = fields;
  switch (kind) {
    case PermitRequestKind.permit:
    case PermitRequestKind.reservation:
      return isAmount(sequence) && isServer(serverId, startMs) &&
        isRate(fields["rate"]) && isAmount(fields["maxWaitMs"]) &&
        Object.values<unknown>(Caller).includes(fields["caller"]);
    case "unused":
      return isServer(serverId, startMs);
    case "granted":
      return isAmount(sequence);
    case "denied":
      return isAmount(sequence) && isAmount(fields["waitMs"]) &&
        isAmount(fields["pauseMs"]);
    case "unlimited":
      return isAmount(sequence) && isAmount(fields["ageMs"]);
    default:
      return false;
  }
}

function isServer(serverId: unknown, startMs: unknown): boolean {
  return typeof serverId === "string" && isAmount(startMs);
}

function isRate(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const { perSecond, ageMs } = value as Record<string, unknown>;
  return (perSecond === null || isAmount(perSecond)) && isAmount(ageMs);
}

function isAmount(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
