/** Types of a request in the router: its input, the sink of its answer, and its outcome. */
import type { Chain } from "./expected_cache.ts";
import type { RequestFacts, Route, Workspace } from "./model.ts";
import type { OriginSource } from "./software_versions.ts";

/** A request that has been read, routed and authenticated. */
export interface RoutedRequest {
  facts: RequestFacts;
  route: Route;
  service: string;
  workspace?: Workspace;
  /** Rank of its priority among those of its service, 0 first. */
  rank: number;
  /** The client's headers; names and values alternate. */
  rawHeaders: string[];
  body: Buffer | undefined;
  arrivedAtMs: number;
  /** Deadline of the answer, by the entry's clock. */
  answerByMs: number;
}

/** Receives the answer to a request. */
export interface AnswerSink {
  /** Whether the client has disconnected. */
  readonly gone: boolean;
  /** @param listener Called once when the client disconnects. */
  onGone(listener: () => void): void;
  /** Starts an answer of unknown length. */
  begin(head: SinkHead): void;
  /** Sends a part of the body; resolves when the client can take more. */
  write(bytes: Buffer): Promise<void>;
  /** Completes an answer that was started with {@link AnswerSink.begin}. */
  end(): void;
  /** Aborts an answer that was started, so that the client can't take it for a complete one. */
  abortAnswer(): void;
  /** Sends an answer whose body has been received. */
  send(head: SinkHead, body: Buffer): void;
}

/** Head of an answer to a client. */
export interface SinkHead {
  status: number;
  /** Alternating names and values. */
  headers: string[];
  /** Default: true. If false, the answer ends with its connection, as its server's answer did. */
  isFramed?: boolean;
}

/** Why a request is not sent again. */
export const ResendRefusal = {
  notRepeatable: "not_repeatable",
  attemptsUsed: "attempts_used",
  /** Its attempts are used up, unless a server whose connection has just broken has ended. */
  endUndecided: "end_undecided",
  sendsUsed: "sends_used",
  noTime: "no_time",
  noBudget: "no_budget",
  noServer: "no_other_server",
  /** All servers of the service have another software version than the one that began the stream. */
  versionGone: "version_gone",
  /** The request takes up a stream, and which software version began it is unknown. */
  versionUnknown: "version_unknown",
  quarantined: "quarantined",
} as const;

/** One of {@link ResendRefusal}. */
export type ResendRefusal = typeof ResendRefusal[keyof typeof ResendRefusal];

/** Why a request was not sent to a server of its service. */
export const SkipReason = {
  /** The request is running at the server, or may have run there. */
  ran: "ran",
  down: "down",
  /** The server's weights are being changed, or it has just refused another request. */
  heldBack: "held_back",
  full: "full",
  /** The server had reached the rate of requests that it takes. */
  overRate: "over_rate",
  /** The server refused this request. */
  refused: "refused",
  /** The server has another software version than the one that began the stream. */
  otherVersion: "other_version",
  /** The server was available. */
  free: "free",
} as const;

/** One of {@link SkipReason}. */
export type SkipReason = typeof SkipReason[keyof typeof SkipReason];

/** State of a request at the time when it was given up after at least one send. */
export interface GiveUpDetails {
  /** Why the request was not sent again. */
  refusal: ResendRefusal;
  /** Time until the request's deadline. */
  leftMs: number;
  /** Resends that this entry's budget still allowed for the service. */
  resendsLeft: number;
  /** Number of servers of the service, by the reason why they were not used. */
  passedOver: Partial<Record<SkipReason, number>>;
}

/** How a request ended, for logs and metrics. */
export type Outcome =
  | { kind: "answered"; status: number }
  | { kind: "refused"; reason: string }
  | { kind: "failed"; reason: string; status: number }
  | { kind: "broken_off"; reason: string }
  | { kind: "client_gone" };

/** Result of serving a request, for logs and metrics. */
export interface ServeResult {
  outcome: Outcome;
  /** Ids of the servers to which the request was sent, in order. */
  servers: string[];
  /** Why each send that brought no complete answer ended. */
  ends: string[];
  /** Set if the request was given up after at least one send. */
  givenUp?: GiveUpDetails;
  /** Time to the first byte of the answer; absent if there was no answer. */
  ttftMs?: number;
  /** Expected time to the first byte when the last server was chosen. */
  expectedMs?: number;
  /** Time from the send that was answered first to the answer's first byte, relative to the expected time. */
  firstByteRatio?: number;
  /** Time that the request waited for room of its service; absent if it did not. */
  waitedMs?: number;
  /** Requests of its service that were admitted while it waited, or before its refusal, by priority. */
  admittedMeanwhile?: Record<string, number>;
  /**
   * Servers that ended while running the request, or requests with {@link quarantinedPart}, before its
   * last send; absent if none is known.
   */
  endedServers?: number;
  /** Part of the prompt for which the request was refused, or not sent again. */
  quarantinedPart?: string;
  /** Weights of the server that was chosen last; absent for plain calls. */
  weights?: ChosenWeights;
  /** `ip:port` from which the last server was to copy the cached prompt, if any. */
  copyFrom?: string;
  /** The end of the server's connection was the only sign of the answer's end. */
  hasUndeclaredEnd?: boolean;
  /** Version of the software that began the stream, if known. */
  softwareVersion?: string;
  /** Who knew the origin of the stream, if the client takes it up. */
  originSource?: OriginSource;
  /** How old this entry's copy of the store was when the origin was looked for. */
  storeCopyAgeMs?: number;
}

/** Weights version of the server to which a request was sent. */
export interface ChosenWeights {
  version: number;
  /** Time from their replacement to the send, as known to this entry; 0 if they were the newest. */
  replacedForMs: number;
}

/** A prompt that is sent to a server or saved to a cache store. */
export interface PlacedPrompt {
  /** The server's id, or the store's address. */
  id: string;
  /** When the server started, if known; identifies the server's incarnation. */
  bornAtMs?: number;
  chain: Chain;
  /** Expected time until the prompt is cached there. */
  readyInMs: number;
}

/** Why the router answered a request itself, without a backend server. */
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
  /** The memory for clients is used up. */
  | "no_memory"
  | "client_gone"
  /** The entry ended the request at the end of a shutdown: with 502, or in the middle of its answer. */
  | "aborted";
