/** One send of a request to a backend server: its state and its possible results. */
import type { ByteCollector } from "../base/mod.ts";
import type { AnswerBuffer } from "./answer_buffers.ts";
import type { AnswerHead, Exchange } from "./channel.ts";
import type { Choice } from "./choose.ts";
import type { EventSplitter } from "./event_splitter.ts";
import type { AnswerFacts } from "./model.ts";
import type {
  AnswerSink,
  ChosenWeights,
  GiveUpDetails,
  RoutedRequest,
} from "./request.ts";
import type { LoadTicket, Server } from "./server.ts";
import type { OriginSource, StreamOrigin } from "./software_versions.ts";

/** How a send is charged to the resend budget. */
export type Payment =
  /** Not charged: no earlier send of the request may have reached a server. */
  | { kind: "free" }
  /** Charged to the resend budget at this time. */
  | { kind: "paid"; atMs: number };

/** Why an open run was closed. */
export const CloseReason = {
  /** The client's deadline or the route's timeout had passed. */
  deadline: "deadline",
  /** Its stream had stalled, and another run continued it. */
  noEvent: "no_event",
  /** It had not started to answer, and another run had. */
  noHead: "no_head",
  /** It was sent in addition to a silent run, which then resumed its answer. */
  notNeeded: "not_needed",
  /** Its weights were replaced too long ago to start an answer. */
  weightsRetired: "weights_retired",
  /** Its engine has started again, and another engine has a backup of it. */
  engineReplaced: "engine_replaced",
  /** It had not started to answer, and a part of its prompt probably crashes servers. */
  partQuarantined: "part_quarantined",
  /** The client had disconnected. */
  clientGone: "client_gone",
  /** The entry was shutting down, and its grace time was over. */
  shutdown: "shutdown",
} as const;

/** One of {@link CloseReason}. */
export type CloseReason = typeof CloseReason[keyof typeof CloseReason];

/** A send whose request did not run. */
export interface NotRun {
  kind: "not_run";
  reason: string;
  /** It never reached the server. */
  isUnsent?: boolean;
  /**
   * The server's refusal names no request and came on a connection that had carried others, so that
   * nothing ties it to this one.
   */
  isUnproven?: boolean;
}

/** How one send ended without a complete answer. */
export type SendEnd =
  | NotRun
  /** The request may have run. `isBroken`: the connection broke, and the server may have crashed. */
  | { kind: "unknown"; reason: string; isBroken?: boolean }
  /** The run was stopped and continues at another server from a copy of its KV cache. */
  | { kind: "moved"; choice: Choice };

/** State of a request across all its sends. */
export interface Progress {
  /** Servers to which the request was sent. */
  readonly tried: Set<Server>;
  /** Servers at which the request may have run and is no longer running. */
  readonly ranAt: Set<Server>;
  /** Ids of the servers to which the request was sent, in order. */
  readonly servers: string[];
  /** Why each send that brought no complete answer ended: `reason@ms`, in ms since its start. */
  readonly ends: string[];
  /** State at the time when the request was given up. */
  givenUp?: GiveUpDetails;
  /** Runs that may have started and have ended; a run that continues from a copy counts once. */
  runs: number;
  /** Sends whose refusal nothing ties to the request, so that it may have run. */
  unprovenRefusals: number;
  sends: number;
  /** Hedged sends: sends in addition to an open run that was silent. */
  hedgedSends: number;
  /** Sends that may have reached a server. */
  possibleDeliveries: number;
  /** Unused sends that were charged to the resend budget in advance. */
  reservedSends: number;
  /** When {@link Progress.reservedSends} were charged. */
  reservedAtMs: number;
  /** The client has received the head of a stream. */
  streamStarted: boolean;
  /** Id of the last event that the client has received. */
  lastEventId: string | undefined;
  /** Origin of the stream, once the client has its first event, from this attempt or an earlier one. */
  origin?: StreamOrigin;
  /** Who knew the origin, if the client takes up a stream. */
  originSource?: OriginSource;
  /** How old the copy of the store was when the origin was looked for. */
  storeCopyAgeMs?: number;
  ttftMs?: number;
  expectedMs?: number;
  /** Expected times of the best server, if the request was refused for them. */
  tooLate?: Pick<Choice, "expectedMs" | "queueMs">;
  /** Time to the first byte of the first answer, from its send, relative to the expected time. */
  firstByteRatio?: number;
  /**
   * Servers that ended while running the request, in this client attempt and earlier ones, or while
   * running requests with {@link Progress.quarantinedPart}.
   */
  endedServers?: number;
  /** Remaining quarantine of the request, in which it is not run. */
  quarantinedForMs?: number;
  /** Part of the prompt for which the request is in quarantine. */
  quarantinedPart?: string;
  /** Called when a server begins to answer. */
  onAnswerBegan?(): void;
  /** Time that the request waited for room of its service. */
  waitedMs?: number;
  /** Requests of its service that were admitted meanwhile, by priority. */
  admittedMeanwhile?: Record<string, number>;
  /** Weights of the server that was chosen last. */
  weights?: ChosenWeights;
  /** Server or store from which the last server was to copy the cached prompt. */
  copyFrom?: string;
  /** The end of the server's connection was the only sign of the answer's end. */
  hasUndeclaredEnd?: boolean;
}

