/**
 * Takes clients' requests. The server is Node's own, which h3 builds on: paths and headers go to
 * backend servers byte by byte, and a router over parsed URLs would change them.
 */
import {
  createServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Clock, Logger } from "../base/mod.ts";
import { readRequest, retryHeaders } from "../platform/mod.ts";
import { isShed } from "./admission.ts";
import { retryAfterMs } from "./dispatch.ts";
import { Intake } from "./intake.ts";
import type { LoopLag } from "./loop_lag.ts";
import { ResponseSink } from "./response_sink.ts";
import type {
  AnswerSink,
  LocalAnswer,
  RoutedRequest,
  Served,
} from "./request.ts";
import type { RequestFacts, Route, ServiceShare } from "./model.ts";
import type { RoutingTable } from "./routing_table.ts";

/** Largest header section that is parsed, whatever the configuration allows. */
const PARSED_HEADER_BYTES = 64 * 1024;
/** Time that an answer needs to reach the client before its deadline. */
const ANSWER_MARGIN_MS = 15;
/** Without contact for longer, a route or key that isn't known may be a new one. */
const SURE_MS = 4000;
/** Clients come back this soon where no configuration is known yet. */
const NOT_READY_LEFT_MS = 1500;
/** Time from a stop until no connection is taken: two readiness questions missed, and a bit. */
const LISTEN_ON_MS = 2200;
/** Pause between looks at whether all requests are over. */
const DRAIN_POLL_MS = 50;

/** What an {@link Ingress} works with. */
export interface IngressOptions {
  clock: Clock;
  log: Logger;
  random: () => number;
  /** How far the process is behind. */
  lag: Pick<LoopLag, "ms">;
  /** The configuration in force, once one is known. */
  table(): RoutingTable | undefined;
  /** Time since the configuration was known to be the newest. */
  knowledgeAgeMs(): number;
  serve(request: RoutedRequest, sink: AnswerSink): Promise<Served>;
  /** A request is over. */
  onServed(request: RoutedRequest, served: Served): void;
  /** The router answered a request by itself. */
  onLocal(facts: RequestFacts, answer: LocalAnswer): void;
}

/** The address that clients connect to. */
export class Ingress {
  readonly #options: IngressOptions;
  readonly #server: HttpServer;
  readonly #intake: Intake;
  /** Open connections, with the requests under way on each. */
  readonly #connections = new Map<Socket, number>();
  #isDraining = false;
  /** Nothing new is served any more. */
  #isClosing = false;
  #active = 0;

