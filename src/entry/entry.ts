/** An entry: accepts requests, sends them to backend servers and streams the answers back. */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { Result } from "true-myth";
import { Lifecycle } from "../base/mod.ts";
import type { BranchSet } from "../config/mod.ts";
import type { ListenFailure } from "../wire/mod.ts";
import { writeFailure } from "./answer_sink.ts";
import type { Caller } from "./caller.ts";
import {
  addPeerService,
  buildHandlerDeps,
  buildParts,
  type EntryParts,
} from "./entry_parts.ts";
import type { RequestKind } from "./entry_metrics.ts";
import { Execution, type RequestFailure } from "./errors.ts";
import { type Exchange, openExchange, type RequestRecord } from "./exchange.ts";
import type { HandlerDeps } from "./handler_deps.ts";
import { HttpServer, type RequestHandler } from "./http_server.ts";
import { serveModel } from "./model_handler.ts";
import { serveModels } from "./models_handler.ts";
import type { EntryOptions } from "./options.ts";
import { recordRequest } from "./request_log.ts";
import { serveService } from "./service_handler.ts";
import { describeEntry } from "./state_dump.ts";

/** Thrown when an entry can't open a listener. */
export class ListenError extends Error {
  readonly failure: ListenFailure;

  /** @param failure Address and cause. */
  constructor(failure: ListenFailure) {
    super(`Could not listen on ${failure.address}: ${failure.message}`);
    this.failure = failure;
  }
}

type Handler = (
  deps: HandlerDeps,
  exchange: Exchange,
) => Promise<RequestFailure | undefined>;

const INTERNAL_FAILURE: RequestFailure = {
  code: "internal",
  message: "The entry failed; nobody can tell whether the request was run",
  execution: Execution.Unknown,
};

/** A running entry process: its listeners, background tasks and requests in flight. */
export class Entry {
  readonly #life: Lifecycle;
  readonly #parts: EntryParts;
  readonly #deps: HandlerDeps;
  readonly #http: HttpServer;
  readonly #records = new Set<RequestRecord>();
  #stopped: Promise<void> | undefined;

  private constructor(parts: EntryParts, lifecycle: Lifecycle) {
    this.#parts = parts;
    this.#life = lifecycle;
    this.#deps = buildHandlerDeps(parts);
    this.#http = lifecycle.own(this.#buildHttp());
    parts.metrics.registerGauges({
      in_flight_requests: () => this.#records.size,
      open_channels: () => parts.channels.counts.open,
      known_instances: () => parts.members.instances.length,
      config_age_ms: () => parts.sync.confirmedAgeMs,
    });
  }

  /**
   * @param options Settings.
   * @returns An entry that accepts requests. It may still lack a configuration: startup waits for the
   * first one only for a limited time.
   */
  static async create(options: EntryOptions): Promise<Entry> {
    const lifecycle = Lifecycle.create("entry");
    try {
      const entry = new Entry(buildParts(options, lifecycle), lifecycle);
      await entry.#start();
      return entry;
    } catch (error) {
      await lifecycle.stop();
      throw error;
    }
  }

  /** `ip:port` of the HTTP listener for callers. */
  get httpAddress(): string {
    return this.#http.address;
  }

  /** `ip:port` of the gRPC listener for other processes. */
  get peerAddress(): string {
    return this.#parts.listener.address;
  }

  /** `ip:port` of the administration API; empty if it is off. */
  get adminAddress(): string {
    return this.#parts.admin?.address ?? "";
  }

  /** Branches in force at this entry. */
  get branches(): BranchSet {
    return this.#parts.branches;
  }

