/**
 * Connections to one backend server. Each carries one request at a time and is used again only
 * after an answer that came whole and as announced.
 */
import type { IncomingHttpHeaders } from "node:http";
import { connect, type Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { Wake } from "./wake.ts";

/** What is sent over a channel. */
export interface ChannelRequest {
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
  body: Buffer | undefined;
}

/** Why an answer did not come whole. */
export type ChannelFailure =
  /** No connection could be made; the request was not sent. */
  | { kind: "unreachable"; message: string }
  /** It was sent, in whole or in part. */
  | { kind: "broken"; message: string };

/** Head of an answer. */
export interface AnswerHead {
  status: number;
  /** Names in lower case. */
  headers: IncomingHttpHeaders;
}

/** One step of an answer. */
export type AnswerStep =
  | { kind: "head"; head: AnswerHead }
  | { kind: "data"; bytes: Buffer }
  | { kind: "end" }
  | { kind: "failed"; failure: ChannelFailure };

/** A process that is behind by less has read what has come. */
const READ_MS = 50;
/** Bytes of an answer that wait for their reader before the server is held back. */
const READ_AHEAD_BYTES = 64 * 1024;

/** One request and its answer, read step by step. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #channel: Channel;
  readonly #steps: AnswerStep[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #queuedBytes = 0;
  readonly #wake: Wake;
  #aborted: Error | undefined;
  #sent = false;
  #done = false;

  constructor(channel: Channel, wake: Wake) {
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
   * @param waitMs Longest time to wait.
   * @returns The step, or nothing if none came in time.
   */
  async next(waitMs: number): Promise<AnswerStep | undefined> {
    if (this.#steps.length === 0) await this.#wake.wait(waitMs);
    return this.take();
  }

  /** @returns The next step, if it has come. */
  take(): AnswerStep | undefined {
    const step = this.#steps.shift();
    if (step?.kind === "data") this.#taken(step.bytes.length);
    return step;
  }

  /** Ends the exchange; its connection is closed, so that the server drops the request. */
  abort(): void {
    if (this.#done) return;
    const reason = new ExchangeAborted();
    this.#aborted = reason;
    this.#controller?.abort(reason);
    this.#finish(failed(this.#sent ? "broken" : "unreachable", reason.name));
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
    this.#push({ kind: "head", head: { status, headers } });
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#queuedBytes += chunk.length;
    if (this.#queuedBytes > READ_AHEAD_BYTES) controller.pause();
    this.#push({ kind: "data", bytes: chunk });
  }

  onResponseEnd(): void {
    this.#finish(
      // A body without a length ends with its connection; after a reset it is not known to be whole.
      this.#channel.wasReset
        ? failed("broken", "Connection reset before the end")
        : { kind: "end" },
    );
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const code = (error as { code?: string }).code ?? error.name;
    const kind = this.#sent ? "broken" : "unreachable";
    this.#finish(failed(kind, code));
  }

  #finish(step: AnswerStep): void {
    if (this.#done) return;
    this.#done = true;
    this.#channel.release(step.kind === "end");
    this.#push(step);
  }

  #push(step: AnswerStep): void {
    this.#steps.push(step);
    this.#wake.notify();
  }

  #taken(bytes: number): void {
    this.#queuedBytes -= bytes;
    if (this.#controller?.paused && this.#queuedBytes < READ_AHEAD_BYTES / 2) {
      this.#controller.resume();
    }
  }
}

/** One connection, opened with its first request and again where the server closed it. */
export class Channel {
  readonly #client: Client;
  readonly #onRelease: (channel: Channel, isSound: boolean) => void;
  #wasReset = false;

