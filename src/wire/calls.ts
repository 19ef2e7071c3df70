/** Unary gRPC calls with a timeout and typed failures. */
import {
  type CallOptions,
  type ClientUnaryCall,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { Result } from "true-myth";

/** Why a call returned no answer. */
export type CallFailure =
  /** The connection could not be opened, so the request was not sent. */
  | { kind: "unreachable"; message: string }
  /** The answer did not arrive in time; the peer may have executed the call. */
  | { kind: "timeout"; message: string }
  /** The connection broke; the peer may have executed the call. */
  | { kind: "broken"; message: string }
  /** The peer rejected the call without executing it: wrong token, unknown method. */
  | { kind: "rejected"; message: string };

/** A generated unary method. */
export type UnaryMethod<Q, A> = (
  request: Q,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, answer: A) => void,
) => ClientUnaryCall;

/** Timeout and cancellation of a call. */
export interface UnaryOptions {
  timeoutMs: number;
  signal?: AbortSignal;
}

/**
 * Number of timer slices that make up a timeout. The event loop reads arrived data between slices,
 * so a process that was not scheduled for a while does not treat an answer that arrived in time as
 * late.
 */
const TIMER_SLICES = 10;

/**
 * Makes a unary call.
 *
 * @param method Method of a generated client, bound to the client.
 * @param request The request message.
 * @param options Timeout and abort signal.
 * @returns The answer, or why there is none.
 */
export function callUnary<Q, A>(
  method: UnaryMethod<Q, A>,
  request: Q,
  options: UnaryOptions,
): Promise<Result<A, CallFailure>> {
  const { timeoutMs, signal } = options;
  return new Promise((resolve) => {
    let call: ClientUnaryCall | undefined;
    let isTimedOut = false;
    const cancel = () => call?.cancel();
    const stopTimer = startTimer(timeoutMs, () => {
      isTimedOut = true;
      cancel();
    });
    try {
      call = method(request, new Metadata(), {}, (error, answer) => {
        stopTimer();
        signal?.removeEventListener("abort", cancel);
        if (!error) return resolve(Result.ok(answer));
        resolve(Result.err(isTimedOut ? timeout() : failureOf(error)));
      });
    } catch (error) {
      stopTimer();
      // The gRPC library throws if the channel is closed, for example during shutdown.
      const message = error instanceof Error ? error.message : String(error);
      return resolve(Result.err({ kind: "unreachable", message }));
    }
    if (signal?.aborted) cancel();
    signal?.addEventListener("abort", cancel, { once: true });
  });
}

/**
 * Classifies a gRPC error.
 *
 * @param error Error of a call.
 * @returns The failure, which tells whether the request may have been sent.
 */
export function failureOf(error: ServiceError): CallFailure {
  const message = error.details || error.message;
  switch (error.code) {
    case status.UNAVAILABLE:
      return { kind: wasSent(message) ? "broken" : "unreachable", message };
    case status.DEADLINE_EXCEEDED:
      return { kind: "timeout", message };
    case status.UNAUTHENTICATED:
    case status.PERMISSION_DENIED:
    case status.UNIMPLEMENTED:
      return { kind: "rejected", message };
    default:
      return { kind: "broken", message };
  }
}

/**
 * @param failure Why a call returned no answer.
 * @returns Whether the connection was refused: no process listens at the peer's address any more.
 */
export function isConnectionRefused(failure: CallFailure): boolean {
  return failure.kind === "unreachable" &&
    failure.message.includes("ECONNREFUSED");
}

function timeout(): CallFailure {
  return { kind: "timeout", message: "No answer in time" };
}

/** Starts a timer of {@link TIMER_SLICES} slices; returns a function that cancels it. */
function startTimer(waitMs: number, onTimeout: () => void): () => void {
  let slicesLeft = TIMER_SLICES;
  const timer = setTimeout(() => {
    slicesLeft--;
    if (slicesLeft > 0) timer.refresh();
    else onTimeout();
  }, waitMs / TIMER_SLICES);
  return () => clearTimeout(timer);
}

// The gRPC library has no status code for this, and its messages may change with its version;
// channels_test.ts covers those of the version in use.
function wasSent(message: string): boolean {
  return !message.startsWith("No connection established") &&
    !message.startsWith("Channel closed before call started");
}
