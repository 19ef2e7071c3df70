/** The control address: other entries, metrics and the state dump. */
import { createServer, type Server as HttpServer } from "node:http";
import { LESSONS_PATH } from "./lessons.ts";
import { RELAY_PATH } from "./relay.ts";
import type { SocketAddress } from "./settings.ts";

/** What the control address serves. */
export interface ControlOptions {
  /** What a peer lacks beyond a revision, as JSON. */
  relay(after: bigint): string;
  /** What caches are expected to hold, as JSON. */
  lessons(): string;
  /** Prometheus text. */
  metrics(): string;
  /** State of the process. */
  state(): unknown;
}

/** Path of the metrics. */
export const METRICS_PATH = "/metrics";
/** Path of the state dump. */
export const STATE_PATH = "/state";

/**
 * @param address Where to listen.
 * @param options What to serve.
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
 * @param address Where to listen.
 * @param path The balancer's path.
 * @param isReady Asked at each request.
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
 * @param server A server of this module.
 * @returns Resolves once it no longer listens; its connections are closed.
 */
export function closeServer(server: HttpServer): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  return closed;
}

interface Text {
  type: string;
  text: string;
}

function answerOf(target: string, options: ControlOptions): Text | undefined {
  // Not parsed as a URL: others may send what is none.
  const [path, query] = target.split("?", 2);
  switch (path) {
    case RELAY_PATH: {
      const after = new URLSearchParams(query).get("after") ?? "0";
      if (!/^\d+$/.test(after)) return undefined;
      return { type: "application/json", text: options.relay(BigInt(after)) };
    }
    case LESSONS_PATH:
      return { type: "application/json", text: options.lessons() };
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

function listen(
  server: HttpServer,
  address: SocketAddress,
): Promise<HttpServer> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.ipAddress, () => resolve(server));
  });
}
