/** One request on a connection to a backend server, and its response. */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { ByteCollector } from "../base/mod.ts";
import { isFramed, isLastAnswer } from "./framing.ts";
import type { ServerConnections } from "./server_connections.ts";
import type { UnreadBudget } from "./unread_budget.ts";
import type { WakeSignal } from "./wake_signal.ts";

/** Why a response is incomplete. */
export type ChannelFailure =
  /** No connection could be established; the request was not sent. */
  | { kind: "unreachable"; message: string }
  /** The connection failed after the request was sent, completely or in part. */
  | { kind: "broken"; message: string };

/** Status and headers of a response. */
export interface AnswerHead {
  status: number;
  /** Header names are in lower case. */
  headers: IncomingHttpHeaders;
  /** A length or chunks declare the end of the body; otherwise the end of the connection does. */
  isFramed: boolean;
  /** No other request was sent on the connection before, so that this is no late answer to one. */
  isFirst: boolean;
}

/** One step of reading a response. */
export type AnswerStep =
  | { kind: "head"; head: AnswerHead }
  | { kind: "data"; bytes: Buffer }
  | { kind: "end" }
  | { kind: "failed"; failure: ChannelFailure };

/** Unread bytes of a response above which reading from the connection is paused (backpressure). */
const MAX_UNREAD_BYTES = 64 * 1024;

/**
 * Most bytes of a response that are no part of its body: heads of interim and final responses, chunk
 * lengths and extensions, trailers. undici limits header fields alone, and reads the rest without end.
 */
const MAX_OVERHEAD_BYTES = 1024 * 1024;
/** Chunks of a single byte have five other bytes; extensions may add some. */
const MAX_OVERHEAD_PER_BODY_BYTE = 8;

/** Codes of errors by which undici reports that the server has ended a connection. */
const CUT_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_SOCKET",
  "ECONNRESET",
  "EPIPE",
]);

/** The connection that carries an exchange. */
export interface ExchangeChannel {
  /** All connections to the server. */
  readonly connections: Pick<ServerConnections, "recordCut" | "stateAfterEnd">;
  /** Bytes that were received on the current connection. */
  readonly receivedBytes: number;
  /** Number of the current connection among those to the server. */
  readonly connectionNumber: number;
  /** Whether the current connection ended with a reset. */
  readonly wasReset: boolean;
  /** Bounds unread bytes of responses whose reading can't be paused. */
  readonly unread: UnreadBudget;
  /** @returns Whether the request that is sent now is the first one on the current connection. */
  begin(): boolean;
  /** @param isReusable Whether the connection may carry another request. */
  release(isReusable: boolean): void;
}

