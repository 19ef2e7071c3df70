/** Copies the answer of a run on another agent, which has claimed the run's idempotency key. */
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
  isConnectionRefused,
} from "../wire/mod.ts";
import type { Run } from "./run.ts";

/** The call, and the agent that claimed its key. */
export interface RelayOptions {
  call: PlainCall;
  claimant: Claimant;
}

/** Copies runs of other agents. */
export interface Relay {
  /**
   * Copies the answer of the claimant's run into a local run, and ends the local run.
   *
   * @param run A waiting local run.
   * @param options The call, and the claimant of its key.
   * @returns How the claimant's run ended, or undefined if this can't be determined.
   */
  copy(run: Run, options: RelayOptions): Promise<ClaimEnd | undefined>;
}

/** Dependencies and timeout of a {@link GrpcRelay}. */
export interface GrpcRelayOptions {
  /** Channels to other agents. */
  channels: ChannelPool;
  clock: Clock;
  /** A connection without a message for this time is replaced. */
  silenceTimeoutMs?: number;
}

/** Result of reading from one connection to the claimant. */
type ReadResult =
  /** The run is over; without an `end`, it is unknown how it ended. */
  | { kind: "over"; end: ClaimEnd | undefined }
  /** The connection failed or closed; the run may continue. */
  | { kind: "quiet" };

const SILENCE_TIMEOUT_MS = 5000;
/** Maximum number of pieces that the claimant sends without acknowledgement. */
const WINDOW_PIECES = 64;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;
const UNKNOWN_END: ReadResult = { kind: "over", end: undefined };
const DISCONNECTED: ReadResult = { kind: "quiet" };

/**
 * Relay over gRPC. The claimant's run may continue while its agent or service sends nothing, so the
 * relay reconnects with backoff until the claimant reports the end of the run, another process has
 * taken the claimant's place, or the deadline of the local run has passed.
 */
export class GrpcRelay implements Relay {
  readonly #options: Required<GrpcRelayOptions>;

  private constructor(options: Required<GrpcRelayOptions>) {
    this.#options = options;
  }

  /**
   * @param options Channels, clock and timeout.
   * @returns A relay.
   */
  static create(options: GrpcRelayOptions): GrpcRelay {
    return new GrpcRelay({ silenceTimeoutMs: SILENCE_TIMEOUT_MS, ...options });
  }

  async copy(run: Run, options: RelayOptions): Promise<ClaimEnd | undefined> {
    const { channels, clock } = this.#options;
    let lease = channels.acquire(options.claimant.address);
    let backoffMs = INITIAL_BACKOFF_MS;
    let result = DISCONNECTED;
    while (!channels.isClosed && clock.nowMs() < run.deadlineAtMs) {
      const piecesBefore = run.output.pieceCount;
      result = await this.#readOnce(run, lease, options);
      if (result.kind === "over") break;
      if (run.output.pieceCount > piecesBefore) backoffMs = INITIAL_BACKOFF_MS;
      await clock.sleep(backoffMs);
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
      lease = channels.replace(lease);
    }
    lease.release();
    if (!run.output.ending) {
      run.end(RunOutcome.UNKNOWN, "The agent that has the call is gone");
    }
    return result.kind === "over" ? result.end : undefined;
  }

  async #readOnce(
    run: Run,
    lease: ChannelLease,
    options: RelayOptions,
  ): Promise<ReadResult> {
    const stream = lease.agent.run();
    const { silenceTimeoutMs } = this.#options;
    const silenceTimer = setTimeout(() => stream.cancel(), silenceTimeoutMs);
    stream.write({
      step: { $case: "start", value: buildAttachRequest(run, options) },
    });
    try {
      return await readStream(run, stream, {
        incarnation: options.claimant.agentIncarnation,
        onMessage: () => silenceTimer.refresh(),
      });
    } catch (error) {
      return isConnectionRefused(failureOf(error as ServiceError))
        ? UNKNOWN_END
        : DISCONNECTED;
    } finally {
      clearTimeout(silenceTimer);
      stream.cancel();
    }
  }
}

/** Builds the message that attaches to the claimant's run, which is found by the call's key. */
function buildAttachRequest(run: Run, { call }: RelayOptions): StartRun {
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

async function readStream(
  run: Run,
  stream: ClientDuplexStream<RunUp, RunDown>,
  options: { incarnation: string; onMessage: () => void },
): Promise<ReadResult> {
  let isStarted = false;
  for await (const { step } of stream as AsyncIterable<RunDown>) {
    options.onMessage();
    switch (step?.$case) {
      case "started":
        if (step.value.agentIncarnation !== options.incarnation) {
          return UNKNOWN_END;
        }
        isStarted = true;
        break;
      case "head":
        run.output.setHead(step.value);
        break;
      case "pieces":
        if (step.value.firstSeq !== run.output.pieceCount) return DISCONNECTED;
        for (const piece of step.value.data) run.output.append(piece);
        acknowledge(stream, run.output.pieceCount);
        break;
      case "end":
        return { kind: "over", end: applyEnd(run, step.value) };
      case "refusal":
        if (!isStarted) return UNKNOWN_END;
        run.refuse(step.value);
        return { kind: "over", end: { kind: "not_run" } };
    }
  }
  return DISCONNECTED;
}

function acknowledge(
  stream: ClientDuplexStream<RunUp, RunDown>,
  nextSeq: number,
): void {
  stream.write({ step: { $case: "ack", value: { nextSeq } } });
}

function applyEnd(run: Run, end: RunEnd): ClaimEnd | undefined {
  const isComplete = end.pieceCount === run.output.pieceCount;
  if (end.outcome === RunOutcome.DONE && !isComplete) return undefined;
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
