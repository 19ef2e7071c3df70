/** Settings and faults of the stand-in for a backend server of the platform. */

/** Settings of a stand-in backend server of the platform. */
export interface StandinPlatformWorkerOptions {
  /** `ip:port`; port 0: any free one. */
  listenAddress: string;
  /** Stays the same when it starts again. */
  id: string;
  /** Left out for plain services. */
  model?: string;
  /** Version of the model's weights at first. */
  version: number;
  /** Events of a whole stream. */
  events: number;
  /** Pause between events. */
  eventMs: number;
  requireFencing: boolean;
  /** Time from an order until its weights are there. */
  loadMs: number;
  /** Shared with other servers: what goes wrong once goes wrong at one of them. */
  faults?: StandinPlatformWorkerFaults;
}

/** A pause in a stream. */
export interface StreamStall {
  afterEvent: number;
  pauseMs: number;
  /** The pause lasts until this is settled, too. */
  opened?: Promise<unknown>;
  /** Whether the head of the answer goes out before it. */
  isBehindHead?: boolean;
}

/** What goes wrong with the next requests. */
export interface StandinPlatformWorkerFaults {
  /** Requests that are refused as not run. */
  refuse: number;
  /** Requests that run, and whose connection ends without an answer. */
  loseAnswer: number;
  /** Requests that run and fail with a 500 of the server's own. */
  fail: number;
  /** Streams that break off in the middle of an event, after this many whole ones. */
  cutAfterEvents: number | undefined;
  /** A pause in each stream, before the event after this one. */
  stall: StreamStall | undefined;
  /** Time that plain answers take. */
  lateMs: number;
  /** Time between a plain answer's head and its body. */
  bodyLateMs: number;
  /** Plain answers without a length. */
  unframed: number;
  /** Plain answers that carry the id of another request. */
  foreign: number;
  /** Requests that run and are never answered. */
  hang: number;
  /** Runs that stop when they are to be moved, and are not copied. */
  moveFull: number;
  /** Requests that are refused for their weights, without a word on which are loaded. */
  refuseWeights: number;
  /** Orders that are refused, as if another were being carried out. */
  refuseOrder: number;
  /** Path of a request that ends the server as soon as it runs. */
  endOnTarget: string | undefined;
  /** All answers say that the server leaves. */
  leaving: boolean;
  /** Requests are refused as not run, and nothing more is wanted for so many seconds. */
  pauseS: number | undefined;
}

/** Settings unless said otherwise. */
export const DEFAULT_OPTIONS: StandinPlatformWorkerOptions = {
  listenAddress: "127.0.0.1:0",
  id: "i-standin",
  version: 1,
  events: 4,
  eventMs: 0,
  requireFencing: true,
  loadMs: 0,
};

/** Nothing goes wrong. */
export const NO_FAULTS: StandinPlatformWorkerFaults = {
  refuse: 0,
  loseAnswer: 0,
  fail: 0,
  cutAfterEvents: undefined,
  stall: undefined,
  lateMs: 0,
  bodyLateMs: 0,
  unframed: 0,
  foreign: 0,
  hang: 0,
  moveFull: 0,
  refuseWeights: 0,
  refuseOrder: 0,
  endOnTarget: undefined,
  leaving: false,
  pauseS: undefined,
};

/** Faults that are counted down. */
type CountedFault = Exclude<
  keyof StandinPlatformWorkerFaults,
  | "cutAfterEvents"
  | "stall"
  | "lateMs"
  | "bodyLateMs"
  | "endOnTarget"
  | "leaving"
  | "pauseS"
>;

/**
 * @param faults What goes wrong.
 * @param fault One of them.
 * @returns Whether it goes wrong now; it is then counted down.
 */
export function take(
  faults: StandinPlatformWorkerFaults,
  fault: CountedFault,
): boolean {
  if (faults[fault] <= 0) return false;
  faults[fault]--;
  return true;
}
