/** Settings and injectable faults of the stand-in for a backend server of the platform. */

/** What a server does once it has cut an answer. */
export const CutEnding = {
  /** It lives on. */
  lives: "lives",
  /** It ends; its address accepts connections for a while longer and closes them. */
  lingers: "lingers",
  /** It ends; its address accepts connections and never answers. */
  silent: "silent",
  /** It ends, and a new one with another id serves at its address at once. */
  replaced: "replaced",
} as const;

/** One of {@link CutEnding}. */
export type CutEnding = typeof CutEnding[keyof typeof CutEnding];

/** A cut of an answer that has neither a length nor chunks. */
export interface AnswerCut {
  /** Whether connections are reset, rather than closed in order. */
  isReset: boolean;
  ending: CutEnding;
}

/** Settings of a stand-in backend server. */
export interface StandinBackendServerOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  /** Instance id; unchanged by a restart. */
  id: string;
  /** Model that the server serves; undefined for a plain service. */
  model?: string;
  /**
   * Initial version of the server's software; if it is set, each event names the server and the
   * version that wrote it.
   */
  softwareVersion?: string;
  /** Initial version of the model's weights. */
  version: number;
  /** Number of events in a complete stream. */
  events: number;
  /** Pause after each event. */
  eventMs: number;
  /** Whether orders with an outdated fencing token are rejected. */
  requireFencing: boolean;
  /** Time that loading weights takes. */
  loadMs: number;
  /** Faults to share with other servers; a fault that occurs once then occurs at only one of them. */
  faults?: StandinBackendServerFaults;
  /** Called when a request has crashed the server. */
  onCrash?: () => void;
  /** Called when a cut has ended the server; a server that is replaced restarts under a new id. */
  onCutEnd?: (ending: CutEnding) => void;
}

/** A pause in a stream. */
export interface StreamStall {
  /** Id of the last event before the pause. */
  afterEvent: number;
  pauseMs: number;
  /** Extends the pause until this promise resolves. */
  opened?: Promise<unknown>;
  /** Whether the response headers are sent before the pause. */
  isAfterHeaders?: boolean;
}

/** Faults to inject; a number counts the upcoming requests that are affected, if not stated otherwise. */
export interface StandinBackendServerFaults {
  /** Requests that are rejected as not executed. */
  refuse: number;
  /** Requests that are executed, but whose connection is closed without an answer. */
  loseAnswer: number;
  /** Requests that are executed and answered with status 500 by the server itself. */
  fail: number;
  /** Cuts the next stream in the middle of an event, after this number of complete ones. */
  cutAfterEvents: number | undefined;
  /** Pause in each stream. */
  stall: StreamStall | undefined;
  /** Delay of plain answers. */
  lateMs: number;
  /** Delay between the headers and the body of plain answers. */
  bodyLateMs: number;
  /** Answers that are sent without a length or chunks. */
  unframed: number;
  /** Whether all answers are sent without a length or chunks. */
  isUnframed: boolean;
  /** Cuts the next answer after a part; it has no length or chunks. */
  cut: AnswerCut | undefined;
  /** Plain answers that carry the attempt id of another request. */
  foreign: number;
  /** Requests that are executed and never answered. */
  hang: number;
  /** Moves that stop the run but fail to copy it, as if the target were full. */
  moveFull: number;
  /** Moves that stop the run, and whose call gets no answer. */
  loseMove: number;
  /** Runs whose backup is never made, as if their target were full. */
  noBackup: number;
  /** Requests that are rejected for a version mismatch, without stating the loaded versions. */
  refuseWeights: number;
  /** Orders that are rejected as if another one were in progress. */
  refuseOrder: number;
  /** Path whose requests crash the server; undefined: none. */
  endOnTarget: string | undefined;
  /** Id of a part, not the last, of the prompts whose requests crash the server; undefined: none. */
  endOnPart: string | undefined;
  /** Whether a request that crashes the server does so before the headers of its answer. */
  isEndBeforeHead: boolean;
  /** Whether all answers announce that the server is shutting down. */
  leaving: boolean;
  /** Whether requests on connections that have carried others meet a late refusal without an id. */
  hasLateRefusals: boolean;
  /** Value of the header by which all answers name the requests a second that the server takes. */
  rate: string | undefined;
  /** Rejects all requests as not executed, with this retry delay in seconds; undefined: off. */
  pauseS: number | undefined;
}

/** Default settings. */
export const DEFAULT_OPTIONS: StandinBackendServerOptions = {
  listenAddress: "127.0.0.1:0",
  id: "i-standin",
  version: 1,
  events: 4,
  eventMs: 0,
  requireFencing: true,
  loadMs: 0,
};

/** Disables all faults. */
export const NO_FAULTS: StandinBackendServerFaults = {
  refuse: 0,
  loseAnswer: 0,
  fail: 0,
  cutAfterEvents: undefined,
  stall: undefined,
  lateMs: 0,
  bodyLateMs: 0,
  unframed: 0,
  isUnframed: false,
  hasLateRefusals: false,
  cut: undefined,
  foreign: 0,
  hang: 0,
  moveFull: 0,
  loseMove: 0,
  noBackup: 0,
  refuseWeights: 0,
  refuseOrder: 0,
  endOnTarget: undefined,
  endOnPart: undefined,
  isEndBeforeHead: false,
  leaving: false,
  rate: undefined,
  pauseS: undefined,
};

/** Faults that count the affected requests. */
type CountedFault = Exclude<
  keyof StandinBackendServerFaults,
  | "cutAfterEvents"
  | "stall"
  | "lateMs"
  | "bodyLateMs"
  | "isUnframed"
  | "hasLateRefusals"
  | "cut"
  | "endOnTarget"
  | "endOnPart"
  | "isEndBeforeHead"
  | "leaving"
  | "rate"
  | "pauseS"
>;

/**
 * Checks whether a counted fault applies to the current request, and decrements its count if so.
 *
 * @param faults Faults of the server.
 * @param fault Fault to check.
 * @returns Whether the fault applies.
 */
export function consumeFault(
  faults: StandinBackendServerFaults,
  fault: CountedFault,
): boolean {
  if (faults[fault] <= 0) return false;
  faults[fault]--;
  return true;
}
