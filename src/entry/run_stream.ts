/**
 * A run at an agent as the entry reads it: complete, in order, and across connections. A connection
 * without progress is given up and the run attached to again at the next piece that is missing; see
 * `run_fate.ts` for what ends a run.
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
import { AttachPace } from "./_attach_pace.ts";
import { PieceCounter } from "./_piece_counter.ts";
import { RunConnection } from "./_run_connection.ts";
import { cancelRun, type CancelVerdict } from "./cancel_run.ts";
import { Execution } from "./errors.ts";
import { LossReason, type RunEvent, type RunLoss } from "./run_events.ts";

/** What a run needs. */
export interface RunStreamOptions {
  channels: ChannelPool;
  clock: Clock;
  address: string;
  start: StartRun;
  /** The agent's incarnation as its offer gave it; empty: not known. */
  agentIncarnation: string;
  progressMs: number;
  /** How long an agent may take to answer an attach on the same connection. */
  probeMs: number;
  cancelTimeoutMs: number;
  /** Aborted when the caller is gone or out of time. */
  signal: AbortSignal;
}

const GONE_MESSAGE = "The agent's process is gone";
const ABORTED_MESSAGE = "The caller is gone or out of time";
/** Ends in a row that don't fit the pieces, after which the agent's word is taken. */
const MAX_FALSE_ENDS = 3;

/** Reads one run until its end, or until it is abandoned. */
export class RunStream {
  readonly #options: RunStreamOptions;
  readonly #pieces: PieceCounter;
  readonly #pace: AttachPace;
  #lease: ChannelLease;
  #connection: RunConnection;
  #agentIncarnation: string;
  #falseEnds = 0;
  #everStarted = false;
  #startedHere = false;
  #attached = false;
  #reattaches = 0;
  #repeated = false;
  /** The run was attached to again on a connection that may be dead. */
  #isProbing = false;

  private constructor(options: RunStreamOptions) {
    this.#options = options;
    this.#agentIncarnation = options.agentIncarnation;
    this.#pace = AttachPace.create(options);
    this.#pieces = PieceCounter.create(options.start.windowPieces);
    this.#lease = options.channels.acquire(options.address);
    this.#connection = this.#open(options.start);
  }

  /**
   * @param options Where to run, and how long to wait.
   * @returns A run that is on its way to the agent.
   */
  static create(options: RunStreamOptions): RunStream {
    return new RunStream(options);
  }

  /** Times that the run was attached to again. */
  get reattaches(): number {
    return this.#reattaches;
  }

  /** Whether the agent ever said that it has the run. */
  get hasStarted(): boolean {
    return this.#everStarted;
  }

  /** Whether the agent has said something that was not read yet. */
  get hasMessage(): boolean {
    return this.#connection.hasMessage;
  }

  /** @returns The next event; after `end`, `refused` and `lost` the stream is closed. */
  async next(): Promise<RunEvent> {
    for (;;) {
      const message = this.#connection.poll();
      const event = message
        ? await this.#take(message)
        : await this.#waitForMore();
      if (event) return event;
    }
  }

  /** Says that the caller has taken all events given so far. */
  consumed(): void {
    if (this.#pieces.takeDue()) this.#connection.ack(this.#pieces.nextSeq);
  }

  /**
   * Gives up on the run and cancels it at the agent.
   *
   * @param message Why.
   * @returns Whether it was run.
   */
  abandon(message: string): Promise<RunLoss> {
    return this.#settle(LossReason.Aborted, message);
  }

  /**
   * Asks a silent agent by a cancellation.
   *
   * @param message Why.
   * @returns Whether it was run; undefined: nobody answered, and the run can be read on.
   */
  async withdraw(message: string): Promise<RunLoss | undefined> {
    const verdict = await this.#cancel(message);
    if (!verdict.answered && !verdict.agentGone) return undefined;
    this.#connection.cut();
    this.#lease.release();
    return this.#lossOf(LossReason.Withdrawn, message, verdict);
  }

  #open(start: StartRun): RunConnection {
    this.#startedHere = false;
    return RunConnection.open(this.#lease, start, this.#options.signal);
  }

  async #waitForMore(): Promise<RunEvent | undefined> {
    const wake = await this.#connection.wait(this.#waitMs);
    switch (wake) {
      case "readable":
        return undefined;
      case "aborted":
        return await this.#lose(LossReason.Aborted, ABORTED_MESSAGE);
      case "closed":
        return this.#wasNeverSent
          ? this.#refuseUnsent()
          : await this.#handleSilence();
      case "silent":
        return await this.#handleSilence();
    }
  }

  get #waitMs(): number {
    if (this.#startedHere) return this.#pace.pieceWaitMs;
    return this.#pace.answerWaitMs({ isProbe: this.#isProbing });
  }

