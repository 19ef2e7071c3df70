/**
 * HTTP listener for client requests. It uses Node's server, on which h3 is built, directly: paths and
 * headers are forwarded byte for byte, and a framework that routes parsed URLs would change them.
 */
import {
  createServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { ClientErrors } from "../base/client_errors.ts";
import type { ClientMemory } from "../base/client_memory.ts";
import {
  ConnectionGuard,
  type ConnectionLimits,
} from "../base/connection_guard.ts";
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import { readRequest } from "../platform/mod.ts";
import { shouldShed } from "./admission.ts";
import { checkHead, findRoute, receiveBody, timeLeftMs } from "./arrival.ts";
import { ClientConnections } from "./client_connections.ts";
import { ConnectionGate } from "./connection_gate.ts";
import { HeldAnswers } from "./held_answers.ts";
import { Intake } from "./intake.ts";
import { LocalAnswers } from "./local_answers.ts";
import type { LoopLag } from "./loop_lag.ts";
import { abortResponse, endUnanswered, ResponseSink } from "./response_sink.ts";
import type {
  AnswerSink,
  LocalAnswer,
  RoutedRequest,
  ServeResult,
} from "./request.ts";
import type { RequestFacts } from "./model.ts";
import { pickService } from "./pick_service.ts";
import type { RoutingTable } from "./routing_table.ts";

/** Limits of connections until the first configuration is loaded. */
const UNCONFIGURED_LIMITS: ConnectionLimits = {
  headerBytes: 64 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};
/** Connections are accepted this long after a stop begins: two readiness checks and a margin. */
const DRAIN_LISTEN_MS = 2200;
/** Interval at which a draining ingress checks whether all requests have ended. */
const DRAIN_POLL_MS = 50;
/** Time after the grace time in which the last answers reach their clients. */
const FLUSH_MS = 200;
/** Least number of polls in that time: in each, timers that are due may run. */
const MIN_FLUSH_TURNS = 3;

/** Dependencies of an {@link Ingress}. */
export interface IngressOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  random: () => number;
  /** Event-loop lag of the process. */
  lag: Pick<LoopLag, "ms">;
  /** Budget for what clients make the process hold. */
  memory: ClientMemory;
  /** Most bytes of whole answers that clients have not taken. */
  maxHeldBytes: number;
  /** Most client connections that are open at the same time. */
  maxConnections: number;
  /** Whether other entries have room for more requests. */
  peersHaveRoom(): boolean;
  /** The configuration in force; undefined until the first one is loaded. */
  table(): RoutingTable | undefined;
  /** Time since the configuration was last confirmed to be the newest. */
  knowledgeAgeMs(): number;
  serve(request: RoutedRequest, sink: AnswerSink): Promise<ServeResult>;
  /** Called when a routed request has ended. */
  onServed(request: RoutedRequest, served: ServeResult): void;
  /** Called when the entry answered a request itself, without a backend server. */
  onLocalAnswer(facts: RequestFacts, answer: LocalAnswer): void;
}

/** HTTP server that accepts, checks and routes client requests. */
export class Ingress {
  readonly #options: IngressOptions;
  readonly #server: HttpServer;
  readonly #gate: ConnectionGate;
  readonly #guard: ConnectionGuard;
  readonly #held: HeldAnswers;
  readonly #intake: Intake;
  readonly #answers: LocalAnswers;
  readonly #connections = ClientConnections.create();
  #isDraining = false;
  #drainEndMs = Infinity;
  /** New requests are refused. */
  #isClosing = false;
  /** The remaining requests get no answer of a server, and connections are being closed. */
  #isAborting = false;

