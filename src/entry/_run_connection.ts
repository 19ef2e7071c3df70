/** One gRPC stream of a run, with polled messages and waits that time out. */
import type { ClientDuplexStream, ServiceError } from "@grpc/grpc-js";
import {
  type CallFailure,
  type ChannelLease,
  failureOf,
  isConnectionRefused,
} from "../wire/mod.ts";
import type { RunDown, RunUp, StartRun } from "../wire/gen/cicadahitch.ts";

/** Why a wait ended. */
export type WaitResult = "readable" | "closed" | "silent" | "aborted";

/**
 * A timeout is split into this many timer intervals. Received messages are processed between them,
 * so that a process that was not scheduled for the whole timeout doesn't consider its peer
 * unresponsive.
 */
const WAIT_SLICES = 10;

/** One stream of a run to its agent. */
export class RunConnection {
  readonly #call: ClientDuplexStream<RunUp, RunDown>;
  readonly #signal: AbortSignal;
  readonly #onAbort = () => this.#endWait("aborted");
  #resume: ((wake: WaitResult) => void) | undefined;
  #timer: NodeJS.Timeout | undefined;
  #waitMs = 0;
  #slicesLeft = 0;
  #closed = false;
  #failure: CallFailure | undefined;

  private constructor(
    call: ClientDuplexStream<RunUp, RunDown>,
    signal: AbortSignal,
  ) {
    this.#call = call;
    this.#signal = signal;
    call.on("readable", () => this.#endWait("readable"));
    call.on("error", (error: ServiceError) => {
      this.#failure = failureOf(error);
    });
    call.on("status", () => {
      this.#closed = true;
      this.#endWait("readable");
    });
    signal.addEventListener("abort", this.#onAbort, { once: true });
  }

  /**
   * @param lease Channel to the agent.
   * @param start The first message to send.
   * @param signal Ends waits early when aborted.
   * @returns An open stream.
   */
  static open(
    lease: ChannelLease,
    start: StartRun,
    signal: AbortSignal,
  ): RunConnection {
    const connection = new RunConnection(lease.agent.run(), signal);
    connection.#call.write({ step: { $case: "start", value: start } });
    return connection;
  }

  /** The error that ended the stream; undefined if it is open or ended normally. */
  get failure(): CallFailure | undefined {
    return this.#failure;
  }

  /** Whether the agent's address refuses connections. */
  get isRefused(): boolean {
    return this.#failure !== undefined && isConnectionRefused(this.#failure);
  }

  /** Whether the stream has ended, normally or with an error. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Whether {@link poll} would return a message. */
  get hasMessage(): boolean {
    return this.#call.readableLength > 0;
  }

  /** @returns The next received message; undefined if there is none. */
  poll(): RunDown | undefined {
    return this.#call.read() ?? undefined;
  }

  /**
   * Waits until {@link poll} may return a message.
   *
   * @param waitMs Timeout in ms, after which the result is `silent`.
   * @returns Why the wait ended.
   */
  wait(waitMs: number): Promise<WaitResult> | WaitResult {
    if (this.#signal.aborted) return "aborted";
    if (this.#call.readableLength > 0) return "readable";
    if (this.#closed) return "closed";
    this.#armTimer(waitMs);
    return new Promise((resolve) => this.#resume = resolve);
  }

  /** Acknowledges all pieces below `nextSeq`. */
  ack(nextSeq: number): void {
    if (this.#closed) return;
    this.#call.write({ step: { $case: "ack", value: { nextSeq } } });
  }

  /** Closes the stream normally, after the run's end. */
  finish(): void {
    this.#release();
    if (!this.#closed) this.#call.end();
    this.#call.resume();
  }

  /** Cancels the stream; the run continues at the agent. */
  cut(): void {
    this.#release();
    if (!this.#closed) this.#call.cancel();
    this.#call.resume();
  }

  #endWait(wake: WaitResult): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.(wake);
  }

  #armTimer(waitMs: number): void {
    this.#slicesLeft = WAIT_SLICES;
    if (this.#timer && this.#waitMs === waitMs) {
      this.#timer.refresh();
      return;
    }
    clearTimeout(this.#timer);
    this.#waitMs = waitMs;
    this.#timer = setTimeout(() => this.#endSlice(), waitMs / WAIT_SLICES);
  }

  #endSlice(): void {
    this.#slicesLeft--;
    if (this.#slicesLeft > 0) this.#timer?.refresh();
    else this.#endWait("silent");
  }

  #release(): void {
    clearTimeout(this.#timer);
    this.#signal.removeEventListener("abort", this.#onAbort);
  }
}
