/** One send of a request to a backend server: its state, and how it may end. */
import type { Exchange } from "./channel.ts";
import type { Choice } from "./choose.ts";
import type {
  AnswerSink,
  ChosenWeights,
  Outcome,
  RoutedRequest,
} from "./request.ts";
import type { LoadTicket, Server } from "./server.ts";

/** Why the rest of an answer was waited for no longer. */
export const LateReason = {
  /** The client's deadline or the route's timeout had come. */
  deadline: "deadline",
  /** A stream paused, and another server could go on with it. */
  noEvent: "no_event",
  /** No answer began, and another server could be asked. */
  noHead: "no_head",
} as const;

/** One of {@link LateReason}. */
export type LateReason = typeof LateReason[keyof typeof LateReason];

/** Why a request is not sent again. */
export const ResendRefusal = {
  notRepeatable: "not_repeatable",
  attemptsUsed: "attempts_used",
  sendsUsed: "sends_used",
  noTime: "no_time",
  noBudget: "no_budget",
  noServer: "no_other_server",
} as const;

/** One of {@link ResendRefusal}. */
export type ResendRefusal = typeof ResendRefusal[keyof typeof ResendRefusal];

/** How one send ended. */
export type SendEnd =
  | { kind: "done"; outcome: Outcome }
  | { kind: "not_run"; reason: string }
  /** It may have run. `isBroken`: its connection broke, and its server may have ended. */
  | { kind: "unknown"; reason: string; isBroken?: boolean }
  /** Its run has stopped and goes on at another server, from a copy of its memory. */
  | { kind: "moved"; choice: Choice };

/** State of a request over its sends. */
export interface Progress {
  /** Servers that it was sent to. */
  readonly tried: Set<Server>;
  /** Those of them at which it may have run, or may still run. */
  readonly ranAt: Set<Server>;
  /** Ids of the servers that it was sent to, in order. */
  readonly servers: string[];
  /** How each send ended that was not the last of all: `reason@ms`, from its start. */
  readonly ends: string[];
  /** Why the last of them was followed by none. */
  notResent?: ResendRefusal;
  /** Sends that may have run; one that goes on from a copy is the same run. */
  runs: number;
  sends: number;
  /** Sends that were taken from the budget of resends ahead. */
  reservedSends: number;
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
  /** When the server began to answer. */
  headAtMs?: number;
  /** When the server's first event came. */
  runsFromMs?: number;
  /** Set once its run was to be moved. */
  move?: RunMove;
}

/**
 * @param outcome How the request ended.
 * @returns The end of a send after which nothing is sent any more.
 */
export function done(outcome: Outcome): SendEnd {
  return { kind: "done", outcome };
}

/**
 * @param send A send whose answer, or the rest of it, is waited for no longer.
 * @param reason Why.
 * @param nowMs The time.
 * @returns Its end.
 */
export function endLate(
  { exchange, choice }: Send,
  reason: LateReason,
  nowMs: number,
): SendEnd {
  const wasSent = exchange.sent;
  exchange.abort();
  choice.server.health.failed(nowMs);
  return wasSent
    ? { kind: "unknown", reason }
    : { kind: "not_run", reason: "no_connection" };
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
