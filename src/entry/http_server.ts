/** The callers' HTTP listener: routes, health, and the planned stop. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { fromNodeHandler, H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { Result } from "true-myth";
import type { Clock, Owned } from "../base/mod.ts";
import { Intake } from "../router/intake.ts";
import type { ListenFailure } from "../wire/mod.ts";
import { writeFailure } from "./answer_sink.ts";
import { notRun } from "./errors.ts";

/** Serves one request; must not throw. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** What the listener serves. */
export interface HttpServerOptions {
  /** `ip:port`; port 0: any free one. */
  address: string;
  clock: Clock;
  /** Longest time for a request's head and body to come, in ms. */
  requestTimeoutMs: number;
  chat: RequestHandler;
  text: RequestHandler;
  service: RequestHandler;
  models: RequestHandler;
  /** Metrics as Prometheus text. */
  metrics: () => string;
  /** Why requests should go to other entries; undefined: this one is ready. */
  unreadyReason: () => string | undefined;
}

const CHAT_PATH = "/v1/chat/completions";
const TEXT_PATH = "/v1/completions";
const POLL_MS = 10;
const KEEP_ALIVE_MS = 65_000;

/** Serves callers. */
export class HttpServer implements Owned {
  readonly name = "http-server";
  readonly #options: HttpServerOptions;
  readonly #server: Server;
  readonly #intake: Intake;
  #address: string;
  #inFlight = 0;
  #isStopping = false;

  private constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#address = options.address;
    this.#intake = Intake.create({ clock: options.clock, lagMs: () => 0 });
    const handle = toNodeHandler(this.#routes());
    const direct = this.#directRoutes();
    this.#server = createServer((request, response) => {
      const route = request.method === "POST"
        ? direct.get(request.url ?? "")
        : undefined;
      if (route) void route(request, response);
      else if (isDecodable(request.url)) void handle(request, response);
      else writeFailure(response, BAD_PATH);
    });
    this.#server.on("connection", () => this.#intake.accepted());
    this.#server.requestTimeout = options.requestTimeoutMs;
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /**
   * @param options Address and handlers.
   * @returns A listener that is not open yet.
   */
  static create(options: HttpServerOptions): HttpServer {
    return new HttpServer(options);
  }

  /** `ip:port`; after {@link start} with the port that was chosen. */
  get address(): string {
    return this.#address;
  }

  /** Requests that are being served. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** @returns The address listened on, or why it could not be opened. */
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

  /** Fails `/readyz` from now on; requests are still served. */
  becomeUnready(): void {
    this.#isStopping = true;
  }

  /**
   * Stops accepting connections and waits for requests to end.
   *
   * @param timeoutMs After this long, what is left is cut.
   */
  async drain(timeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + timeoutMs;
    this.#isStopping = true;
    this.#server.close();
    this.#server.closeIdleConnections();
    while (this.#inFlight > 0 && clock.nowMs() < untilMs) {
      await clock.sleep(POLL_MS);
    }
  }

  /** Closes at once. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What nearly every request asks for goes past the router, which wraps each one anew. */
  #directRoutes(): ReadonlyMap<string, RequestHandler> {
    const { chat, text } = this.#options;
    return new Map([
      [CHAT_PATH, this.#counted(chat)],
      [TEXT_PATH, this.#counted(text)],
    ]);
  }

  #routes(): H3 {
    const { chat, text, service, models } = this.#options;
    return new H3({ debug: false, silent: true })
      .get("/healthz", () => "ok\n")
      .get("/readyz", this.#plain((response) => this.#writeReady(response)))
      .get("/metrics", this.#plain((response) => this.#writeMetrics(response)))
      .get("/v1/models", this.#routed(models))
      .post(CHAT_PATH, this.#routed(chat))
      .post(TEXT_PATH, this.#routed(text))
      .all("/services/**", this.#routed(service))
      .all("/v1/models", this.#plain(writeMethodNotAllowed))
      .all(CHAT_PATH, this.#plain(writeMethodNotAllowed))
      .all(TEXT_PATH, this.#plain(writeMethodNotAllowed))
      .all("/**", this.#plain(writeNotFound));
  }

  #counted(handler: RequestHandler): RequestHandler {
    return async (request, response) => {
      this.#inFlight++;
      response.once("close", () => this.#inFlight--);
      await this.#intake.enter();
      // Its caller left before it could be served.
      if (response.destroyed) return;
      if (this.#isStopping) response.shouldKeepAlive = false;
      await handler(request, response);
    };
  }

  #routed(handler: RequestHandler) {
    const counted = this.#counted(handler);
    return fromNodeHandler((request, response) =>
      counted(request as IncomingMessage, response as ServerResponse)
    );
  }

  #plain(write: (response: ServerResponse) => void) {
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