/** One request and its response, which is read step by step. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #channel: ExchangeChannel;
  readonly #steps = new StepQueue();
  #controller: Dispatcher.DispatchController | undefined;
  #unreadBytes = 0;
  #bodyBytes = 0;
  /** Bytes that were received on the connection before this response. */
  #receivedBefore = 0;
  #mayPause = false;
  #isCounted = true;
  readonly #wake: WakeSignal;
  #aborted: Error | undefined;
  #isFramed = false;
  #isFirst = false;
  #connectionNumber = 0;
  #sent = false;
  #done = false;

  constructor(channel: ExchangeChannel, wake: WakeSignal) {
    this.#channel = channel;
    this.#wake = wake;
  }

  /** Whether the request may have reached the server. */
  get sent(): boolean {
    return this.#sent;
  }

  /** Number of the connection among those to the server; 0 until the request is sent. */
  get connectionNumber(): number {
    return this.#connectionNumber;
  }

  /**
   * Waits for the next step.
   *
   * @param waitMs Timeout.
   * @returns The step, or undefined after the timeout.
   */
  async next(waitMs: number): Promise<AnswerStep | undefined> {
    if (this.#steps.isEmpty) await this.#wake.wait(waitMs);
    return this.take();
  }

  /** @returns The next step, if it has arrived. */
  take(): AnswerStep | undefined {
    const step = this.#steps.take();
    if (step?.kind === "data") this.#consumed(step.bytes.length);
    return step;
  }

  /** Cancels the exchange and closes its connection, so that the server drops the request. */
  abort(): void {
    this.#stopCounting();
    this.#abort(new ExchangeAborted());
  }

  /** Cancels the exchange if too many of the bytes received for it are no part of a body. */
  checkOverhead(): void {
    const receivedBytes = this.#channel.receivedBytes - this.#receivedBefore;
    const maxBytes = MAX_OVERHEAD_BYTES +
      MAX_OVERHEAD_PER_BODY_BYTE * this.#bodyBytes;
    if (receivedBytes - this.#bodyBytes > maxBytes) {
      this.#abort(new OverheadExceeded());
    }
  }

  #abort(reason: Error): void {
    if (this.#done) return;
    this.#aborted = reason;
    this.#controller?.abort(reason);
    this.#end(failed(this.#sent ? "broken" : "unreachable", reason.name));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#aborted) {
      controller.abort(this.#aborted);
      return;
    }
    this.#sent = true;
    this.#isFirst = this.#channel.begin();
    this.#connectionNumber = this.#channel.connectionNumber;
    this.#receivedBefore = this.#channel.receivedBytes;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    this.#isFramed = isFramed(status, headers);
    // undici throws if such a connection ends while reading from it is paused.
    this.#mayPause = this.#isFramed && !isLastAnswer(headers);
    const head = {
      status,
      headers,
      isFramed: this.#isFramed,
      isFirst: this.#isFirst,
    };
    this.#push({ kind: "head", head });
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#done) return;
    this.#unreadBytes += chunk.length;
    this.#bodyBytes += chunk.length;
    this.#push({ kind: "data", bytes: chunk });
    if (this.#mayPause) {
      if (this.#unreadBytes > MAX_UNREAD_BYTES) controller.pause();
      return;
    }
    const { unread } = this.#channel;
    unread.add(chunk.length);
    if (!unread.isExceededBy(this.#unreadBytes)) return;
    this.#stopCounting();
    this.#steps.dropData();
    // Before the end may arrive, which would complete an answer that lacks the dropped data.
    this.#abort(new UnreadExceeded());
  }

  /** The owner reads no more, or nothing is left to read. */
  #stopCounting(): void {
    if (!this.#mayPause) this.#channel.unread.add(-this.#unreadBytes);
    this.#unreadBytes = 0;
    this.#isCounted = false;
  }

  onResponseEnd(): void {
    if (this.#channel.wasReset) {
      this.#end(WAS_RESET);
    } else if (this.#isFramed) {
      this.#end({ kind: "end" });
    } else {
      void this.#endWithConnection();
    }
  }

  /** A server that crashes may close its connections like one that has finished its response. */
  async #endWithConnection(): Promise<void> {
    const state = await this.#channel.connections.stateAfterEnd();
    // A reset that arrived with the last data is known only after the end.
    if (this.#channel.wasReset) this.#end(WAS_RESET);
    else if (state === "ended") this.#end(failed("broken", "server_ended"));
    else this.#end({ kind: "end" });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const code = (error as { code?: string }).code ?? error.name;
    const kind = this.#sent ? "broken" : "unreachable";
    if (this.#sent && !this.#done && CUT_CODES.has(code)) {
      this.#channel.connections.recordCut();
    }
    this.#end(failed(kind, code));
  }

  #end(step: AnswerStep): void {
    if (this.#done) return;
    this.#done = true;
    this.#channel.release(step.kind === "end");
    this.#push(step);
  }

  #push(step: AnswerStep): void {
    this.#steps.push(step);
    this.#wake.notify();
  }

  #consumed(bytes: number): void {
    if (!this.#isCounted) return;
    this.#unreadBytes -= bytes;
    if (!this.#mayPause) this.#channel.unread.add(-bytes);
    if (this.#controller?.paused && this.#unreadBytes < MAX_UNREAD_BYTES / 2) {
      this.#controller.resume();
    }
  }
}

/** Steps that were not read yet. */
class StepQueue {
  #steps: AnswerStep[] = [];
  /** Bytes of the last step if it has those of several chunks. */
  #merged: ByteCollector | undefined;

  get isEmpty(): boolean {
    return this.#steps.length === 0;
  }

  /** @param step Next step; small chunks are merged, as each step would use far more memory. */
  push(step: AnswerStep): void {
    const last = this.#steps.at(-1);
    if (step.kind === "data" && last?.kind === "data") {
      const mergedBytes = this.#merged?.sizeBytes ?? last.bytes.length;
      if (mergedBytes + step.bytes.length <= MAX_UNREAD_BYTES) {
        return this.#merge(last.bytes, step.bytes);
      }
    }
    this.#endMerge();
    this.#steps.push(step);
  }

  /** @returns The first step, if there is one. */
  take(): AnswerStep | undefined {
    if (this.#steps.length === 1) this.#endMerge();
    return this.#steps.shift();
  }

  /** Drops all unread bytes of the body. */
  dropData(): void {
    this.#merged = undefined;
    this.#steps = this.#steps.filter(({ kind }) => kind !== "data");
  }

  #merge(lastBytes: Buffer, bytes: Buffer): void {
    if (!this.#merged) {
      this.#merged = ByteCollector.create();
      this.#merged.push(lastBytes);
    }
    this.#merged.push(bytes);
  }

  #endMerge(): void {
    const last = this.#steps.at(-1);
    if (!this.#merged || last?.kind !== "data") return;
    last.bytes = this.#merged.take();
    this.#merged = undefined;
  }
}

/** A body without a length ends when the connection closes; after a reset it may be incomplete. */
const WAS_RESET = failed("broken", "Connection reset before the end");

class ExchangeAborted extends Error {
  override readonly name = "ExchangeAborted";
}

class UnreadExceeded extends Error {
  override readonly name = "UnreadExceeded";
}

class OverheadExceeded extends Error {
  override readonly name = "OverheadExceeded";
}

function failed(kind: ChannelFailure["kind"], message: string): AnswerStep {
  return { kind: "failed", failure: { kind, message } };
}
