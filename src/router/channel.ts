/**
 * Connections to one backend server. Each connection carries one request at a time and is reused only
 * after a complete, well-framed response.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { dial, type DialOptions } from "./dial.ts";
import { isFramed, isLastAnswer } from "./framing.ts";
import { ServerConnections } from "./server_connections.ts";
import { onReset } from "../base/socket_reset.ts";
import { WakeSignal } from "./wake_signal.ts";

/** A request to send over a channel. */
export interface ChannelRequest {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer | undefined;
}

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
}

/** One step of reading a response. */
export type AnswerStep =
  | { kind: "head"; head: AnswerHead }
  | { kind: "data"; bytes: Buffer }
  | { kind: "end" }
  | { kind: "failed"; failure: ChannelFailure };

/** Unread bytes of a response above which reading from the connection is paused (backpressure). */
const MAX_UNREAD_BYTES = 64 * 1024;

/** One request and its response, which is read step by step. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #channel: Channel;
  readonly #steps: AnswerStep[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #unreadBytes = 0;
  #mayPause = false;
  readonly #wake: WakeSignal;
  #aborted: Error | undefined;
  #isFramed = false;
  #sent = false;
  #done = false;

  constructor(channel: Channel, wake: WakeSignal) {
    this.#channel = channel;
    this.#wake = wake;
  }

  /** Whether the request may have reached the server. */
  get sent(): boolean {
    return this.#sent;
  }

  /**
   * Waits for the next step.
   *
   * @param waitMs Timeout.
   * @returns The step, or undefined after the timeout.
   */
  async next(waitMs: number): Promise<AnswerStep | undefined> {
    if (this.#steps.length === 0) await this.#wake.wait(waitMs);
    return this.take();
  }

  /** @returns The next step, if it has arrived. */
  take(): AnswerStep | undefined {
    const step = this.#steps.shift();
    if (step?.kind === "data") this.#consumed(step.bytes.length);
    return step;
  }

  /** Cancels the exchange and closes its connection, so that the server drops the request. */
  abort(): void {
    if (this.#done) return;
    const reason = new ExchangeAborted();
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
    const head = { status, headers, isFramed: this.#isFramed };
    this.#push({ kind: "head", head });
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#unreadBytes += chunk.length;
    if (this.#mayPause && this.#unreadBytes > MAX_UNREAD_BYTES) {
      controller.pause();
    }
    this.#push({ kind: "data", bytes: chunk });
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
    this.#unreadBytes -= bytes;
    if (this.#controller?.paused && this.#unreadBytes < MAX_UNREAD_BYTES / 2) {
      this.#controller.resume();
    }
  }
}

/** One connection, opened by its first request and reopened after the server has closed it. */
export class Channel {
  /** All connections to the server. */
  readonly connections: ServerConnections;
  readonly #client: Client;
  readonly #onRelease: (channel: Channel, isReusable: boolean) => void;
  #wasReset = false;

  constructor(
    options: ChannelOptions,
    connections: ServerConnections,
    onRelease: (channel: Channel, isReusable: boolean) => void,
  ) {
    this.connections = connections;
    this.#onRelease = onRelease;
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.idleMs,
      connect: (_target, callback) =>
        dial(options, (...result) => {
          const socket = result[1];
          if (socket) {
            connections.add(socket);
            this.#detectReset(socket);
          }
          callback(...result);
        }),
    });
  }

  /** Whether the current connection ended with a reset. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  /**
   * @param request Request to send.
   * @param wake Notified of each step of the response.
   * @returns The exchange, which must be read to its end or aborted.
   */
  send(request: ChannelRequest, wake: WakeSignal): Exchange {
    const exchange = new Exchange(this, wake);
    this.#client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body ?? null,
    }, exchange);
    return exchange;
  }

  /** @param isReusable Whether the connection may carry another request. */
  release(isReusable: boolean): void {
    this.#onRelease(this, isReusable);
  }

  /** Closes the connection. */
  close(): void {
    // Nothing needs to await this: the connection carries no exchange any more.
    void this.#client.destroy();
  }

  /** Detects resets, which undici reports as the end of a body without a length. */
  #detectReset(socket: Socket): void {
    this.#wasReset = false;
    onReset(socket, () => {
      this.#wasReset = true;
    });
  }
}

/** Settings of the connections to one server. */
export interface ChannelOptions extends DialOptions {
  /** Time after which an idle connection is closed, unless the server announces a shorter one. */
  idleMs: number;
}

/** All connections to one server. */
export class ChannelPool {
  /** All connections to the server. */
  readonly connections: ServerConnections;
  readonly #options: ChannelOptions;
  readonly #idle: Channel[] = [];
  readonly #busy = new Set<Channel>();
  #opened = 0;

  private constructor(options: ChannelOptions) {
    this.#options = options;
    this.connections = ServerConnections.create(options.address);
  }

  /**
   * @param options Address and timeouts.
   * @returns A set without connections.
   */
  static create(options: ChannelOptions): ChannelPool {
    return new ChannelPool(options);
  }

  /** Number of connections that carry a request. */
  get busy(): number {
    return this.#busy.size;
  }

  /** Number of channels created so far. */
  get opened(): number {
    return this.#opened;
  }

  /**
   * @param request Request to send.
   * @param wake Notified of each step of the response.
   * @returns The exchange, which must be read to its end or aborted.
   */
  send(request: ChannelRequest, wake = WakeSignal.create()): Exchange {
    // The most recently used channel is taken, so that the others can reach their idle timeout.
    const channel = this.#idle.pop() ?? this.#open();
    this.#busy.add(channel);
    return channel.send(request, wake);
  }

  /** Closes all idle connections. */
  closeIdle(): void {
    for (const channel of this.#idle.splice(0)) channel.close();
  }

  #open(): Channel {
    this.#opened++;
    const onRelease = (channel: Channel, isReusable: boolean) => {
      this.#busy.delete(channel);
      if (isReusable) this.#idle.push(channel);
      else channel.close();
    };
    return new Channel(this.#options, this.connections, onRelease);
  }
}

/** A body without a length ends when the connection closes; after a reset it may be incomplete. */
const WAS_RESET = failed("broken", "Connection reset before the end");

class ExchangeAborted extends Error {
  override readonly name = "ExchangeAborted";
}

function failed(kind: ChannelFailure["kind"], message: string): AnswerStep {
  return { kind: "failed", failure: { kind, message } };
}
