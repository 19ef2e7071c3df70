/** HTTP servers of the control address (for other routers and operators) and of the readiness check. */
import { parsePosition, type StorePosition } from "../store/position.ts";
import { createServer, type Server as HttpServer } from "node:http";
import { CACHE_TRANSFER_PATH } from "./cache_transfer.ts";
import { RELAY_PATH } from "./relay.ts";
import type { SocketAddress } from "./settings.ts";

/** Content that the control address serves. */
export interface ControlOptions {
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
  const server = createServer((request, response) => {
    const answer = answerOf(request.url ?? "/", options);
    response.writeHead(answer ? 200 : 404, {
      "content-type": answer?.type ?? "text/plain",
    });
    response.end(answer?.text ?? "");
  });
  return listen(server, address);
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
  { isReady }: { isReady: () => boolean },
): Promise<HttpServer> {
  const server = createServer((request, response) => {
    const isKnown = request.url === path;
    response.writeHead(!isKnown ? 404 : isReady() ? 200 : 503);
    response.end();
  });
  return listen(server, address);
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

function listen(
  server: HttpServer,
  address: SocketAddress,
): Promise<HttpServer> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.ipAddress, () => resolve(server));
  });
}