/** Result of a call to move a run to another server. */
export type RunMove =
  /** The run stops and continues at the chosen server. */
  | { kind: "copied"; choice: Choice }
  /** The run stops, and its KV cache could not be copied. */
  | { kind: "stopped" }
  /** The call brought no answer: the run continues at its server, or it stops. */
  | { kind: "unanswered" }
  /** As far as known, the run continues at its server. */
  | { kind: "not_moved" };

/** The part of an answer that has been read so far. */
export interface PartialAnswer {
  head: AnswerHead;
  facts: AnswerFacts;
  body: PartialBody;
}

/** Body of a {@link PartialAnswer}. */
export type PartialBody =
  | { kind: "stream"; splitter: EventSplitter }
  | { kind: "whole"; collector: ByteCollector };

/** One send of a request to one server. */
export interface Send {
  request: RoutedRequest;
  sink: AnswerSink;
  progress: Progress;
  choice: Choice;
  exchange: Exchange;
  ticket: LoadTicket;
  sentAtMs: number;
  /** Priority of the request at the server; 0 is served first. */
  priority: number;
  /** How the send was charged to the resend budget. */
  payment: Payment;
  /** Another run of the request had started, or may have, before this send. */
  isRepeat: boolean;
  /** When the last part of the answer was received; until then, when the request was sent. */
  idleSinceMs: number;
  /** The server was already reported as silent. */
  isSuspected: boolean;
  /** Set once the server has started to answer. */
  answer?: PartialAnswer;
  /** Counts the bytes that {@link Send.answer} buffers. */
  buffer?: AnswerBuffer;
  /** When the head of the answer was received. */
  headAtMs?: number;
  /** When the first event of the answer was received. */
  firstEventAtMs?: number;
  /** The server has sent events for so long that the answer counts as a successful one. */
  hasRunOn?: boolean;
  /** Result of the attempt to move the run, if there was one. */
  move?: RunMove;
  /** The engine to which the run's memory is copied while it runs. */
  backup?: Server;
}

/**
 * @param body Body that is being read.
 * @returns Number of bytes that it buffers.
 */
export function bufferedBytes(body: PartialBody): number {
  switch (body.kind) {
    case "stream":
      return body.splitter.remainderBytes;
    case "whole":
      return body.collector.sizeBytes;
  }
}

/** @param body Body whose buffered bytes are dropped. */
export function clearBody(body: PartialBody): void {
  switch (body.kind) {
    case "stream":
      return body.splitter.clear();
    case "whole":
      return body.collector.clear();
  }
}

/**
 * @param send A send.
 * @returns Whether it continues a lost run from its backup.
 */
export function isRestored({ choice }: Pick<Send, "choice">): boolean {
  return choice.copy?.lostRun !== undefined;
}

/**
 * @param lastEventId Id of the last event that the client received in an earlier attempt.
 * @returns State of a request that was not sent yet.
 */
export function startProgress(lastEventId: string | undefined): Progress {
  return {
    tried: new Set(),
    ranAt: new Set(),
    servers: [],
    ends: [],
    runs: 0,
    unprovenRefusals: 0,
    sends: 0,
    hedgedSends: 0,
    possibleDeliveries: 0,
    reservedSends: 0,
    reservedAtMs: -Infinity,
    streamStarted: false,
    lastEventId,
  };
}

/**
 * @param send A send that the entry closes.
 * @param reason Why it is closed.
 * @returns How the send ended: not run if it never reached the server, else unknown.
 */
export function closedEnd(
  { exchange }: Send,
  reason: CloseReason,
): SendEnd {
  return exchange.sent
    ? { kind: "unknown", reason }
    : { kind: "not_run", reason: "no_connection", isUnsent: true };
}

/**
 * @param send A send.
 * @returns How it ended if its server stopped the run, or may have, in order to move it.
 */
export function stoppedEnd({ move }: Send): SendEnd | undefined {
  switch (move?.kind) {
    case "copied":
      return { kind: "moved", choice: move.choice };
    case "stopped":
    case "unanswered":
      return { kind: "unknown", reason: "run_stopped" };
    case "not_moved":
    case undefined:
      return undefined;
  }
}

/**
 * Records the failure in the server's health, unless the run was stopped in order to move it.
 *
 * @param send A send whose connection failed after the request may have reached the server.
 * @param reason Why the connection failed.
 * @param nowMs The current time.
 * @returns How the send ended.
 */
export function brokenEnd(
  send: Send,
  reason: string,
  nowMs: number,
): SendEnd {
  const stopped = stoppedEnd(send);
  // A server that crashed doesn't answer the call, either.
  if (stopped && send.move?.kind !== "unanswered") return stopped;
  const { health } = send.choice.server;
  health.failed(nowMs);
  health.connectionBroke(nowMs);
  return { kind: "unknown", reason, isBroken: true };
}
