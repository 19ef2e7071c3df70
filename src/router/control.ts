/** HTTP servers of the control address (for other routers and operators) and of the readiness check. */
import { parsePosition, type StorePosition } from "../store/position.ts";
import {
  createServer,
  type IncomingMessage,
  maxHeaderSize,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import { ClientMemory, type MemoryAccount } from "../base/client_memory.ts";
import { DEFAULT_SHARES } from "../base/memory_shares.ts";
import { systemClock } from "../base/mod.ts";
import {
  ConnectionGuard,
  type ConnectionLimits,
} from "../base/connection_guard.ts";
import { CACHE_TRANSFER_PATH } from "./cache_transfer.ts";
import { RELAY_PATH } from "./relay.ts";
import type { SocketAddress } from "./settings.ts";

/** Most connections of a listener. */
const MAX_CONNECTIONS = 512;
/** Longest time for a request to arrive. */
const REQUEST_TIMEOUT_MS = 10_000;
/** Interval at which that time is checked. */
const TIMEOUT_CHECK_MS = 1000;
/** Limits of each connection. */
const CONNECTION_LIMITS: ConnectionLimits = {
  headerBytes: maxHeaderSize,
  headerTimeoutMs: REQUEST_TIMEOUT_MS,
  idleTimeoutMs: REQUEST_TIMEOUT_MS,
};

/** Content that the control address serves. */
export interface ControlOptions {
  /** Budget of the listeners; by default one of its own. */
  memory?: ClientMemory;
  /** Changes of the store's content after a position, for another entry, as JSON. */
  relay(after: StorePosition): string;
  /** Prompts that the servers' caches are expected to hold, as JSON. */
  expectedCaches(): string;
  /** Metrics in Prometheus text format. */
  metrics(): string;
  /** State of the process, for the state dump. */
  state(): unknown;
}

/** Path of the metrics. */
export const METRICS_PATH = "/metrics";
/** Path of the state dump. */
export const STATE_PATH = "/state";

/**
 * Serves the control address.
 *
 * @param address Address to listen on.
 * @param options Content to serve.
 * @returns The server, once it listens.
 */
export function serveControl(
  address: SocketAddress,
  options: ControlOptions,
): Promise<HttpServer> {
  const { memory = createMemory() } = options;
  return listen(address, memory, (request, response, account) => {
    const answer = answerOf(request.url ?? "/", options);
    const text = answer?.text ?? "";
    account.onEvicted = () => response.destroy();
    // One answer is sent in any case.
    account.resize(Math.min(text.length, memory.maxBytes / 2));
    if (account.isClosed) return;
    response.writeHead(answer ? 200 : 404, {
      "content-type": answer?.type ?? "text/plain",
    });
    response.end(text);
  });
}

/**
 * Serves the readiness check of the load balancer.
 *
 * @param address Address to listen on.
 * @param path Path that the load balancer requests.
 * @param isReady Called at each request.
 * @returns The server, once it listens.
 */
export function serveReadiness(
  address: SocketAddress,
  path: string,
  { isReady, memory = createMemory() }: {
    isReady: () => boolean;
    /** Budget of the listeners; by default one of its own. */
    memory?: ClientMemory;
  },
): Promise<HttpServer> {
  return listen(address, memory, (request, response) => {
    const isKnown = request.url === path;
    response.writeHead(!isKnown ? 404 : isReady() ? 200 : 503);
    response.end();
  });
}

/**
 * @param server Server that this module created.
 * @returns Resolves once the server has stopped listening and its connections are closed.
 */
export function closeServer(server: HttpServer): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  return closed;
}

interface TextResponse {
  type: string;
  text: string;
}

function answerOf(
  target: string,
  options: ControlOptions,
): TextResponse | undefined {
  // The target is not parsed as a URL: clients may send an invalid one, and `new URL` would throw.
  const [path, query] = target.split("?", 2);
  switch (path) {
    case RELAY_PATH: {
      const after = readPosition(new URLSearchParams(query));
      if (!after) return undefined;
      return { type: "application/json", text: options.relay(after) };
    }
    case CACHE_TRANSFER_PATH:
      return { type: "application/json", text: options.expectedCaches() };
    case METRICS_PATH:
      return { type: "text/plain; version=0.0.4", text: options.metrics() };
    case STATE_PATH:
      return {
        type: "application/json",
        text: JSON.stringify(options.state()),
      };
    default:
      return undefined;
  }
}

/** Entries of earlier releases name no era. */
function readPosition(query: URLSearchParams): StorePosition | undefined {
  const revision = query.get("after") ?? "0";
  return parsePosition(`${query.get("era") ?? 0}.${revision}`);
}

function createMemory(): ClientMemory {
  const maxBytes = DEFAULT_SHARES.controlBytes;
  return ClientMemory.create({ clock: systemClock, maxBytes });
}

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  account: MemoryAccount,
) => void;

function listen(
  address: SocketAddress,
  memory: ClientMemory,
  handle: Handler,
): Promise<HttpServer> {
  const checks = { connectionsCheckingInterval: TIMEOUT_CHECK_MS };
  const server = createServer(checks, (request, response) => {
    const account = guard.accountOf(request);
    if (account) handle(request, response, account);
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const guard = ConnectionGuard.create(server, {
    memory,
    maxConnections: MAX_CONNECTIONS,
    limits: () => CONNECTION_LIMITS,
  });
  server.once("close", () => guard.close());
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.ipAddress, () => resolve(server));
  });
}
