/** HTTP server of the administration API. It has its own listener and its own bearer key. */
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, maxHeaderSize, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { H3, type H3Event, toNodeHandler } from "h3";
import { Result } from "true-myth";
import { ClientErrors } from "../base/client_errors.ts";
import { ClientMemory } from "../base/client_memory.ts";
import {
  ConnectionGuard,
  type ConnectionLimits,
} from "../base/connection_guard.ts";
import type { Clock, Logger, Owned } from "../base/mod.ts";
import type { BranchSet, ConfigSync } from "../config/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { ListenFailure } from "../wire/mod.ts";
import { AdminCommands, type WriteContext } from "./commands.ts";
import { type AdminFailure, toErrorResponse } from "./failures.ts";
import { AdminQueries } from "./queries.ts";
import { parseIfMatch, parseWriteId, parseWriter } from "./requests.ts";
import {
  ADMIN_ROUTES,
  type AdminRequest,
  type AdminResponse,
  type AdminRoute,
  type AdminServices,
} from "./routes.ts";
import { TeamStore } from "./team_store.ts";

/** Settings of {@link AdminServer}. */
export interface AdminServerOptions {
  /** `ip:port`; port 0 picks a free port. */
  address: string;
  /** Hex-encoded SHA-256 of the administrators' bearer key. */
  keySha256: string;
  /** Budget for what clients make the process hold; by default one of its own. */
  memory?: ClientMemory;
  store: KeyValueStore;
  branches: BranchSet;
  sync: ConfigSync;
  /** Name of this process in responses. */
  processId: string;
  /** Returns the peer address of this process. */
  peerAddress: () => string;
  clock: Clock;
  log: Logger;
  /** How long to retry a commit to the store whose outcome is unknown, in ms. */
  resolveTimeoutMs?: number;
}

/** Maximum size of a request body; a branch is smaller. */
const MAX_BODY_BYTES = 1_048_576;
/** Longest time for a request to arrive. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Interval at which that time is checked. */
const TIMEOUT_CHECK_MS = 1000;
/** Most connections of administrators. */
const MAX_CONNECTIONS = 1024;
/** Budget of a server that shares none. */
const MAX_OWN_BYTES = 32 * MAX_BODY_BYTES;
/** Limits of each connection. */
const CONNECTION_LIMITS: ConnectionLimits = {
  headerBytes: maxHeaderSize,
  headerTimeoutMs: REQUEST_TIMEOUT_MS,
  idleTimeoutMs: REQUEST_TIMEOUT_MS,
};

/** Serves the administration API over HTTP. */
export class AdminServer implements Owned {
  readonly name = "admin-server";
  readonly commands: AdminCommands;
  readonly queries: AdminQueries;
  readonly #options: AdminServerOptions;
  readonly #server: Server;
  readonly #guard: ConnectionGuard;
  readonly #keyHash: Buffer;
  #address: string;

