/** Faults of a soak, and the sizes of its fleet. */
import type { AnswerCut } from "../standin/mod.ts";
import type { StoreRestore } from "./_store_writers.ts";

/** No fault begins in the last part, in which the fleet has to recover. */
export const QUIET_END_MS = 4000;
/** Times that a fault lasts. */
export const MIN_FOR_MS = 200;
export const MAX_FOR_MS = 3000;

/** Kinds of faults. */
export const FaultKind = {
  /** The entry gets SIGTERM, and starts again when it has exited. */
  stop: "stop",
  /** The entry gets SIGKILL, and starts again at once. */
  kill: "kill",
  /** The entry is suspended for a while. */
  freeze: "freeze",
  /** The store refuses connections for a while. */
  storeDown: "store_down",
  /** The entry's connections to the store are silent for a while. */
  storeSilent: "store_silent",
  /** A server names a rate of requests, or no more. */
  rate: "rate",
  /** A server restarts under its id. */
  serverRestart: "server_restart",
  /** A server fails some of the next requests. */
  serverFails: "server_fails",
  /** The operator writes a configuration. */
  config: "config",
  /** An engine is replaced by one of the next software version, and leaves. */
  release: "release",
  /** An engine restarts under its id with another software version. */
  versionRestart: "version_restart",
  /** A part of prompts crashes the engines that answer them, and clients send such requests. */
  crashingPart: "crashing_part",
  /** A server sends its answers without a length or chunks for a while. */
  unframed: "unframed",
  /** A server cuts its next answer, which has neither a length nor chunks. */
  answerCut: "answer_cut",
  /** The store is away for a while, and comes back from a copy of some time before. */
  storeRestore: "store_restore",
  /** A server says that it leaves, and goes on serving for a while beside its successor. */
  leave: "leave",
  /** A server sends refusals of earlier requests a second time, while the next ones run. */
  lateRefusals: "late_refusals",
  /** The entry's connections to the store are silent, and datagrams from and to it are lost. */
  cutOff: "cut_off",
  /** Clients break off streams at all other entries, and take them up at the entry. */
  takeUps: "take_ups",
} as const;

/** One of {@link FaultKind}. */
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

/** One fault. */
export interface Fault {
  kind: FaultKind;
  /** Time from the start of the requests. */
  atMs: number;
  /** How long it lasts, where it lasts. */
  forMs: number;
  /** Index of the entry or server, where there is one. */
  index: number;
  /** Requests per second that a server names; undefined: any number. */
  perSecond?: number;
  /** Number of the software version that an engine has from then on. */
  softwareVersion?: number;
  /** How an answer is cut. */
  cut?: AnswerCut;
  /** How the store goes back; it is copied at the time of the fault. */
  restore?: StoreRestore;
}

/** Sizes of a soak. */
export interface SoakSizes {
  entryCount: number;
  serverCount: number;
  durationMs: number;
  /** Kinds of faults that are left out of the plan. */
  without?: readonly FaultKind[];
}

/** Faults of a plan, by its seed. */
export interface SoakPlan extends SoakSizes {
  seed: number;
  faults: Fault[];
}