  private constructor(options: IngressOptions) {
    this.#options = options;
    this.#gate = ConnectionGate.create(options);
    this.#held = HeldAnswers.create({
      maxBytes: options.maxHeldBytes,
      abort: abortResponse,
    });
    this.#answers = LocalAnswers.create(options);
    this.#intake = Intake.create({
      clock: options.clock,
      lagMs: () => options.lag.ms,
      isClosing: () => this.#gate.isClosing,
    });
    this.#server = createServer(
      {
        maxHeaderSize: UNCONFIGURED_LIMITS.headerBytes,
        noDelay: true,
        keepAlive: true,
      },
      (request, response) => {
        this.#handle(request, response).catch((error) => {
          // An exception in one request must not crash the process and fail the others.
          options.log.error({ event: "request_fault", error });
          abortResponse(response);
        });
      },
    );
    this.#server.requestTimeout = 0;
    // close() would call it, and cut answers that their clients have not read yet.
    this.#server.closeIdleConnections = () => {};
    // Its body is read, or refused, in the same way as without the header.
    this.#server.on("checkContinue", (request, response) => {
      this.#server.emit("request", request, response);
    });
    ClientErrors.create(this.#server, options);
    this.#guard = ConnectionGuard.create(this.#server, {
      ...options,
      limits: () => options.table()?.limits ?? UNCONFIGURED_LIMITS,
    });
    // Before Node's own listener, which reads from the connection.
    this.#server.prependListener("connection", (socket) => this.#open(socket));
  }

  /**
   * @param options Clock, configuration and request handler.
   * @returns An ingress that does not listen yet.
   */
  static create(options: IngressOptions): Ingress {
    return new Ingress(options);
  }

  /** Number of requests in flight. */
  get active(): number {
    return this.#connections.active;
  }

  /** Time that requests wait, or may wait, before they are served. */
  get behindMs(): number {
    return this.#intake.behindMs;
  }

  /** End of the grace time for requests in flight; infinite unless a stop has begun. */
  get drainEndMs(): number {
    return this.#drainEndMs;
  }

  /** Whether a stop has begun. */
  get draining(): boolean {
    return this.#isDraining;
  }

  /**
   * @param ipAddress Address to listen on.
   * @param port Port to listen on.
   */
  async listen(ipAddress: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ipAddress, 1024, resolve);
    });
  }

  /** Applies the configured idle timeout to the HTTP server. */
  applyLimits(): void {
    const limits = this.#options.table()?.limits;
    if (limits) this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * Shuts down gracefully: accepts connections until the load balancer has seen the failed readiness
   * checks, and finishes the requests in flight. Those that remain at {@link Ingress.drainEndMs}
   * get their final answer then, or are aborted shortly after.
   *
   * @param graceMs Time for the requests in flight.
   * @param isBusy Whether the process has other work to finish before it closes.
   */
  async drain(graceMs: number, isBusy: () => boolean): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.nowMs() + graceMs;
    this.#drainEndMs = endMs;
    this.#isDraining = true;
    await clock.sleep(Math.min(DRAIN_LISTEN_MS, graceMs));
    this.#isClosing = true;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    while ((this.active > 0 || isBusy()) && clock.nowMs() < endMs) {
      this.#connections.closeIdle();
      await clock.sleep(DRAIN_POLL_MS);
    }
    // After a stall, the grace time ends for the requests in the turns that follow.
    const flushEndMs = Math.max(clock.nowMs(), endMs) + FLUSH_MS;
    for (
      let turns = 0;
      this.active > 0 &&
      (turns < MIN_FLUSH_TURNS || clock.nowMs() < flushEndMs);
      turns++
    ) {
      await clock.sleep(DRAIN_POLL_MS);
    }
    this.#abort(endUnanswered);
    await closed;
    this.#guard.close();
  }

  /** Ends all requests and closes their connections; they get no answer of a server. */
  #abort(end: typeof endUnanswered): void {
    this.#isAborting = true;
    for (const [response, facts] of this.#connections.requests) {
      this.#options.onLocalAnswer(facts, "aborted");
      end(response, facts.requestId);
    }
    this.#server.closeAllConnections();
  }

  /** Stops listening and aborts the requests in flight. */
  async close(): Promise<void> {
    this.#guard.close();
    if (!this.#server.listening) return;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#abort(abortResponse);
    await closed;
  }

  #open(socket: Socket): void {
    this.#intake.accepted();
    if (!this.#gate.admit(this.behindMs)) {
      socket.resetAndDestroy();
      return;
    }
    this.#connections.open(socket);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock } = this.#options;
    const readAtMs = clock.nowMs();
    // The request arrived at some time since its socket or the accept queue was last polled.
    const arrivedAtMs = readAtMs - this.#intake.maxWaitMs / 2;
    const { socket } = request;
    if (this.#connections.isEnding(socket)) return;
    const facts = readRequest(request);
    this.#connections.add(socket, response, facts);
    // Requests that were pipelined behind this one are answered before the connection closes.
    const isLast = () =>
      this.#isDraining && this.#connections.isNewest(socket, response);
    response.once("finish", () => {
      // The answer's head may have announced keep-alive before the stop began.
      if (isLast()) socket.destroySoon();
    });
    response.sendDate = false;
    const sink = new ResponseSink(response, isLast, this.#held);
    request.on("error", () => {
      // The client has disconnected; the response's close event notifies the request handler.
    });
    const account = this.#guard.accountOf(request);
    // The connection was closed to free memory.
    if (!account) return;
    const arrival = checkHead(request, facts, {
      table: this.#options.table(),
      ageMs: readAtMs - arrivedAtMs,
    });
    const body = await receiveBody(request, response, {
      arrival,
      account,
      memory: this.#options.memory,
    });
    if (body.kind === "cut") return;
    const enteredAtMs = clock.nowMs();
    await this.#intake.waitForTurn();
    // What the client still sends would be taken for its next request.
    if (!request.complete) response.shouldKeepAlive = false;
    if (sink.gone) return this.#options.onLocalAnswer(facts, "client_gone");
    if (this.#isClosing) return this.#answers.refuse(facts, sink, "stopping");
    const nowMs = clock.nowMs();
    const behindMs = Math.max(this.#intake.maxWaitMs, nowMs - enteredAtMs);
    if (shouldShed(behindMs, this.#options.random())) {
      return this.#answers.refuse(facts, sink, "overloaded");
    }
    const table = this.#options.table();
    if (!table || arrival.kind === "not_ready") {
      return this.#answers.refuse(facts, sink, "not_ready");
    }
    // A newer configuration may have been loaded while the body was received.
    const routed = findRoute(facts, table);
    if (arrival.kind !== "expected") {
      return this.#answers.reject(facts, sink, { arrival, routed });
    }
    switch (body.kind) {
      case "too_large":
        return this.#answers.send(facts, sink, {
          status: 413,
          why: body.kind,
        });
      case "late":
        return this.#answers.refuse(facts, sink, "expired");
      case "no_memory":
        return this.#answers.refuse(facts, sink, body.kind);
      case "whole":
    }
    if (routed.kind === "refused") {
      return this.#answers.rejectUnknown(facts, sink, routed.why);
    }
    const answerByMs = arrivedAtMs + timeLeftMs(facts, routed.route);
    if (answerByMs <= nowMs) {
      return this.#answers.refuse(facts, sink, "expired");
    }
    const { route, workspace } = routed;
    const service = pickService(route.shares, this.#options.random);
    const ready: RoutedRequest = {
      facts,
      route,
      service,
      workspace,
      rank: table.urgency.rankOf(service, route, workspace),
      rawHeaders: request.rawHeaders,
      body: body.bytes,
      arrivedAtMs,
      answerByMs,
    };
    const served = await this.#options.serve(ready, sink);
    // Logged as aborted already; its client has not left by itself.
    if (this.#isAborting && served.outcome.kind === "client_gone") return;
    this.#options.onServed(ready, served);
  }
}
