/**
 * Reads a run from its agent, completely and in order. A connection without progress is replaced, and
 * the run is reattached at the next missing piece. `run_decisions.ts` decides when a run ends.
 */
import type { Clock } from "../base/mod.ts";
import type {
  Pieces,
  Refusal,
  RunDown,
  RunEnd,
  RunStarted,
  StartRun,
} from "../wire/gen/cicadahitch.ts";
import { RunOutcome } from "../wire/gen/cicadahitch.ts";
import type { ChannelLease, ChannelPool } from "../wire/mod.ts";
import { AttachBackoff } from "./_attach_backoff.ts";
import { PieceCounter } from "./_piece_counter.ts";
import { RunConnection } from "./_run_connection.ts";
import { type CancelResult, cancelRun } from "./cancel_run.ts";
import { Execution } from "./errors.ts";
import { LossReason, type RunEvent, type RunLoss } from "./run_events.ts";

/** Dependencies and settings of a {@link RunStream}. */
export interface RunStreamOptions {
  channels: ChannelPool;
  clock: Clock;
  address: string;
  start: StartRun;
  /** The agent's incarnation from its offer; empty if unknown. */
  agentIncarnation: string;
  progressMs: number;
  /** Timeout of the agent's answer to an attach on a connection that was already in use. */
  probeMs: number;
  cancelTimeoutMs: number;
  /** Aborted when the caller disconnects or its deadline passes. */
  signal: AbortSignal;
}

const GONE_MESSAGE = "The agent's process is gone";
const ABORTED_MESSAGE = "The caller is gone or out of time";
/** Consecutive ends with missing pieces after which the run is reported as incomplete. */
const MAX_SHORT_ENDS = 3;

/** Reads one run until its end, or until it is abandoned. */
export class RunStream {
  readonly #options: RunStreamOptions;
  readonly #pieces: PieceCounter;
  readonly #backoff: AttachBackoff;
  #lease: ChannelLease;
  #connection: RunConnection;
  #agentIncarnation: string;
  #shortEnds = 0;
  #everStarted = false;
  /** Whether the agent has confirmed the run on the current connection. */
  #isConfirmed = false;
  #isReattached = false;
  #reattaches = 0;
  #repeated = false;
  /** Whether the run was reattached on a connection that may be dead. */
  #isProbing = false;

  private constructor(options: RunStreamOptions) {
    this.#options = options;
    this.#agentIncarnation = options.agentIncarnation;
    this.#backoff = AttachBackoff.create(options);
    this.#pieces = PieceCounter.create(options.start.windowPieces);
    this.#lease = options.channels.acquire(options.address);
    this.#connection = this.#open(options.start);
  }

  /**
   * @param options The agent, the run and timeouts.
   * @returns A stream whose start message has been sent to the agent.
   */
  static create(options: RunStreamOptions): RunStream {
    return new RunStream(options);
  }

  /** Number of reattaches of the run. */
  get reattaches(): number {
    return this.#reattaches;
  }

  /** Whether the agent has confirmed the run on any connection. */
  get hasStarted(): boolean {
    return this.#everStarted;
  }

  /** Whether a received message has not been read yet. */
  get hasMessage(): boolean {
    return this.#connection.hasMessage;
  }

  /** @returns The next event; after `end`, `refused` and `lost` the stream is closed. */
  async next(): Promise<RunEvent> {
    for (;;) {
      const message = this.#connection.poll();
      const event = message
        ? await this.#handleMessage(message)
        : await this.#waitForMore();
      if (event) return event;
    }
  }

