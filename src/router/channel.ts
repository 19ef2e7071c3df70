/**
 * Connections to one backend server. Each connection carries one request at a time and is reused only
 * after a complete, well-framed response. A request may ask for a connection that has carried no other
 * one: the first answer on it is its own.
 */
import type { Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { dial, type DialOptions } from "./dial.ts";
import { Exchange, type ExchangeChannel } from "./exchange.ts";
import { ServerConnections } from "./server_connections.ts";
import { onReset } from "../base/socket_reset.ts";
import { UnreadBudget } from "./unread_budget.ts";
import { WakeSignal } from "./wake_signal.ts";

export {
  type AnswerHead,
  type AnswerStep,
  type ChannelFailure,
  Exchange,
} from "./exchange.ts";

/** A request to send over a channel. */
export interface ChannelRequest {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer | undefined;
}

/** One connection, opened by its first request and reopened after the server has closed it. */
export class Channel implements ExchangeChannel {
  /** All connections to the server. */
  readonly connections: ServerConnections;
  readonly unread: UnreadBudget;
  readonly #client: Client;
  readonly #onRelease: (channel: Channel, isReusable: boolean) => void;
  #wasReset = false;
  #number = 0;
  #socket: Socket | undefined;
  /** The current connection has carried a request. */
  #isUsed = false;
  #exchange: Exchange | undefined;
  /** Bytes that were received on the current connection when its last exchange ended. */
  #releasedAtBytes = 0;

  constructor(
    options: ChannelOptions & { unread: UnreadBudget },
    connections: ServerConnections,
    onRelease: (channel: Channel, isReusable: boolean) => void,
  ) {
    this.connections = connections;
    this.unread = options.unread;
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
            this.#number = connections.add(socket);
            this.#detectReset(socket);
            this.#limitOverhead(socket);
            this.#isUsed = false;
            this.#releasedAtBytes = 0;
          }
          callback(...result);
        }),
    });
  }

  /** Bytes that were received on the current connection. */
  get receivedBytes(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Number of the current connection among those to the server. */
  get connectionNumber(): number {
    return this.#number;
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
    this.#exchange = exchange;
    this.#client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: request.body ?? null,
    }, exchange);
    return exchange;
  }

  /** @returns Whether the request that is sent now is the first one on the current connection. */
  begin(): boolean {
    const isFirst = !this.#isUsed;
    this.#isUsed = true;
    return isFirst;
  }

  /** @param isReusable Whether the connection may carry another request. */
  release(isReusable: boolean): void {
    this.#exchange = undefined;
    this.#releasedAtBytes = this.receivedBytes;
    this.#onRelease(this, isReusable);
  }

  /** Closes the connection. */
  close(): void {
    // Nothing needs to await this: the connection carries no exchange any more.
    void this.#client.destroy();
  }

  #limitOverhead(socket: Socket): void {
    this.#socket = socket;
    // undici reads from the socket in the same event; the exchange is aborted only after that.
    socket.on("readable", () => {
      queueMicrotask(() => {
        if (this.#exchange) this.#exchange.checkOverhead();
        // undici skips line breaks between answers, without end.
        else if (socket.bytesRead > this.#releasedAtBytes) socket.destroy();
      });
    });
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
  /** Shared by the connections to all servers; defaults to one of its own. */
  unread?: UnreadBudget;
}

/** Options of {@link ChannelPool.send}. */
export interface SendOptions {
  /** Notified of each step of the response; defaults to a signal of the exchange's own. */
  wake?: WakeSignal;
  /** Send the request as the first one on a new connection. */
  isFirst?: boolean;
}

/** All connections to one server. */
export class ChannelPool {
  /** All connections to the server. */
  readonly connections: ServerConnections;
  readonly #options: ChannelOptions & { unread: UnreadBudget };
  readonly #idle: Channel[] = [];
  readonly #busy = new Set<Channel>();
  #opened = 0;

  private constructor(options: ChannelOptions) {
    this.#options = { unread: UnreadBudget.create(), ...options };
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
   * @param options Who is notified, and which connection is used.
   * @returns The exchange, which must be read to its end or aborted.
   */
  send(
    request: ChannelRequest,
    { wake = WakeSignal.create(), isFirst = false }: SendOptions = {},
  ): Exchange {
    // The most recently used channel is taken, so that the others can reach their idle timeout.
    const idle = isFirst ? undefined : this.#idle.pop();
    const channel = idle ?? this.#open(isFirst);
    this.#busy.add(channel);
    return channel.send(request, wake);
  }

  /** Closes all idle connections. */
  closeIdle(): void {
    for (const channel of this.#idle.splice(0)) channel.close();
  }

  #open(isFirst: boolean): Channel {
    this.#opened++;
    const onRelease = (channel: Channel, isReusable: boolean) => {
      this.#busy.delete(channel);
      // Connections that are opened for one request each would pile up.
      const isKept = isReusable && (!isFirst || this.#idle.length === 0);
      if (isKept) this.#idle.push(channel);
      else channel.close();
    };
    return new Channel(this.#options, this.connections, onRelease);
  }
}
