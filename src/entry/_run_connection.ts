/** One gRPC stream of a run: messages are polled, and waiting has a limit. */
import type { ClientDuplexStream, ServiceError } from "@grpc/grpc-js";
import {
  type CallFailure,
  type ChannelLease,
  failureOf,
  isRefused,
} from "../wire/mod.ts";
import type { RunDown, RunUp, StartRun } from "../wire/gen/cicadahitch.ts";

/** Why a wait ended. */
export type Wake = "readable" | "closed" | "silent" | "aborted";

/**
 * Parts of a wait. Each ends with a look at what has arrived, so that a process that was not
 * scheduled for longer than the whole wait doesn't take its peer for silent.
 */
const WAIT_PARTS = 10;

/** One stream to an agent. */
export class RunConnection {
  readonly #call: ClientDuplexStream<RunUp, RunDown>;
  readonly #signal: AbortSignal;
  readonly #onAbort = () => this.#wake("aborted");
  #resume: ((wake: Wake) => void) | undefined;
  #timer: NodeJS.Timeout | undefined;
  #waitMs = 0;
  #partsLeft = 0;
  #closed = false;
  #failure: CallFailure | undefined;

  private constructor(
    call: ClientDuplexStream<RunUp, RunDown>,
    signal: AbortSignal,
  ) {
    this.#call = call;
    this.#signal = signal;
    call.on("readable", () => this.#wake("readable"));
    call.on("error", (error: ServiceError) => {
      this.#failure = failureOf(error);
    });
    call.on("status", () => {
      this.#closed = true;
      this.#wake("readable");
    });
    signal.addEventListener("abort", this.#onAbort, { once: true });
  }

  /**
   * @param lease Channel to the agent.
   * @param start First message.
   * @param signal Ends waits early.
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

  /** Why the stream ended; undefined for an ordinary end. */
  get failure(): CallFailure | undefined {
    return this.#failure;
  }

  /** Whether nobody listens at the agent's address. */
  get isRefused(): boolean {
    return this.#failure !== undefined && isRefused(this.#failure);
  }

  /** Whether the stream has ended, well or not. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Whether {@link poll} has something. */
  get hasMessage(): boolean {
    return this.#call.readableLength > 0;
  }

  /** @returns The next message, if one is there. */
  poll(): RunDown | undefined {
    return this.#call.read() ?? undefined;
  }

  /**
   * Waits until {@link poll} may have something.
   *
   * @param waitMs Longest wait; it ends as `silent`.
   * @returns Why the wait ended.
   */
  wait(waitMs: number): Promise<Wake> | Wake {
    if (this.#signal.aborted) return "aborted";
    if (this.#call.readableLength > 0) return "readable";
    if (this.#closed) return "closed";
    this.#armTimer(waitMs);
    return new Promise((resolve) => this.#resume = resolve);
  }

  /** Tells the agent that everything below `nextSeq` has been consumed. */
  ack(nextSeq: number): void {
    if (this.#closed) return;
    this.#call.write({ step: { $case: "ack", value: { nextSeq } } });
  }

  /** Ends the stream in good order, after the run's end. */
  finish(): void {
    this.#release();
    if (!this.#closed) this.#call.end();
    this.#call.resume();
  }

  /** Cuts the stream; the run goes on at the agent. */
  cut(): void {
    this.#release();
    if (!this.#closed) this.#call.cancel();
    this.#call.resume();
  }

  #wake(wake: Wake): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.(wake);
  }

  #armTimer(waitMs: number): void {
    this.#partsLeft = WAIT_PARTS;
    if (this.#timer && this.#waitMs === waitMs) {
      this.#timer.refresh();
      return;
    }
    clearTimeout(this.#timer);
    this.#waitMs = waitMs;
    this.#timer = setTimeout(() => this.#endPart(), waitMs / WAIT_PARTS);
  }

  #endPart(): void {
    this.#partsLeft--;
    if (this.#partsLeft > 0) this.#timer?.refresh();
    else this.#wake("silent");
  }

  #release(): void {
    clearTimeout(this.#timer);
    this.#signal.removeEventListener("abort", this.#onAbort);
  }
}