  /** Records that the caller has consumed all events so far, and acknowledges them if due. */
  markConsumed(): void {
    if (this.#pieces.takeDueAck()) this.#connection.ack(this.#pieces.nextSeq);
  }

  /**
   * Stops reading the run and cancels it at the agent.
   *
   * @param message Reason for the cancellation.
   * @returns The loss, with whether the run was executed.
   */
  abandon(message: string): Promise<RunLoss> {
    return this.#cancelLost(LossReason.Aborted, message);
  }

  /**
   * Cancels the run at an agent that does not respond, to find out whether the run was executed.
   *
   * @param message Reason for the cancellation.
   * @returns The loss; undefined if the agent did not answer, so that the run can still be read.
   */
  async tryCancel(message: string): Promise<RunLoss | undefined> {
    const result = await this.#cancel(message);
    if (!result.answered && !result.agentGone) return undefined;
    this.#connection.cut();
    this.#lease.release();
    return this.#lossOf(LossReason.Withdrawn, message, result);
  }

  #open(start: StartRun): RunConnection {
    this.#isConfirmed = false;
    return RunConnection.open(this.#lease, start, this.#options.signal);
  }

  async #waitForMore(): Promise<RunEvent | undefined> {
    const wake = await this.#connection.wait(this.#waitMs);
    switch (wake) {
      case "readable":
        return undefined;
      case "aborted":
        return await this.#loseRun(LossReason.Aborted, ABORTED_MESSAGE);
      case "closed":
        return this.#wasNeverSent
          ? this.#loseUnsent()
          : await this.#handleSilence();
      case "silent":
        return await this.#handleSilence();
    }
  }

  get #waitMs(): number {
    if (this.#isConfirmed) return this.#backoff.pieceWaitMs;
    return this.#backoff.answerWaitMs({ isProbe: this.#isProbing });
  }

