/** An entry: takes callers' requests, chooses backend servers, streams the answers. */
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
import { noteRequest } from "./request_log.ts";
import { serveService } from "./service_handler.ts";
import { describeEntry } from "./state_dump.ts";

/** An entry could not open a listener. */
export class ListenError extends Error {
  readonly failure: ListenFailure;

  /** @param failure Why. */
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

/** A running entry. */
export class Entry {
  readonly #life: Lifecycle;
  readonly #parts: EntryParts;
  readonly #deps: HandlerDeps;
  readonly #http: HttpServer;
  readonly #records = new Set<RequestRecord>();
  #stopped: Promise<void> | undefined;

  private constructor(parts: EntryParts, life: Lifecycle) {
    this.#parts = parts;
    this.#life = life;
    this.#deps = buildHandlerDeps(parts);
    this.#http = life.own(this.#buildHttp());
    parts.metrics.follow({
      in_flight_requests: () => this.#records.size,
      open_channels: () => parts.channels.counts.open,
      known_instances: () => parts.members.instances.length,
      config_age_ms: () => parts.sync.confirmedAgeMs,
    });
  }

  /**
   * @param options Settings.
   * @returns An entry that serves; it has a configuration if anybody gave it one in time.
   */
  static async create(options: EntryOptions): Promise<Entry> {
    const life = Lifecycle.create("entry");
    try {
      const entry = new Entry(buildParts(options, life), life);
      await entry.#start();
      return entry;
    } catch (error) {
      await life.stop();
      throw error;
    }
  }

  /** `ip:port` of the callers' listener. */
  get httpAddress(): string {
    return this.#http.address;
  }

  /** `ip:port` of the listener for other processes. */
  get peerAddress(): string {
    return this.#parts.listener.address;
  }

  /** `ip:port` of the administration API; empty: it is off. */
  get adminAddress(): string {
    return this.#parts.admin?.address ?? "";
  }

  /** Branches in force here. */
  get branches(): BranchSet {
    return this.#parts.branches;
  }

  /**
   * Stops as planned: `/readyz` fails, then no connection is accepted, requests end, all is closed.
   *
   * @returns Resolves when all is closed.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#drainAndClose();
    return this.#stopped;
  }

  /** @returns The state, ready for `JSON.stringify`. */
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
    check(await listener.start());
    this.#life.task("instance-list", (end) => follower.followList(end));
    this.#life.task("instance-seeds", (end) => follower.askSeeds(end));
    this.#life.task("team-shares", (end) => shares.run(end));
    const { planners } = this.#parts;
    if (planners) this.#life.task("planners", (end) => planners.run(end));
    const { source } = await sync.ready;
    if (admin) check(await admin.start());
    check(await this.#http.start());
    const { httpAddress, peerAddress } = this;
    options.log.info({ httpAddress, peerAddress, source }, "serving");
  }

  async #drainAndClose(): Promise<void> {
    const { clock, unreadyMs, drainMs } = this.#parts.options;
    this.#http.becomeUnready();
    await clock.sleep(unreadyMs);
    await this.#http.drain(drainMs);
    await this.#life.stop();
  }

  #buildHttp(): HttpServer {
    const { options, tuning, metrics, sync } = this.#parts;
    return HttpServer.create({
      address: options.httpAddress,
      clock: options.clock,
      requestTimeoutMs: tuning.bodyTimeoutMs,
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
      this.#parts.options.log.error({ err: error, requestId }, "broken off");
      failure = INTERNAL_FAILURE;
      endBroken(response, failure);
    }
    caller.finish();
    cutLate(response, lingerOf(caller, this.#parts.tuning.lingerMs));
    this.#records.delete(record);
    noteRequest(this.#parts, record, { failure });
  }
}

function check(listening: Result<string, ListenFailure>): void {
  if (listening.isErr) throw new ListenError(listening.error);
}

/** A caller that never reads the last of its answer must not hold its connection for good. */
function cutLate(response: ServerResponse, lingerMs: number): void {
  if (response.writableFinished || response.destroyed) return;
  const cut = setTimeout(() => response.destroy(), lingerMs);
  response.once("close", () => clearTimeout(cut));
}

/** A caller with time left may read that long, however slowly. */
function lingerOf({ leftMs }: Caller, lingerMs: number): number {
  return Number.isFinite(leftMs) ? Math.max(leftMs, lingerMs) : lingerMs;
}

function endBroken(response: ServerResponse, failure: RequestFailure): void {
  writeFailure(response, failure);
  if (!response.writableEnded) response.destroy();
}
