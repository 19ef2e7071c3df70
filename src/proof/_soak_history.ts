/** What happened in a soak, as clients and servers saw it. */
import type { DeclaredEnd, MarkedEvent } from "../standin/mod.ts";

/** Entry of a disruption of the store, which concerns all entries. */
export const STORE = -1;

/** An entry is calm this long after a disruption, and a rate binds this long after it was named. */
export const STABLE_MS = 3000;

/** A request, as its client saw it end. */
export interface ClientRecord {
  id: string;
  /** Index of the entry to which it was sent. */
  entry: number;
  isIdempotent: boolean;
  sentAtMs: number;
  /** Time after which the client no longer waits. */
  deadlineMs: number;
  endedAtMs: number;
  /** Software version that wrote the last event; absent if there was none. */
  softwareVersion?: string;
  end: ClientEnd;
}

/** An attempt at a stream. */
export interface StreamAttemptRecord {
  entry: number;
  atMs: number;
  endedAtMs: number;
  /** The attempt takes up the stream of an earlier one. */
  isTakenUp: boolean;
  /** The client got events, or the head of a stream that was taken up. */
  hasBegun: boolean;
}

/** A stream, over all attempts of its client. */
export interface StreamRecord {
  /** Id of the first attempt. */
  id: string;
  /** The client believes that the stream is complete. */
  isWhole: boolean;
  events: MarkedEvent[];
  attempts: StreamAttemptRecord[];
}

/** A time in which a server served with one software version; it takes no new requests in the end. */
export interface ServingVersion {
  server: number;
  /** Id of the server at that time. */
  serverId: string;
  softwareVersion: string;
  fromMs: number;
  toMs: number;
}

/** How a request ended for its client. */
export type ClientEnd =
  /** `isOwnAnswer`: the whole answer of a server to this very request. */
  | {
    kind: "answered";
    status: number;
    isOwnAnswer: boolean;
    declaredEnd: DeclaredEnd;
  }
  /** The connection ended without a complete answer. `declaredEnd`: absent if none had begun. */
  | { kind: "broken"; reason: string; declaredEnd?: DeclaredEnd }
  /** The client itself closed the connection. */
  | { kind: "left" };

/** A request at a server. */
export interface ServerRecord {
  requestId: string;
  server: number;
  atMs: number;
  /** Id of the server at that time; part of arrivals only. */
  serverId?: string;
}

/** An answer that a server cut. */
export interface CutRecord extends ServerRecord {
  /** Whether its connection was reset. */
  isReset: boolean;
}

/** From when on a server named a rate; undefined: none. */
export interface NamedRate {
  server: number;
  fromMs: number;
  perSecond: number | undefined;
}

/** A time in which an entry was stopped, killed, suspended or cut off from the store. */
export interface Disruption {
  entry: number;
  fromMs: number;
  toMs: number;
  /** A planned stop must not cut a request; all other disruptions may. */
  isPlanned: boolean;
}

/** A server that restarts cuts the requests that it runs. */
export interface ServerRestart {
  server: number;
  atMs: number;
}

/** A time in which a server that cut an answer was down. */
export interface ServerOutage {
  server: number;
  fromMs: number;
  toMs: number;
}

/** A request with the part of a prompt that crashes servers. */
export interface CrashingRequest {
  id: string;
  /** Index of the entry to which it was sent. */
  entry: number;
  sentAtMs: number;
}

/** A crash of a server. */
export interface ServerCrash {
  server: number;
  atMs: number;
}

/** From when on the store has an era; each one begins with a copy of the store. */
export interface StoreEra {
  era: number;
  fromMs: number;
}

/** The store's answer to a server that says it leaves. */
export interface LeavingAck {
  serverId: string;
  era: number;
  atMs: number;
}

/** The store's answer to the operator's configuration. */
export interface ConfigAck {
  version: number;
  era: number;
  atMs: number;
}

/** The configuration that an entry had. */
export interface ConfigSample {
  entry: number;
  /** Id of the entry's process. */
  pid: number;
  atMs: number;
  version: number;
}

/** A call of an entry that reached the store. */
export interface StoreCall {
  entry: number;
  atMs: number;
}

/** Everything that happened in a soak; times by one monotonic clock. */
export interface SoakHistory {
  clients: ClientRecord[];
  streams: StreamRecord[];
  versions: ServingVersion[];
  /** Requests that servers ran. */
  runs: ServerRecord[];
  /** Requests that reached servers, run or not. */
  arrivals: ServerRecord[];
  rates: NamedRate[];
  disruptions: Disruption[];
  restarts: ServerRestart[];
  outages: ServerOutage[];
  /** Answers without a length or chunks that servers cut after a part. */
  cutAnswers: CutRecord[];
  /** Successful answers without a length or chunks that servers sent whole. */
  wholeAnswers: ServerRecord[];
  eras: StoreEra[];
  leavingAcks: LeavingAck[];
  configAcks: ConfigAck[];
  /** In the order of the answers of each entry. */
  configSamples: ConfigSample[];
  storeCalls: StoreCall[];
  /** Requests that crash the servers which answer them. */
  crashingRequests: CrashingRequest[];
  /** Crashes of servers by such requests. */
  crashes: ServerCrash[];
}

/** A broken promise. */
export interface Violation {
  promise: string;
  atMs: number;
  detail: string;
}
