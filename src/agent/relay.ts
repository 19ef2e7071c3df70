/** Copies the answer of a run that another agent has, for a key that was claimed there. */
import type { ClientDuplexStream, ServiceError } from "@grpc/grpc-js";
import type { Clock } from "../base/mod.ts";
import type { Claimant, ClaimEnd } from "../journal/mod.ts";
import {
  type PlainCall,
  type RunDown,
  type RunEnd,
  RunOutcome,
  type RunUp,
  type StartRun,
} from "../wire/gen/cicadahitch.ts";
import {
  type ChannelLease,
  type ChannelPool,
  failureOf,
  isRefused,
} from "../wire/mod.ts";
import type { Run } from "./run.ts";

/** What to read, and where. */
export interface RelayOptions {
  call: PlainCall;
  claimant: Claimant;
}

/** Reads runs of other agents. */
export interface Relay {
  /**
   * Ends a run with the answer of the claimant's run.
   *
   * @param run A run that waits.
   * @param options The call, and where the claimed run is.
   * @returns How the claimed run ended, or undefined when nobody can tell.
   */
  copy(run: Run, options: RelayOptions): Promise<ClaimEnd | undefined>;
}

/** What a {@link GrpcRelay} is made from. */
export interface GrpcRelayOptions {
  /** Channels to other agents. */
  channels: ChannelPool;
  clock: Clock;
  /** A connection without a message for this long is replaced, in ms. */
  silenceMs?: number;
}

/** What one connection to the claimant came to. */
type Reading =
  /** Nothing more will come; without an end, nobody can tell how the run ended. */
  | { kind: "over"; end: ClaimEnd | undefined }
  /** The connection brought nothing more; the run may go on. */
  | { kind: "quiet" };

const SILENCE_MS = 5000;
const WINDOW_PIECES = 64;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 2000;
const OVER: Reading = { kind: "over", end: undefined };
const QUIET: Reading = { kind: "quiet" };

/**
 * The relay over gRPC. The claimed run goes on while its agent or its service is silent, so it is
 * attached to again until the claimant says how it ended, its process is gone, or the deadline of
 * the run that waits for it is over.
 */
export class GrpcRelay implements Relay {
  readonly #options: Required<GrpcRelayOptions>;

  private constructor(options: Required<GrpcRelayOptions>) {
    this.#options = options;
  }

  /**
   * @param options Channels and times.
   * @returns A relay.
   */
  static create(options: GrpcRelayOptions): GrpcRelay {
    return new GrpcRelay({ silenceMs: SILENCE_MS, ...options });
  }

  async copy(run: Run, options: RelayOptions): Promise<ClaimEnd | undefined> {
    const { channels, clock } = this.#options;
    let lease = channels.acquire(options.claimant.address);
    let pauseMs = FIRST_PAUSE_MS;
    let reading = QUIET;
    while (!channels.isClosed && clock.nowMs() < run.deadlineAtMs) {
      const before = run.output.pieceCount;
      reading = await this.#readOnce(run, lease, options);
      if (reading.kind === "over") break;
      if (run.output.pieceCount > before) pauseMs = FIRST_PAUSE_MS;
      await clock.sleep(pauseMs);
      pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
      lease = channels.replace(lease);
    }
    lease.release();
    if (!run.output.ending) {
      run.end(RunOutcome.UNKNOWN, "The agent that has the call is gone");
    }
    return reading.kind === "over" ? reading.end : undefined;
  }

  async #readOnce(
    run: Run,
    lease: ChannelLease,
    options: RelayOptions,
  ): Promise<Reading> {
    const stream = lease.agent.run();
    const { silenceMs } = this.#options;
    const silence = setTimeout(() => stream.cancel(), silenceMs);
    stream.write({ step: { $case: "start", value: attachTo(run, options) } });
    try {
      return await read(run, stream, {
        incarnation: options.claimant.agentIncarnation,
        onMessage: () => silence.refresh(),
      });
    } catch (error) {
      return isRefused(failureOf(error as ServiceError)) ? OVER : QUIET;
    } finally {
      clearTimeout(silence);
      stream.cancel();
    }
  }
}

/** The claimant finds the run by the key in the call. */
function attachTo(run: Run, { call }: RelayOptions): StartRun {
  return {
    ask: run.ask,
    holdId: "",
    attempt: run.attempt,
    nextSeq: run.output.pieceCount,
    attachOnly: true,
    call: { $case: "plainCall", value: call },
    windowPieces: WINDOW_PIECES,
  };
}

async function read(
  run: Run,
  stream: ClientDuplexStream<RunUp, RunDown>,
  options: { incarnation: string; onMessage: () => void },
): Promise<Reading> {
  let isStarted = false;
  for await (const { step } of stream as AsyncIterable<RunDown>) {
    options.onMessage();
    switch (step?.$case) {
      case "started":
        if (step.value.agentIncarnation !== options.incarnation) {
          return OVER;
        }
        isStarted = true;
        break;
      case "head":
        run.output.setHead(step.value);
        break;
      case "pieces":
        if (step.value.firstSeq !== run.output.pieceCount) return QUIET;
        for (const piece of step.value.data) run.output.append(piece);
        acknowledge(stream, run.output.pieceCount);
        break;
      case "end":
        return { kind: "over", end: takeEnd(run, step.value) };
      case "refusal":
        if (!isStarted) return OVER;
        run.refuse(step.value);
        return { kind: "over", end: { kind: "not_run" } };
    }
  }
  return QUIET;
}

function acknowledge(
  stream: ClientDuplexStream<RunUp, RunDown>,
  nextSeq: number,
): void {
  stream.write({ step: { $case: "ack", value: { nextSeq } } });
}

function takeEnd(run: Run, end: RunEnd): ClaimEnd | undefined {
  const isWhole = end.pieceCount === run.output.pieceCount;
  if (end.outcome === RunOutcome.DONE && !isWhole) return undefined;
  run.end(end.outcome, end.message);
  const status = run.output.head?.status ?? 0;
  switch (end.outcome) {
    case RunOutcome.DONE:
    case RunOutcome.ANSWER_GONE:
      return { kind: "done", status };
    default:
      return { kind: "failed", status };
  }
}
