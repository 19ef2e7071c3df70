/** Unary calls with a deadline and a typed failure. */
import {
  type CallOptions,
  type ClientUnaryCall,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { Result } from "true-myth";

/** Why a call gave no answer. */
export type CallFailure =
  /** No connection could be made, so nothing was sent. */
  | { kind: "unreachable"; message: string }
  /** No answer in time; it may have been acted on. */
  | { kind: "timeout"; message: string }
  /** The connection broke; it may have been acted on. */
  | { kind: "broken"; message: string }
  /** The peer refused the call itself, unread: a wrong token, an unknown method. */
  | { kind: "rejected"; message: string };

/** A generated unary method. */
export type UnaryMethod<Q, A> = (
  request: Q,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, answer: A) => void,
) => ClientUnaryCall;

/** When to give up on a call. */
export interface UnaryOptions {
  timeoutMs: number;
  signal?: AbortSignal;
}

/**
 * Parts of a wait. After each the process reads what has arrived, so one that was not scheduled does
 * not take its peer's answer for late.
 */
const WAIT_PARTS = 10;

/**
 * @param method The client's method, bound to it.
 * @param request The request.
 * @param options When to give up.
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
    let isLate = false;
    const cancel = () => call?.cancel();
    const stopTimer = startTimer(timeoutMs, () => {
      isLate = true;
      cancel();
    });
    try {
      call = method(request, new Metadata(), {}, (error, answer) => {
        stopTimer();
        signal?.removeEventListener("abort", cancel);
        if (!error) return resolve(Result.ok(answer));
        resolve(Result.err(isLate ? timeout() : failureOf(error)));
      });
    } catch (error) {
      stopTimer();
      // The library throws when the channel was closed, as on a stop.
      const message = error instanceof Error ? error.message : String(error);
      return resolve(Result.err({ kind: "unreachable", message }));
    }
    if (signal?.aborted) cancel();
    signal?.addEventListener("abort", cancel, { once: true });
  });
}

/**
 * @param error What a call ended with.
 * @returns Whether anything can have been sent, and why it failed.
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
 * @param failure Why a call gave no answer.
 * @returns Whether nobody listens at the peer's address, so that the process there is gone.
 */
export function isRefused(failure: CallFailure): boolean {
  return failure.kind === "unreachable" &&
    failure.message.includes("ECONNREFUSED");
}

function timeout(): CallFailure {
  return { kind: "timeout", message: "No answer in time" };
}

/** Returns how to stop it. */
function startTimer(waitMs: number, onEnd: () => void): () => void {
  let partsLeft = WAIT_PARTS;
  const timer = setTimeout(() => {
    partsLeft--;
    if (partsLeft > 0) timer.refresh();
    else onEnd();
  }, waitMs / WAIT_PARTS);
  return () => clearTimeout(timer);
}

// The library has no code for this; channels_test.ts pins the wording of its version.
function wasSent(message: string): boolean {
  return !message.startsWith("No connection established") &&
    !message.startsWith("Channel closed before call started");
}