  constructor(
    options: ChannelOptions,
    onRelease: (channel: Channel, isSound: boolean) => void,
  ) {
    this.#onRelease = onRelease;
    this.#client = new Client(`http://${options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.idleMs,
      connect: (_target, callback) =>
        dial(options, (...result) => {
          const socket = result[1];
          if (socket) this.#observe(socket);
          callback(...result);
        }),
    });
  }

  /** Whether the present connection ended by a reset. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  /**
   * @param request What to send.
   * @param wake Told of each step of the answer.
   * @returns The exchange, to be read to its end or aborted.
   */
  send(request: ChannelRequest, wake: Wake): Exchange {
    const exchange = new Exchange(this, wake);
    this.#client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body ?? null,
    }, exchange);
    return exchange;
  }

  /** @param isSound Whether the connection may carry another request. */
  release(isSound: boolean): void {
    this.#onRelease(this, isSound);
  }

  /** Closes the connection. */
  close(): void {
    // Nothing waits for its end: the exchange on it is over.
    void this.#client.destroy();
  }

  /** The client takes a reset for the end of a body without a length; this tells them apart. */
  #observe(socket: Socket): void {
    this.#wasReset = false;
    socket.prependListener("error", () => {
      this.#wasReset = true;
    });
  }
}

/** Settings of the connections to one server. */
export interface ChannelOptions {
  /** `ip:port`. */
  address: string;
  connectMs: number;
  /** Time after which an idle connection is closed, unless the server names a shorter one. */
  idleMs: number;
  /** How far this process is behind with what has arrived; left out: not at all. */
  lagMs?: () => number;
}

/** All connections to one server. */
export class ChannelSet {
  readonly #options: ChannelOptions;
  readonly #idle: Channel[] = [];
  readonly #busy = new Set<Channel>();
  #opened = 0;

  private constructor(options: ChannelOptions) {
    this.#options = options;
  }

  /**
   * @param options Address and times.
   * @returns A set without connections.
   */
  static create(options: ChannelOptions): ChannelSet {
    return new ChannelSet(options);
  }

  /** Connections that carry a request. */
  get busy(): number {
    return this.#busy.size;
  }

  /** Channels made so far. */
  get opened(): number {
    return this.#opened;
  }

  /**
   * @param request What to send.
   * @param wake Told of each step of the answer.
   * @returns The exchange, to be read to its end or aborted.
   */
  send(request: ChannelRequest, wake = Wake.create()): Exchange {
    // The most recently used one, so that the others can time out.
    const channel = this.#idle.pop() ?? this.#open();
    this.#busy.add(channel);
    return channel.send(request, wake);
  }

  /** Closes the connections that are idle now. */
  closeIdle(): void {
    for (const channel of this.#idle.splice(0)) channel.close();
  }

  #open(): Channel {
    this.#opened++;
    return new Channel(this.#options, (channel, isSound) => {
      this.#busy.delete(channel);
      if (isSound) this.#idle.push(channel);
      else channel.close();
    });
  }
}

/** Undici's own connector looks at its timeouts every half second only. */
function dial(
  { address, connectMs, lagMs }: ChannelOptions,
  callback: buildConnector.Callback,
): void {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at);
  const port = Number(address.slice(at + 1));
  const socket = connect({ host, port, noDelay: true });
  let timer: NodeJS.Timeout;
  const wait = (ms: number) => {
    timer = setTimeout(() => {
      // While this process is behind, the answer may have come and not been read.
      const leftMs = lagMs?.() ?? 0;
      if (leftMs > READ_MS) wait(leftMs);
      else socket.destroy(new ConnectTimeout());
    }, ms);
  };
  wait(connectMs);
  const fail = (error: Error) => {
    clearTimeout(timer);
    callback(error, null);
  };
  socket.once("error", fail);
  socket.once("connect", () => {
    clearTimeout(timer);
    socket.off("error", fail);
    callback(null, socket);
  });
}

class ConnectTimeout extends Error {
  override readonly name = "ConnectTimeout";
  readonly code = "CONNECT_TIMEOUT";
}

class ExchangeAborted extends Error {
  override readonly name = "ExchangeAborted";
}

function failed(kind: ChannelFailure["kind"], message: string): AnswerStep {
  return { kind: "failed", failure: { kind, message } };
}