  /**
   * Shuts down gracefully: fails `/readyz` for a while, stops accepting connections, waits for the
   * requests in flight, then closes everything.
   *
   * @returns Resolves when everything is closed.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#drainAndClose();
    return this.#stopped;
  }

  /** @returns The state for operators; can be passed to `JSON.stringify`. */
  dumpState(): ReturnType<typeof describeEntry> {
    return describeEntry(this.#parts, {
      httpAddress: this.httpAddress,
      adminAddress: this.adminAddress,
      records: this.#records,
    });
  }

  async #start(): Promise<void> {
    const { listener, follower, sync, shares, admin, options } = this.#parts;
    addPeerService(this.#parts, () => JSON.stringify(this.dumpState()));
    throwIfNotListening(await listener.start());
    this.#life.task(
      "instance-list",
      (signal) => follower.followList(signal),
    );
    this.#life.task(
      "instance-seeds",
      (signal) => follower.pollSeeds(signal),
    );
    this.#life.task("team-shares", (signal) => shares.run(signal));
    const { planners } = this.#parts;
    if (planners) this.#life.task("planners", (signal) => planners.run(signal));
    const { source } = await sync.ready;
    if (admin) throwIfNotListening(await admin.start());
    throwIfNotListening(await this.#http.start());
    const { httpAddress, peerAddress } = this;
    options.log.info({ httpAddress, peerAddress, source }, "serving");
  }

  async #drainAndClose(): Promise<void> {
    const { clock, unreadyMs, drainMs } = this.#parts.options;
    this.#http.markUnready();
    await clock.sleep(unreadyMs);
    await this.#http.drain(drainMs);
    await this.#life.stop();
  }

  #buildHttp(): HttpServer {
    const { options, tuning, metrics, sync } = this.#parts;
    return HttpServer.create({
      address: options.httpAddress,
      clock: options.clock,
      log: options.log,
      requestTimeoutMs: tuning.bodyTimeoutMs,
      memory: this.#deps.body.memory,
      chat: this.#handle(
        "chat",
        (deps, exchange) => serveModel(deps, exchange, { api: "chat" }),
      ),
      text: this.#handle(
        "text",
        (deps, exchange) => serveModel(deps, exchange, { api: "text" }),
      ),
      service: this.#handle("service", serveService),
      models: (request, response) => {
        serveModels(this.#deps, request, response);
        return Promise.resolve();
      },
      metrics: () => metrics.render(),
      unreadyReason: () => sync.isolated ? "isolated" : undefined,
    });
  }

  #handle(kind: RequestKind, handler: Handler): RequestHandler {
    return (request, response) => {
      const exchange = openExchange(request, response, {
        requestId: randomUUID(),
        kind,
        clock: this.#parts.options.clock,
        account: this.#http.accountOf(request),
      });
      return this.#serve(exchange, handler);
    };
  }

  async #serve(exchange: Exchange, handler: Handler): Promise<void> {
    const { record, response, caller } = exchange;
    this.#records.add(record);
    let failure: RequestFailure | undefined;
    try {
      failure = await handler(this.#deps, exchange);
    } catch (error) {
      const { requestId } = record;
      this.#parts.options.log.error(
        { err: error, requestId },
        "Request handler failed",
      );
      failure = INTERNAL_FAILURE;
      endWithFailure(response, failure);
    }
    caller.finish();
    destroyAfter(response, readTimeoutMs(caller, this.#parts.tuning.lingerMs));
    this.#records.delete(record);
    recordRequest(this.#parts, record, { failure });
  }
}

function throwIfNotListening(listening: Result<string, ListenFailure>): void {
  if (listening.isErr) throw new ListenError(listening.error);
}

/** Closes the connection of a caller that doesn't read the rest of its answer in time. */
function destroyAfter(response: ServerResponse, timeoutMs: number): void {
  if (response.writableFinished || response.destroyed) return;
  const timer = setTimeout(() => response.destroy(), timeoutMs);
  response.once("close", () => clearTimeout(timer));
}

/** @returns Time to read the rest of an answer: until the deadline, but at least `lingerMs`. */
function readTimeoutMs({ leftMs }: Caller, lingerMs: number): number {
  return Number.isFinite(leftMs) ? Math.max(leftMs, lingerMs) : lingerMs;
}

/** Sends the failure if nothing was sent yet; otherwise closes the connection. */
function endWithFailure(
  response: ServerResponse,
  failure: RequestFailure,
): void {
  writeFailure(response, failure);
  if (!response.writableEnded) response.destroy();
}
