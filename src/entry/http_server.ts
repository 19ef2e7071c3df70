/** HTTP listener for callers: routing, health checks and graceful shutdown. */
import {
  createServer,
  type IncomingMessage,
  maxHeaderSize,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { fromNodeHandler, H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { Result } from "true-myth";
import { ClientErrors } from "../base/client_errors.ts";
import type { ClientMemory, MemoryAccount } from "../base/client_memory.ts";
import {
  ConnectionGuard,
  type ConnectionLimits,
} from "../base/connection_guard.ts";
import type { Clock, Logger, Owned } from "../base/mod.ts";
import { Intake } from "../router/intake.ts";
import type { ListenFailure } from "../wire/mod.ts";
import { writeFailure } from "./answer_sink.ts";
import { notRun } from "./errors.ts";

/** Serves one request; its promise must not reject. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Settings and handlers of an {@link HttpServer}. */
export interface HttpServerOptions {
  /** `ip:port`; port 0 picks a free port. */
  address: string;
  clock: Clock;
  log: Logger;
  /** How long the head and body of a request may take to arrive, in ms. */
  requestTimeoutMs: number;
  /** Budget for what callers make the process hold. */
  memory: ClientMemory;
  chat: RequestHandler;
  text: RequestHandler;
  service: RequestHandler;
  models: RequestHandler;
  /** Metrics in the Prometheus text format. */
  metrics: () => string;
  /** Reason for failing `/readyz`; undefined if this entry is ready. */
  unreadyReason: () => string | undefined;
}

const CHAT_PATH = "/v1/chat/completions";
const TEXT_PATH = "/v1/completions";
/** Interval at which a drain checks whether all requests have ended. */
const DRAIN_POLL_MS = 10;
/** How long an idle keep-alive connection stays open. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Interval at which the time of requests is checked. */
const TIMEOUT_CHECK_MS = 1000;
const MAX_CONNECTIONS = 8192;
/** Limits of each connection. */
const CONNECTION_LIMITS: ConnectionLimits = {
  headerBytes: maxHeaderSize,
  headerTimeoutMs: 30_000,
  idleTimeoutMs: KEEP_ALIVE_TIMEOUT_MS,
};

/** HTTP server for callers. */
export class HttpServer implements Owned {
  readonly name = "http-server";
  readonly #options: HttpServerOptions;
  readonly #server: Server;
  readonly #intake: Intake;
  readonly #guard: ConnectionGuard;
  #address: string;
  #inFlight = 0;
  #isStopping = false;

  private constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#address = options.address;
    this.#intake = Intake.create({ clock: options.clock, lagMs: () => 0 });
    const handle = toNodeHandler(this.#routes());
    const direct = this.#directRoutes();
    const checks = { connectionsCheckingInterval: TIMEOUT_CHECK_MS };
    this.#server = createServer(checks, (request, response) => {
      const route = request.method === "POST"
        ? direct.get(request.url ?? "")
        : undefined;
      if (route) void route(request, response);
      else if (isDecodable(request.url)) void handle(request, response);
      else writeFailure(response, BAD_PATH);
    });
    const { clock, log } = options;
    ClientErrors.create(this.#server, { clock, log });
    this.#guard = ConnectionGuard.create(this.#server, {
      memory: options.memory,
      maxConnections: MAX_CONNECTIONS,
      limits: () => CONNECTION_LIMITS,
    });
    this.#server.on("connection", () => this.#intake.accepted());
    this.#server.requestTimeout = options.requestTimeoutMs;
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /**
   * @param options Address and handlers.
   * @returns A server that is not listening yet.
   */
  static create(options: HttpServerOptions): HttpServer {
    return new HttpServer(options);
  }

  /** `ip:port`; contains the actual port once {@link start} has resolved. */
  get address(): string {
    return this.#address;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** @returns The address of the listener, or why it could not be opened. */
  start(): Promise<Result<string, ListenFailure>> {
    const address = this.#options.address;
    const at = address.lastIndexOf(":");
    const host = address.slice(0, at).replace(/^\[|\]$/g, "");
    return new Promise((resolve) => {
      this.#server.once("error", ({ message }) => {
        resolve(Result.err({ kind: "listen_failed", address, message }));
      });
      this.#server.listen(Number(address.slice(at + 1)), host, () => {
        const { port } = this.#server.address() as AddressInfo;
        this.#address = `${address.slice(0, at)}:${port}`;
        resolve(Result.ok(this.#address));
      });
    });
  }

  /** Makes `/readyz` fail from now on; requests are still served. */
  markUnready(): void {
    this.#isStopping = true;
  }

  /**
   * Stops accepting connections and waits for the requests in flight to end.
   *
   * @param timeoutMs Longest wait; requests still in flight are cut off when the server is closed.
   */
  async drain(timeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + timeoutMs;
    this.#isStopping = true;
    this.#server.close();
    this.#server.closeIdleConnections();
    while (this.#inFlight > 0 && clock.nowMs() < untilMs) {
      await clock.sleep(DRAIN_POLL_MS);
    }
  }

  /**
   * @param request A request of this server.
   * @returns Its account; undefined if its connection is closed.
   */
  accountOf(request: IncomingMessage): MemoryAccount | undefined {
    return this.#guard.accountOf(request);
  }

  /** Closes the listener and all connections at once. */
  close(): void {
    this.#guard.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Routes of the most frequent requests; they bypass H3, which wraps each request in new objects. */
  #directRoutes(): ReadonlyMap<string, RequestHandler> {
    const { chat, text } = this.#options;
    return new Map([
      [CHAT_PATH, this.#trackInFlight(chat)],
      [TEXT_PATH, this.#trackInFlight(text)],
    ]);
  }

  #routes(): H3 {
    const { chat, text, service, models } = this.#options;
    return new H3({ debug: false, silent: true })
      .get("/healthz", () => "ok\n")
      .get(
        "/readyz",
        this.#toUntrackedHandler((response) => this.#writeReady(response)),
      )
      .get(
        "/metrics",
        this.#toUntrackedHandler((response) => this.#writeMetrics(response)),
      )
      .get("/v1/models", this.#toH3Handler(models))
      .post(CHAT_PATH, this.#toH3Handler(chat))
      .post(TEXT_PATH, this.#toH3Handler(text))
      .all("/services/**", this.#toH3Handler(service))
      .all("/v1/models", this.#toUntrackedHandler(writeMethodNotAllowed))
      .all(CHAT_PATH, this.#toUntrackedHandler(writeMethodNotAllowed))
      .all(TEXT_PATH, this.#toUntrackedHandler(writeMethodNotAllowed))
      .all("/**", this.#toUntrackedHandler(writeNotFound));
  }

  /** Counts requests in flight and delays them while connections wait to be accepted. */
  #trackInFlight(handler: RequestHandler): RequestHandler {
    return async (request, response) => {
      this.#inFlight++;
      response.once("close", () => this.#inFlight--);
      await this.#intake.waitForTurn();
      // The caller disconnected while the request was queued.
      if (response.destroyed) return;
      if (this.#isStopping) response.shouldKeepAlive = false;
      await handler(request, response);
    };
  }

  #toH3Handler(handler: RequestHandler) {
    const counted = this.#trackInFlight(handler);
    return fromNodeHandler((request, response) =>
      counted(request as IncomingMessage, response as ServerResponse)
    );
  }

  #toUntrackedHandler(write: (response: ServerResponse) => void) {
    return fromNodeHandler((_request, response) => {
      write(response as ServerResponse);
    });
  }

  #writeReady(response: ServerResponse): void {
    const reason = this.#isStopping
      ? "stopping"
      : this.#options.unreadyReason();
    response.writeHead(reason ? 503 : 200, {
      "content-type": "text/plain; charset=utf-8",
    });
    response.end(`${reason ?? "ready"}\n`);
  }

  #writeMetrics(response: ServerResponse): void {
    response.writeHead(200, {
      "content-type": "text/plain; version=0.0.4; charset=utf-8",
    });
    response.end(this.#options.metrics());
  }
}

const BAD_PATH = notRun("not_found", "The path is not well encoded");

function isDecodable(url = ""): boolean {
  try {
    decodeURIComponent(url.split("?", 1)[0]!);
    return true;
  } catch {
    return false;
  }
}

function writeNotFound(response: ServerResponse): void {
  writeFailure(response, notRun("not_found", "There is nothing at this path"));
}

function writeMethodNotAllowed(response: ServerResponse): void {
  const message = "The path takes another method";
  writeFailure(response, notRun("method_not_allowed", message));
}