  private constructor(options: AdminServerOptions) {
    const {
      store,
      branches,
      sync,
      clock,
      processId,
      resolveTimeoutMs: settleMs,
    } = options;
    const teams = TeamStore.create({
      store,
      clock,
      resolveTimeoutMs: settleMs,
    });
    this.#options = options;
    this.#address = options.address;
    this.#keyHash = Buffer.from(options.keySha256, "hex");
    this.commands = AdminCommands.create({ teams, branches, sync });
    this.queries = AdminQueries.create({
      teams,
      branches,
      sync,
      clock,
      processId,
      address: options.peerAddress,
    });
    this.#server = createServer(
      { connectionsCheckingInterval: TIMEOUT_CHECK_MS },
      toNodeHandler(this.#createApp()),
    );
    this.#server.requestTimeout = REQUEST_TIMEOUT_MS;
    ClientErrors.create(this.#server, { clock, log: options.log });
    this.#guard = ConnectionGuard.create(this.#server, {
      memory: options.memory ??
        ClientMemory.create({ clock, maxBytes: MAX_OWN_BYTES }),
      maxConnections: MAX_CONNECTIONS,
      limits: () => CONNECTION_LIMITS,
    });
  }

  /**
   * @param options The listen address, the credentials and the data to serve.
   * @returns A server that does not listen yet.
   */
  static create(options: AdminServerOptions): AdminServer {
    return new AdminServer(options);
  }

  /** `ip:port` to listen on; the actual port after {@link start}. */
  get address(): string {
    return this.#address;
  }

  /** @returns The address that the server listens on, or why it failed to listen. */
  start(): Promise<Result<string, ListenFailure>> {
    const address = this.#address;
    const colonIndex = address.lastIndexOf(":");
    const host = address.slice(0, colonIndex);
    const server = this.#server;
    return new Promise((resolve) => {
      server.once("error", ({ message }) => {
        resolve(Result.err({ kind: "listen_failed", address, message }));
      });
      server.listen(Number(address.slice(colonIndex + 1)), host, () => {
        const { port } = server.address() as AddressInfo;
        this.#address = `${host}:${port}`;
        resolve(Result.ok(this.#address));
      });
    });
  }

  /** Stops accepting connections and waits for the requests in flight. */
  close(): Promise<void> {
    this.#guard.close();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  #createApp(): H3 {
    const handlers = { commands: this.commands, queries: this.queries };
    const app = new H3({ silent: true });
    for (const route of ADMIN_ROUTES) {
      app.on(
        route.method,
        route.path,
        (event) => this.#handleRequest(event, route, handlers),
      );
    }
    app.all(
      "/**",
      (event) =>
        this.#isAuthorized(event)
          ? failed({ kind: "route_not_found" })
          : failed({ kind: "unauthorized" }),
    );
    return app;
  }

  async #handleRequest(
    event: H3Event,
    route: AdminRoute,
    handlers: AdminServices,
  ): Promise<Response> {
    if (!this.#isAuthorized(event)) return failed({ kind: "unauthorized" });
    try {
      const request = await parseRequest(event, route);
      if (request.isErr) return failed(request.error);
      const outcome = await route.handle(handlers, request.value);
      return outcome.isOk ? succeeded(outcome.value) : failed(outcome.error);
    } catch (error) {
      const { log } = this.#options;
      log.error({ err: error, route: route.path }, "admin request failed");
      return failed({ kind: "internal" });
    }
  }

  #isAuthorized(event: H3Event): boolean {
    const header = event.req.headers.get("authorization") ?? "";
    const key = header.startsWith("Bearer ") ? header.slice(7) : "";
    const hash = createHash("sha256").update(key).digest();
    if (this.#keyHash.length !== hash.length) return false;
    return key !== "" && timingSafeEqual(hash, this.#keyHash);
  }
}

async function parseRequest(
  event: H3Event,
  route: AdminRoute,
): Promise<Result<AdminRequest, AdminFailure>> {
  const context = parseContext(event.req.headers);
  if (context.isErr) return Result.err(context.error);
  const body = route.takesBody ? await readBody(event) : Result.ok(undefined);
  if (body.isErr) return Result.err(body.error);
  const { params } = event.context;
  return Result.ok({
    team: params?.team ?? "",
    workspace: params?.workspace ?? "",
    query: event.url.searchParams,
    body: body.value,
    context: context.value,
  });
}

function parseContext(headers: Headers): Result<WriteContext, AdminFailure> {
  const ifMatch = parseIfMatch(headers.get("if-match"));
  if (ifMatch.isErr) return Result.err(ifMatch.error);
  const writeId = parseWriteId(headers.get("x-write-id"));
  return writeId.map((id) => ({
    writer: parseWriter(headers.get("x-writer")),
    ifMatch: ifMatch.value,
    writeId: id,
  }));
}

async function readBody(
  event: H3Event,
): Promise<Result<unknown, AdminFailure>> {
  const chunks: Uint8Array[] = [];
  let sizeBytes = 0;
  for await (const chunk of event.req.body ?? []) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_BODY_BYTES) {
      const maxBytes = MAX_BODY_BYTES;
      return Result.err({ kind: "too_large", sizeBytes, maxBytes });
    }
    chunks.push(chunk);
  }
  try {
    return Result.ok(JSON.parse(Buffer.concat(chunks).toString()));
  } catch {
    const message = "Expected a body of JSON";
    return Result.err({ kind: "invalid_request", message, param: "body" });
  }
}

function succeeded({ status, body, version }: AdminResponse): Response {
  const headers: Record<string, string> = {};
  if (version !== undefined) headers.etag = `"${version}"`;
  return Response.json(body, { status, headers });
}

function failed(failure: AdminFailure): Response {
  const { status, body, retryAfterMs } = toErrorResponse(failure);
  const headers: Record<string, string> = {};
  if (retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(retryAfterMs / 1000));
  }
  return Response.json(body, { status, headers });
}
