/** A request that is ready to be run, and the servers it may be run at. */
import type { AskRequest, Refusal, StartRun } from "../wire/gen/cicadahitch.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { Caller } from "./caller.ts";
import type { ServerMember } from "./members.ts";

/** When a request that may have run may be run again. */
export const Rerun = {
  Never: "never",
  /** When its first run is known to be over, or its agent process to be gone. */
  WhenOver: "when_over",
  Always: "always",
} as const;
/** One of {@link Rerun}. */
export type Rerun = (typeof Rerun)[keyof typeof Rerun];

/** A server to try next, chosen by a {@link Route}. */
export interface Target {
  member: ServerMember;
  /** Empty: no place is held. */
  holdId: string;
  /** Weights that were offered; left out: none were. */
  weightsVersion?: string;
  agentIncarnation: string;
  runId: string;
}

/** Chooses the servers of one request, one after the other. */
export interface Route {
  /** @returns The next server to try; undefined: none is left. */
  next(): Promise<Target | undefined>;
  /** Refusals heard while choosing. */
  readonly refusals: Refusal[];
  /** A target took the request. */
  placed(target: Target): void;
  /**
   * @param target A server that lacked the team's branch and has it now.
   * @returns The same server once more; undefined: it was tried again already.
   */
  again(target: Target): Target | undefined;
}

/** One request, ready to be run. */
export interface RunRequest {
  requestId: string;
  ask: AskRequest;
  call: NonNullable<StartRun["call"]>;
  route: Route;
  caller: Caller;
  sink: AnswerSink;
  rerun: Rerun;
  /** The caller gave a key that makes a repeat recognisable. */
  hasIdempotencyKey: boolean;
  windowPieces: number;
  /** Retries as a share of first tries. */
  retryShare: number;
  onStarted: () => void;
  onFirstPiece: () => void;
}

/** How a request was served. */
export interface DispatchReport {
  attempts: number;
  reattaches: number;
  address: string;
}
