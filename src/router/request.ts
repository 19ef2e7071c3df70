/** A request on its way through the router, where its answer goes, and what became of it. */
import type { Chain } from "./cache_book.ts";
import type { RequestFacts, Route, Workspace } from "./model.ts";

/** A request that is ready to be sent. */
export interface RoutedRequest {
  facts: RequestFacts;
  route: Route;
  service: string;
  workspace?: Workspace;
  /** The client's headers, names and values in turn. */
  rawHeaders: string[];
  body: Buffer | undefined;
  arrivedAtMs: number;
  /** When the client must have its answer. */
  answerByMs: number;
}

/** Where the answer goes. */
export interface AnswerSink {
  /** The client has gone. */
  readonly gone: boolean;
  /** @param listener Called once when the client goes. */
  onGone(listener: () => void): void;
  /** Begins an answer whose length is not known. */
  begin(status: number, headers: string[]): void;
  /** Passes on a part; resolves when the client can take more. */
  write(bytes: Buffer): Promise<void>;
  /** Ends an answer that was begun. */
  end(): void;
  /** Breaks off an answer that was begun, so that it doesn't look complete. */
  breakOff(): void;
  /** Sends a whole answer. */
  send(status: number, headers: string[], body: Buffer): void;
}

/** Why a request is not sent again. */
export const ResendRefusal = {
  notRepeatable: "not_repeatable",
  attemptsUsed: "attempts_used",
  sendsUsed: "sends_used",
  noTime: "no_time",
  noBudget: "no_budget",
  noServer: "no_other_server",
  quarantined: "quarantined",
} as const;

/** One of {@link ResendRefusal}. */
export type ResendRefusal = typeof ResendRefusal[keyof typeof ResendRefusal];

/** Why a server of its service was not asked for a request. */
export const PassedOver = {
  /** A run of the request is open there, or may have been. */
  ran: "ran",
  down: "down",
  /** Its weights change, or it refused a request a moment ago. */
  heldBack: "held_back",
  full: "full",
  /** It refused this request. */
  refused: "refused",
  /** It could have been asked. */
  free: "free",
} as const;

/** One of {@link PassedOver}. */
export type PassedOver = typeof PassedOver[keyof typeof PassedOver];

/** What was known when a request was given up that had been sent. */
export interface GivenUp {
  /** Why it was not sent again. */
  refusal: ResendRefusal;
  /** Time that it had left. */
  leftMs: number;
  /** Resends that this entry might have made at once for its service. */
  resendsLeft: number;
  /** Servers of its service, by why they were not asked. */
  passedOver: Partial<Record<PassedOver, number>>;
}

/** How a request ended, for log and metrics. */
export type Outcome =
  | { kind: "answered"; status: number }
  | { kind: "refused"; reason: string }
  | { kind: "failed"; reason: string; status: number }
  | { kind: "broken_off"; reason: string }
  | { kind: "client_gone" };

/** What became of a request. */
export interface Served {
  outcome: Outcome;
  /** Ids of the servers that it was sent to. */
  servers: string[];
  /** How each send ended that brought no whole answer. */
  ends: string[];
  /** Why the last of them was followed by none. */
  givenUp?: GivenUp;
  /** Time to the first byte of the answer; left out without one. */
  ttftMs?: number;
  /** Expected at the last choice. */
  expectedMs?: number;
  /** Servers that had ended under the request before its last send; left out: none is known. */
  endedServers?: number;
  /** Weights at the last choice; left out for plain calls. */
  weights?: ChosenWeights;
}

/** Weights of the server to which a request was sent. */
export interface ChosenWeights {
  version: number;
  /** Time from their replacement, as known here, to the send; 0: none newer were known. */
  replacedForMs: number;
}

/** A prompt that a server reads, or a store is given. */
export interface PlacedPrompt {
  /** The server's id, or the store's address. */
  id: string;
  /** The start of the server that reads it, if that is known. */
  bornAtMs?: number;
  chain: Chain;
  /** Expected time until it is there. */
  readyInMs: number;
}

/** Why the router answered by itself. */
export type LocalAnswer =
  | "not_ready"
  | "unknown_route"
  | "unknown_key"
  | "headers_too_large"
  | "too_large"
  | "stopping"
  | "unsure"
  | "overloaded"
  | "expired"
  | "client_gone";
