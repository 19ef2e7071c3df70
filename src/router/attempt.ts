/** One send of a request to a backend server: its state, and how it may end. */
import type { AnswerHead, Exchange } from "./channel.ts";
import type { Choice } from "./choose.ts";
import type { EventSplitter } from "./event_splitter.ts";
import type { AnswerFacts } from "./model.ts";
import type {
  AnswerSink,
  ChosenWeights,
  GivenUp,
  RoutedRequest,
} from "./request.ts";
import type { LoadTicket, Server } from "./server.ts";

/** How a send is paid for. */
export type Payment =
  /** It is the first that may reach a server. */
  | { kind: "free" }
  /** From the budget of resends, at this time. */
  | { kind: "paid"; atMs: number };

/** Why an open run was closed. */
export const CloseReason = {
  /** The client's deadline or the route's timeout had come. */
  deadline: "deadline",
  /** Its stream paused, and another run went on with it. */
  noEvent: "no_event",
  /** It had not begun to answer, and another run had. */
  noHead: "no_head",
  /** Another run had been asked beside it, and it went on by itself. */
  notNeeded: "not_needed",
  /** Its weights may begin no answer any more. */
  weightsRetired: "weights_retired",
  /** The client had gone. */
  clientGone: "client_gone",
} as const;

/** One of {@link CloseReason}. */
export type CloseReason = typeof CloseReason[keyof typeof CloseReason];

/** How one send ended without a whole answer. */
export type SendEnd =
  /** `isUnsent`: it never reached the server. */
  | { kind: "not_run"; reason: string; isUnsent?: boolean }
  /** It may have run. `isBroken`: its connection broke, and its server may have ended. */
  | { kind: "unknown"; reason: string; isBroken?: boolean }
  /** Its run has stopped and goes on at another server, from a copy of its memory. */
  | { kind: "moved"; choice: Choice };

/** State of a request over its sends. */
export interface Progress {
  /** Servers that it was sent to. */
  readonly tried: Set<Server>;
  /** Those of them at which it may have run, and whose run is over. */
  readonly ranAt: Set<Server>;
  /** Ids of the servers that it was sent to, in order. */
  readonly servers: string[];
  /** How each send ended that was not the last of all: `reason@ms`, from its start. */
  readonly ends: string[];
  /** What was known when the request was given up. */
  givenUp?: GivenUp;
  /** Runs that may have begun and are over; one that goes on from a copy is the same run. */
  runs: number;
  sends: number;
  /** Sends beside a run that was silent. */
  sendsBeside: number;
  /** Sends that may have reached a server. */
  arrivals: number;
  /** Sends that were taken from the budget of resends ahead, and when. */
  reservedSends: number;
  reservedAtMs: number;
  /** The client has the head of a stream. */
  begun: boolean;
  /** Last event that the client has. */
  lastEventId: string | undefined;
  ttftMs?: number;
  expectedMs?: number;
  /** Servers that have ended under the request, in this attempt and earlier ones. */
  endedServers?: number;
  /** Time until the request is run again, where it is in quarantine. */
  quarantinedForMs?: number;
  /** Weights at the last choice. */
  weights?: ChosenWeights;
}

/** What became of a call to move a run. */
export type RunMove =
  /** The run stops, and goes on where this leads. */
  | { kind: "copied"; choice: Choice }
  /** The run stops, and its memory could not be copied. */
  | { kind: "stopped" }
  /** As far as known the run goes on where it is. */
  | { kind: "not_moved" };

/** An answer as far as it was read. */
export interface PartialAnswer {
  head: AnswerHead;
  facts: AnswerFacts;
  body: PartialBody;
}

/** Body of a {@link PartialAnswer}. */
export type PartialBody =
  | { kind: "stream"; splitter: EventSplitter }
  | { kind: "whole"; chunks: Buffer[]; sizeBytes: number };

/** One send of a request. */
export interface Send {
  request: RoutedRequest;
  sink: AnswerSink;
  progress: Progress;
  choice: Choice;
  exchange: Exchange;
  ticket: LoadTicket;
  sentAtMs: number;
  /** Its priority at the server; 0 is served first. */
  priority: number;
  /** How it was paid for. */
  payment: Payment;
  /** Another run of its request had begun, or may have. */
  isRepeat: boolean;
  /** Since when nothing of the answer has come. */
  quietSinceMs: number;
  /** Its server was reported as silent. */
  isSuspected: boolean;
  /** Set once the server has begun to answer. */
  answer?: PartialAnswer;
  /** When the server began to answer. */
  headAtMs?: number;
  /** When the server's first event came. */
  runsFromMs?: number;
  /** Set once its run was to be moved. */
  move?: RunMove;
}

/**
 * @param lastEventId Last event that the client has, from an earlier attempt.
 * @returns Progress of a request that was not sent yet.
 */
export function startProgress(lastEventId: string | undefined): Progress {
  return {
    tried: new Set(),
    ranAt: new Set(),
    servers: [],
    ends: [],
    runs: 0,
    sends: 0,
    sendsBeside: 0,
    arrivals: 0,
    reservedSends: 0,
    reservedAtMs: -Infinity,
    begun: false,
    lastEventId,
  };
}

/**
 * @param send An open run that is to be closed.
 * @param reason Why.
 * @returns Its end.
 */
export function endClosed({ exchange }: Send, reason: CloseReason): SendEnd {
  return exchange.sent
    ? { kind: "unknown", reason }
    : { kind: "not_run", reason: "no_connection", isUnsent: true };
}

/**
 * @param send A send whose connection failed after it may have been sent.
 * @param reason Why.
 * @param nowMs The time.
 * @returns Its end.
 */
export function endBroken(
  { choice, move }: Send,
  reason: string,
  nowMs: number,
): SendEnd {
  switch (move?.kind) {
    case "copied":
      return { kind: "moved", choice: move.choice };
    case "stopped":
      return { kind: "unknown", reason: "run_stopped" };
    case "not_moved":
    case undefined:
      choice.server.health.failed(nowMs);
      return { kind: "unknown", reason, isBroken: true };
  }
}