  #handleMessage(
    message: RunDown,
  ): Promise<RunEvent | undefined> | RunEvent | undefined {
    const step = message.step;
    switch (step?.$case) {
      case "started":
        return this.#handleStarted(step.value);
      case "head":
        return this.#isConfirmed
          ? { kind: "head", head: step.value }
          : undefined;
      case "pieces":
        return this.#isConfirmed ? this.#handlePieces(step.value) : undefined;
      case "end":
        return this.#isConfirmed || step.value.outcome !== RunOutcome.DONE
          ? this.#handleEnd(step.value)
          : undefined;
      case "refusal":
        return this.#handleRefusal(step.value);
      case undefined:
        return undefined;
    }
  }

  #handleStarted(
    started: RunStarted,
  ): Promise<RunEvent | undefined> | RunEvent | undefined {
    const isOurs = started.attempt === this.#options.start.attempt &&
      started.runId === this.#options.start.ask?.runId;
    if (!isOurs && !started.repeated) return this.#reattach();
    if (
      this.#everStarted && started.agentIncarnation !== this.#agentIncarnation
    ) {
      return this.#loseRun(LossReason.Forgotten, "The agent was restarted");
    }
    this.#agentIncarnation = started.agentIncarnation;
    this.#isConfirmed = true;
    this.#repeated ||= started.repeated;
    this.#backoff.answered();
    if (this.#everStarted) return undefined;
    this.#everStarted = true;
    this.#backoff.progressed();
    return { kind: "started", started };
  }

  #handlePieces(
    pieces: Pieces,
  ): Promise<RunEvent | undefined> | RunEvent | undefined {
    const known = this.#pieces.nextSeq - pieces.firstSeq;
    if (known < 0) return this.#reattach();
    if (known >= pieces.data.length) return undefined;
    const data = known === 0 ? pieces.data : pieces.data.slice(known);
    this.#pieces.add(data);
    this.#shortEnds = 0;
    this.#backoff.progressed();
    return { kind: "pieces", data };
  }

  #handleEnd(end: RunEnd): Promise<RunEvent | undefined> | RunEvent {
    const isDone = end.outcome === RunOutcome.DONE;
    if (isDone && end.pieceCount > this.#pieces.nextSeq) {
      return this.#handleShortEnd("The stream ended before its last piece");
    }
    if (isDone && end.pieceCount < this.#pieces.nextSeq) {
      return this.#loseRun(
        LossReason.Incomplete,
        "The stream has more pieces than its end counts",
      );
    }
    this.#connection.ack(this.#pieces.nextSeq);
    this.#connection.finish();
    this.#lease.release();
    return { kind: "end", end };
  }

  #handleRefusal(refusal: Refusal): Promise<RunEvent> | RunEvent {
    if (this.#isReattached && !this.#isConfirmed) {
      return this.#loseRun(LossReason.Forgotten, refusal.message);
    }
    this.#connection.finish();
    this.#lease.release();
    return { kind: "refused", refusal };
  }

  get #wasNeverSent(): boolean {
    const kind = this.#connection.failure?.kind;
    return !this.#isReattached && !this.#everStarted &&
      (kind === "unreachable" || kind === "rejected");
  }

  #loseUnsent(): RunEvent {
    this.#connection.finish();
    this.#lease.release();
    const message = this.#connection.failure?.message ?? "";
    const reason = LossReason.Unreachable;
    const execution = Execution.NotRun;
    const agentGone = false;
    return { kind: "lost", loss: { reason, execution, agentGone, message } };
  }

  async #handleSilence(): Promise<RunEvent | undefined> {
    const { isRefused, isClosed } = this.#connection;
    if (isRefused) return await this.#loseRun(LossReason.Gone, GONE_MESSAGE);
    if (this.#isProbing && !this.#isConfirmed) return this.#reconnect();
    this.#backoff.silent();
    if (isClosed) await this.#reattach();
    else if (this.#isConfirmed) this.#probe();
    else this.#reconnect();
    return { kind: "silent", silences: this.#backoff.silences };
  }

  #handleShortEnd(message: string): Promise<RunEvent | undefined> {
    this.#shortEnds++;
    if (this.#shortEnds > MAX_SHORT_ENDS) {
      return this.#loseRun(LossReason.Incomplete, message);
    }
    return this.#reattach();
  }

  /** Tells a dead connection from a slow engine: a live agent answers an attach immediately. */
  #probe(): void {
    this.#backoff.extendPieceWait();
    this.#attach({ isProbe: true });
  }

  async #reattach(): Promise<undefined> {
    const { clock, signal } = this.#options;
    const pauseMs = this.#backoff.takePauseMs();
    this.#connection.cut();
    if (pauseMs > 0) await clock.sleep(pauseMs, signal);
    this.#reconnect();
  }

  #reconnect(): undefined {
    this.#connection.cut();
    this.#lease = this.#options.channels.replace(this.#lease);
    this.#attach({ isProbe: false });
  }

  #attach({ isProbe }: { isProbe: boolean }): void {
    this.#connection.cut();
    this.#isProbing = isProbe;
    this.#isReattached = true;
    this.#reattaches++;
    this.#pieces.markAcknowledged();
    this.#connection = this.#open({
      ...this.#options.start,
      call: undefined,
      attachOnly: true,
      nextSeq: this.#pieces.nextSeq,
    });
  }

  async #loseRun(reason: LossReason, message: string): Promise<RunEvent> {
    return { kind: "lost", loss: await this.#cancelLost(reason, message) };
  }

  async #cancelLost(reason: LossReason, message: string): Promise<RunLoss> {
    this.#connection.cut();
    let result = reason === LossReason.Aborted && this.#backoff.silences === 0
      ? await this.#cancel(message)
      : undefined;
    if (!result?.answered) {
      this.#lease = this.#options.channels.replace(this.#lease);
      result = await this.#cancel(message);
    }
    this.#lease.release();
    return this.#lossOf(reason, message, result);
  }

  #lossOf(
    reason: LossReason,
    message: string,
    result: CancelResult,
  ): RunLoss {
    const agentGone = result.agentGone || reason === LossReason.Gone;
    const isUnsure = this.#repeated && result.execution === Execution.NotRun;
    const execution = isUnsure ? Execution.Unknown : result.execution;
    return { reason, execution, agentGone, message };
  }

  #cancel(message: string): Promise<CancelResult> {
    return cancelRun(this.#lease, {
      runId: this.#options.start.ask?.runId ?? "",
      issuedWallMs: this.#options.start.ask?.issuedWallMs,
      reason: message,
      agentIncarnation: this.#agentIncarnation,
      timeoutMs: this.#options.cancelTimeoutMs,
    });
  }
}