  private constructor(options: IngressOptions) {
    this.#options = options;
    this.#intake = Intake.create({
      clock: options.clock,
      lagMs: () => options.lag.ms,
    });
    this.#server = createServer(
      { maxHeaderSize: PARSED_HEADER_BYTES, noDelay: true, keepAlive: true },
      (request, response) => {
        this.#handle(request, response).catch((error) => {
          // A fault of one request must not end those of all others.
          options.log.error({ event: "request_fault", error });
          response.destroy();
        });
      },
    );
    this.#server.requestTimeout = 0;
    this.#server.on("connection", (socket) => this.#track(socket));
  }

  /**
   * @param options Configuration and what serves requests.
   * @returns An ingress that does not listen yet.
   */
  static create(options: IngressOptions): Ingress {
    return new Ingress(options);
  }

  /** Requests under way. */
  get active(): number {
    return this.#active;
  }

  /** Whether a stop has begun. */
  get draining(): boolean {
    return this.#isDraining;
  }

  /**
   * @param ipAddress Where to listen.
   * @param port Where to listen.
   */
  async listen(ipAddress: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ipAddress, 1024, resolve);
    });
  }

  /** Puts the configured limits in force for connections. */
  applyLimits(): void {
    const limits = this.#options.table()?.limits;
    if (!limits) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * Ends in order: connections are taken until the balancer has noticed, requests are answered, and
   * what is left at the end is broken off.
   *
   * @param graceMs Time for all of it.
   * @param isBusy Whether the process has other work that it should end first.
   */
  async drain(graceMs: number, isBusy: () => boolean): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.nowMs() + graceMs;
    this.#isDraining = true;
    await clock.sleep(Math.min(LISTEN_ON_MS, graceMs));
    this.#isClosing = true;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    while ((this.#active > 0 || isBusy()) && clock.nowMs() < endMs) {
      this.#closeIdle();
      await clock.sleep(DRAIN_POLL_MS);
    }
    this.#server.closeAllConnections();
    await closed;
  }

  /** Stops listening and breaks off what is under way. */
  async close(): Promise<void> {
    if (!this.#server.listening) return;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  /**
   * Closes connections without a request under way, which would bring another one: kept ones whose
   * last answer began before the stop, and ones on which nothing was asked yet. The server's own
   * method leaves the latter open.
   */
  #closeIdle(): void {
    for (const [socket, active] of this.#connections) {
      if (active === 0) socket.destroy();
    }
  }

  #track(socket: Socket): void {
    this.#intake.accepted();
    this.#connections.set(socket, 0);
    socket.once("close", () => this.#connections.delete(socket));
  }

  #count(socket: Socket, change: 1 | -1): void {
    this.#active += change;
    const active = this.#connections.get(socket);
    if (active !== undefined) this.#connections.set(socket, active + change);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock } = this.#options;
    const readAtMs = clock.nowMs();
    // It came at some time since its socket, or those that wait to be accepted, were last looked at.
    const arrivedAtMs = readAtMs - this.#intake.behindMs / 2;
    const { socket } = request;
    this.#count(socket, 1);
    response.once("close", () => this.#count(socket, -1));
    response.once("finish", () => {
      // Its head may have promised to keep the connection, before the stop began.
      if (this.#isDraining) socket.destroySoon();
    });
    response.sendDate = false;
    const facts = readRequest(request);
    const sink = new ResponseSink(response, () => this.#isDraining);
    request.on("error", () => {
      // The client has gone: the response's end says so to whoever serves the request.
    });
    const table = this.#options.table();
    if (table && headBytes(request) > table.limits.headerBytes) {
      request.resume();
      response.shouldKeepAlive = false;
      const why = "headers_too_large";
      return this.#answer(facts, sink, { status: 431, why });
    }
    const maxBytes = table?.limits.bodyBytes ?? 0;
    const body = await readBody(request, table ? maxBytes : Infinity);
    if (body.kind === "cut") return;
    const enteredAtMs = clock.nowMs();
    await this.#intake.enter();
    if (sink.gone) return this.#options.onLocal(facts, "client_gone");
    if (this.#isClosing) return this.#refuse(facts, sink, "stopping");
    const nowMs = clock.nowMs();
    const behindMs = Math.max(this.#intake.behindMs, nowMs - enteredAtMs);
    if (isShed(behindMs, this.#options.random())) {
      return this.#refuse(facts, sink, "overloaded");
    }
    if (!table) return this.#refuse(facts, sink, "not_ready");
    if (body.kind === "too_large") {
      response.shouldKeepAlive = false;
      return this.#answer(facts, sink, { status: 413, why: "too_large" });
    }
    // A newer version may have come while the body did.
    const inForce = this.#options.table() ?? table;
    const routed = this.#route(facts, inForce);
    if (routed.kind === "refused") {
      return this.#deny(facts, sink, routed.why);
    }
    const timeLeftMs = Math.min(
      (facts.deadlineMs ?? Infinity) - ANSWER_MARGIN_MS,
      routed.route.timeoutMs,
    );
    const answerByMs = arrivedAtMs + timeLeftMs;
    if (answerByMs <= nowMs) return this.#refuse(facts, sink, "expired");
    const ready: RoutedRequest = {
      facts,
      route: routed.route,
      service: pickService(routed.route.shares, this.#options.random),
      workspace: routed.workspace,
      rawHeaders: request.rawHeaders,
      body: body.bytes,
      arrivedAtMs,
      answerByMs,
    };
    const served = await this.#options.serve(ready, sink);
    this.#options.onServed(ready, served);
  }

  #route(facts: RequestFacts, table: RoutingTable): Routed {
    const route = table.findRoute(facts.host, facts.target);
    if (!route) return { kind: "refused", why: "unknown_route" };
    const who = table.authenticate(route, facts.key);
    switch (who.kind) {
      case "unknown_key":
        return { kind: "refused", why: "unknown_key" };
      case "anonymous":
        return { kind: "routed", route };
      case "workspace":
        return { kind: "routed", route, workspace: who.workspace };
    }
  }

  /** Says that a route or key doesn't exist only if a newer configuration can't have brought it. */
  #deny(
    facts: RequestFacts,
    sink: AnswerSink,
    why: "unknown_route" | "unknown_key",
  ): void {
    if (this.#options.knowledgeAgeMs() > SURE_MS) {
      return this.#refuse(facts, sink, "unsure");
    }
    const status = why === "unknown_route" ? 404 : 401;
    this.#answer(facts, sink, { status, why });
  }

  #refuse(
    facts: RequestFacts,
    sink: AnswerSink,
    why: "not_ready" | "stopping" | "unsure" | "overloaded" | "expired",
  ): void {
    const leftMs = Math.min(facts.deadlineMs ?? Infinity, NOT_READY_LEFT_MS);
    const pauseMs = retryAfterMs(leftMs, this.#options.random);
    sink.send(503, retryHeaders(pauseMs), Buffer.alloc(0));
    this.#options.onLocal(facts, why);
  }

  #answer(
    facts: RequestFacts,
    sink: AnswerSink,
    { status, why }: { status: number; why: LocalAnswer },
  ): void {
    sink.send(status, [], Buffer.alloc(0));
    this.#options.onLocal(facts, why);
  }
}

type Routed =
  | { kind: "routed"; route: Route; workspace?: RoutedRequest["workspace"] }
  | { kind: "refused"; why: "unknown_route" | "unknown_key" };

type ReadBody =
  | { kind: "whole"; bytes: Buffer | undefined }
  | { kind: "too_large" }
  /** The client went before the end. */
  | { kind: "cut" };

/** Size of the request line and the header fields, as they were sent. */
function headBytes({ method, url, rawHeaders }: IncomingMessage): number {
  const line = `${method} ${url} HTTP/1.1\r\n`.length;
  // Names and values in turn, each with two more characters: ": " or the end of its line.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, line + 2);
}

/** Reads a whole body, so that it can be sent once more; bodies are bounded by the configuration. */
function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<ReadBody> {
  const hasBody = request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) return Promise.resolve({ kind: "whole", bytes: undefined });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) resolve({ kind: "too_large" });
      else chunks.push(chunk);
    });
    request.once(
      "end",
      () => resolve({ kind: "whole", bytes: Buffer.concat(chunks) }),
    );
    request.once("close", () => resolve({ kind: "cut" }));
  });
}

function pickService(shares: ServiceShare[], random: () => number): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  for (const { service, weight } of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares.at(-1)!.service;
}
