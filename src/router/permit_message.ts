/** Datagrams by which entries ask each other for permits to send requests to rate-limited servers. */
import { isAmount, isText, MessageFrame } from "./message_frame.ts";
import type { StartMs } from "./peer_datagram.ts";
import { type Caller, CallerKind } from "./permit_bucket.ts";

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

/** Denial of a permit. */
export interface DeniedPermit {
  kind: "denied";
  sequence: number;
  /** Time until a permit is free. */
  waitMs: number;
  /** How long the asker should not ask again. */
  pauseMs: number;
  /** Callers for whom it should ask meanwhile, as they have reservations. */
  holders: string[];
}

/** Reply to a {@link PermitRequest}. */
export type PermitReply =
  | { kind: "granted"; sequence: number }
  | DeniedPermit
  /** The server takes any number of requests. */
  | { kind: "unlimited"; sequence: number; ageMs: number };

/** Any datagram about permits. */
export type PermitMessage = PermitRequest | PermitReturn | PermitReply;

/** Longest name of a holder; the digests in use are shorter. */
const MAX_HOLDER_CHARS = 64;
const FRAME = MessageFrame.create("permit");

/**
 * @param message A message.
 * @returns Its datagram.
 */
export function encodePermitMessage(message: PermitMessage): Buffer {
  return FRAME.encode(toRow(message));
}

/**
 * @param bytes A datagram.
 * @returns Whether it is about permits; it may still be malformed.
 */
export function isPermitDatagram(bytes: Buffer): boolean {
  return FRAME.matches(bytes);
}

/**
 * @param bytes A datagram about permits.
 * @returns Its message, or undefined if it is malformed.
 */
export function decodePermitMessage(bytes: Buffer): PermitMessage | undefined {
  const row = FRAME.decode(bytes);
  return row && fromRow(row);
}

function toRow(message: PermitMessage): unknown[] {
  const { kind } = message;
  switch (kind) {
    case PermitRequestKind.permit:
    case PermitRequestKind.reservation: {
      const { sequence, serverId, startMs, rate, caller, maxWaitMs } = message;
      return [
        kind,
        sequence,
        serverId,
        startMs,
        rate.perSecond,
        Math.round(rate.ageMs),
        caller.kind,
        Math.round(maxWaitMs),
        caller.holder,
      ];
    }
    case "unused":
      return [kind, message.serverId, message.startMs];
    case "granted":
      return [kind, message.sequence];
    case "denied": {
      const { sequence, waitMs, pauseMs, holders } = message;
      return [
        kind,
        sequence,
        Math.ceil(waitMs),
        Math.ceil(pauseMs),
        holders.join(),
      ];
    }
    case "unlimited":
      return [kind, message.sequence, Math.round(message.ageMs)];
  }
}

function fromRow([kind, ...values]: unknown[]): PermitMessage | undefined {
  switch (kind) {
    case PermitRequestKind.permit:
    case PermitRequestKind.reservation:
      return readRequest(kind, values);
    case "unused": {
      const [serverId, startMs] = values;
      return isText(serverId) && isAmount(startMs)
        ? { kind, serverId, startMs }
        : undefined;
    }
    case "granted": {
      const [sequence] = values;
      return isAmount(sequence) ? { kind, sequence } : undefined;
    }
    case "denied": {
      return readDenied(values);
    }
    case "unlimited": {
      const [sequence, ageMs] = values;
      return isAmount(sequence) && isAmount(ageMs)
        ? { kind, sequence, ageMs }
        : undefined;
    }
    default:
      return undefined;
  }
}

function readRequest(
  kind: PermitRequest["kind"],
  values: unknown[],
): PermitRequest | undefined {
  const [sequence, serverId, startMs, perSecond, ageMs, ...asked] = values;
  // Earlier releases name no holder.
  const [callerKind, maxWaitMs, holder = ""] = asked;
  if (!isAmount(sequence) || !isText(serverId) || !isAmount(startMs)) {
    return undefined;
  }
  if (perSecond !== null && !isAmount(perSecond)) return undefined;
  if (!isAmount(ageMs) || !isCallerKind(callerKind)) return undefined;
  if (!isAmount(maxWaitMs) || !isHolder(holder)) return undefined;
  const caller = { kind: callerKind, holder };
  const rate = { perSecond, ageMs };
  return { kind, sequence, serverId, startMs, rate, caller, maxWaitMs };
}

function readDenied(
  [sequence, waitMs, pauseMs, holders = ""]: unknown[],
): DeniedPermit | undefined {
  if (!isAmount(sequence) || !isAmount(waitMs) || !isAmount(pauseMs)) {
    return undefined;
  }
  if (typeof holders !== "string") return undefined;
  return {
    kind: "denied",
    sequence,
    waitMs,
    pauseMs,
    holders: holders === "" ? [] : holders.split(","),
  };
}

function isCallerKind(value: unknown): value is CallerKind {
  return Object.values<unknown>(CallerKind).includes(value);
}

function isHolder(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_HOLDER_CHARS;
}