  #take(
    message: RunDown,
  ): Promise<RunEvent | undefined> | RunEvent | undefined {
    const step = message.step;
    switch (step?.$case) {
      case "started":
        return this.#takeStarted(step.value);
      case "head":
        return this.#startedHere
          ? { kind: "head", head: step.value }
          : undefined;
      case "pieces":
        return this.#startedHere ? this.#takePieces(step.value) : undefined;
      case "end":
        return this.#startedHere || step.value.outcome !== RunOutcome.DONE
          ? this.#takeEnd(step.value)
          : undefined;
      case "refusal":
        return this.#takeRefusal(step.value);
      case undefined:
        return undefined;
    }
  }

  #takeStarted(
    started: RunStarted,
  ): Promise<RunEvent | undefined> | RunEvent | undefined {
    const isOurs = started.attempt === this.#options.start.attempt &&
      started.runId === this.#options.start.ask?.runId;
    if (!isOurs && !started.repeated) return this.#reopen();
    if (
      this.#everStarted && started.agentIncarnation !== this.#agentIncarnation
    ) {
      return this.#lose(LossReason.Forgotten, "The agent was restarted");
    }
    this.#agentIncarnation = started.agentIncarnation;
    this.#startedHere = true;
    this.#repeated ||= started.repeated;
    this.#pace.answered();
    if (this.#everStarted) return undefined;
    this.#everStarted = true;
    this.#pace.progressed();
    return { kind: "started", started };
  }

  #takePieces(
    pieces: Pieces,
  ): Promise<RunEvent | undefined> | RunEvent | undefined {
    const known = this.#pieces.nextSeq - pieces.firstSeq;
    if (known < 0) return this.#reopen();
    if (known >= pieces.data.length) return undefined;
    const data = known === 0 ? pieces.data : pieces.data.slice(known);
    this.#pieces.add(data);
    this.#falseEnds = 0;
    this.#pace.progressed();
    return { kind: "pieces", data };
  }

  #takeEnd(end: RunEnd): Promise<RunEvent | undefined> | RunEvent {
    const isDone = end.outcome === RunOutcome.DONE;
    if (isDone && end.pieceCount > this.#pieces.nextSeq) {
      return this.#handleFalseEnd("The stream ended before its last piece");
    }
    if (isDone && end.pieceCount < this.#pieces.nextSeq) {
      return this.#lose(
        LossReason.Incomplete,
        "The stream has more pieces than its end counts",
      );
    }
    this.#connection.ack(this.#pieces.nextSeq);
    this.#connection.finish();
    this.#lease.release();
    return { kind: "end", end };
  }

  #takeRefusal(refusal: Refusal): Promise<RunEvent> | RunEvent {
    if (this.#attached && !this.#startedHere) {
      return this.#lose(LossReason.Forgotten, refusal.message);
    }
    this.#connection.finish();
    this.#lease.release();
    return { kind: "refused", refusal };
  }

  get #wasNeverSent(): boolean {
    const kind = this.#connection.failure?.kind;
    return !this.#attached && !this.#everStarted &&
      (kind === "unreachable" || kind === "rejected");
  }

  #refuseUnsent(): RunEvent {
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
    if (isRefused) return await this.#lose(LossReason.Gone, GONE_MESSAGE);
    if (this.#isProbing && !this.#startedHere) return this.#attachAnew();
    this.#pace.silent();
    if (isClosed) await this.#reopen();
    else if (this.#startedHere) this.#probe();
    else this.#attachAnew();
    return { kind: "silent", silences: this.#pace.silences };
  }

  #handleFalseEnd(message: string): Promise<RunEvent | undefined> {
    this.#falseEnds++;
    if (this.#falseEnds > MAX_FALSE_ENDS) {
      return this.#lose(LossReason.Incomplete, message);
    }
    return this.#reopen();
  }

  /** Either the connection is dead or the engine is slow: an agent that is there answers at once. */
  #probe(): void {
    this.#pace.slow();
    this.#attach({ isProbe: true });
  }

  async #reopen(): Promise<undefined> {
    const { clock, signal } = this.#options;
    const pauseMs = this.#pace.takePauseMs();
    this.#connection.cut();
    if (pauseMs > 0) await clock.sleep(pauseMs, signal);
    this.#attachAnew();
  }

  #attachAnew(): undefined {
    this.#connection.cut();
    this.#lease = this.#options.channels.replace(this.#lease);
    this.#attach({ isProbe: false });
  }

  #attach({ isProbe }: { isProbe: boolean }): void {
    this.#connection.cut();
    this.#isProbing = isProbe;
    this.#attached = true;
    this.#reattaches++;
    this.#pieces.acknowledged();
    this.#connection = this.#open({
      ...this.#options.start,
      call: undefined,
      attachOnly: true,
      nextSeq: this.#pieces.nextSeq,
    });
  }

  async #lose(reason: LossReason, message: string): Promise<RunEvent> {
    return { kind: "lost", loss: await this.#settle(reason, message) };
  }

  async #settle(reason: LossReason, message: string): Promise<RunLoss> {
    this.#connection.cut();
    let verdict = reason === LossReason.Aborted && this.#pace.silences === 0
      ? await this.#cancel(message)
      : undefined;
    if (!verdict?.answered) {
      this.#lease = this.#options.channels.replace(this.#lease);
      verdict = await this.#cancel(message);
    }
    this.#lease.release();
    return this.#lossOf(reason, message, verdict);
  }

  #lossOf(
    reason: LossReason,
    message: string,
    verdict: CancelVerdict,
  ): RunLoss {
    const agentGone = verdict.agentGone || reason === LossReason.Gone;
    const isUnsure = this.#repeated && verdict.execution === Execution.NotRun;
    const execution = isUnsure ? Execution.Unknown : verdict.execution;
    return { reason, execution, agentGone, message };
  }

  #cancel(message: string): Promise<CancelVerdict> {
    return cancelRun(this.#lease, {
      runId: this.#options.start.ask?.runId ?? "",
      issuedWallMs: this.#options.start.ask?.issuedWallMs,
      reason: message,
      agentIncarnation: this.#agentIncarnation,
      timeoutMs: this.#options.cancelTimeoutMs,
    });
  }
}
