/** HTTP client of one connection at a time that reports a reset as the failure of its answer. */
import type { Socket } from "node:net";
import {
  type buildConnector,
  Client,
  DecoratorHandler,
  type Dispatcher,
} from "undici";
import { onReset } from "../base/socket_reset.ts";

/** How the current connection has ended, as far as it has. */
interface ConnectionEnd {
  /** Whether the peer has ended or reset the connection. */
  isClosed: boolean;
  /** Resolves to whether the connection was reset; pending while it is open. */
  wasReset: Promise<boolean>;
}

/** Steps of an answer that undici reports. */
type ResponseSteps = Pick<
  Dispatcher.DispatchHandler,
  | "onRequestStart"
  | "onResponseStart"
  | "onResponseData"
  | "onResponseEnd"
  | "onResponseError"
>;
type StepArgs<Step extends keyof ResponseSteps> = Parameters<
  Required<ResponseSteps>[Step]
>;

class ConnectionReset extends Error {
  override readonly name = "ConnectionReset";
  readonly code = "ECONNRESET";
}

/**
 * A client whose answers without a declared length fail if their connection is reset. undici takes
 * both an orderly end and a reset of the connection for the end of such an answer.
 */
export class ResetClient extends Client {
  readonly #connection: { current: ConnectionEnd | undefined };

  private constructor(url: URL, options: Client.Options) {
    const connection: { current: ConnectionEnd | undefined } = {
      current: undefined,
    };
    const connect = options.connect as buildConnector.connector;
    super(url, {
      ...options,
      connect: (target, callback) =>
        connect(target, (...result) => {
          const socket = result[1];
          if (socket) connection.current = trackEnd(socket);
          callback(...result);
        }),
    });
    this.#connection = connection;
  }

  /**
   * @param url Origin of the server.
   * @param options Options of the client, with a connector function.
   * @returns A client that connects on its first call.
   */
  static create(url: URL, options: object): ResetClient {
    return new ResetClient(url, options);
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const connection = this.#connection;
    return super.dispatch(options, new ResetHandler(handler, connection));
  }
}

/** Replaces the end of an answer by a failure if its connection was reset. */
class ResetHandler implements Required<ResponseSteps> {
  /** A pool hands over handlers of undici's former interface, which this class adapts. */
  readonly #handler: ResponseSteps;
  readonly #connection: { current: ConnectionEnd | undefined };

  constructor(
    handler: Dispatcher.DispatchHandler,
    connection: { current: ConnectionEnd | undefined },
  ) {
    this.#handler = new DecoratorHandler(handler);
    this.#connection = connection;
  }

  onRequestStart(...args: StepArgs<"onRequestStart">): void {
    this.#handler.onRequestStart?.(...args);
  }

  onResponseStart(...args: StepArgs<"onResponseStart">): void {
    this.#handler.onResponseStart?.(...args);
  }

  onResponseData(...args: StepArgs<"onResponseData">): void {
    this.#handler.onResponseData?.(...args);
  }

  onResponseEnd(...args: StepArgs<"onResponseEnd">): void {
    const connection = this.#connection.current;
    // A body whose end is declared is complete while its connection is still open.
    if (!connection?.isClosed) return this.#handler.onResponseEnd?.(...args);
    void connection.wasReset.then((wasReset) => {
      if (!wasReset) return this.#handler.onResponseEnd?.(...args);
      const error = new ConnectionReset("Connection reset before the end");
      this.#handler.onResponseError?.(args[0], error);
    });
  }

  onResponseError(...args: StepArgs<"onResponseError">): void {
    this.#handler.onResponseError?.(...args);
  }
}

function trackEnd(socket: Socket): ConnectionEnd {
  let resolve: (wasReset: boolean) => void;
  const wasReset = new Promise<boolean>((done) => resolve = done);
  const end: ConnectionEnd = { isClosed: false, wasReset };
  // A reset that arrives with the last data is known before the close event, which follows the end.
  socket.once("close", () => resolve(false));
  onReset(socket, () => {
    end.isClosed = true;
    resolve(true);
  });
  socket.prependOnceListener("end", () => end.isClosed = true);
  return end;
}
