/** Test client of an entry, with a sample configuration and the load balancer's readiness check. */
import { type IncomingHttpHeaders, request as httpRequest } from "node:http";
import { StandinBackendServer } from "./backend_server.ts";

/** Host name of all routes. */
export const HOST = "salon.example";
/** API key of the only workspace. */
export const KEY = "key-of-w";
/** Initial configuration: model engines and one plain service. */
export const CONFIG = {
  version: 1,
  routes: [
    route("stream", { kind: "streaming", allow_resume: true, max_attempts: 2 }),
    route("once", { kind: "streaming", allow_resume: false }),
    route("book", { kind: "unsafe", service: "plain" }),
    route("look", { kind: "safe", service: "plain", max_attempts: 2 }),
    route("open", { kind: "safe", service: "plain", allow_anonymous: true }),
    route("brief", { kind: "unsafe", service: "plain", timeout_ms: 300 }),
  ],
  services: [
    {
      name: "engines",
      health_path: "/health",
      max_connections: 100,
      engine: {
        slots: 4,
        kv_capacity_tokens: 100_000,
        models: [{ name: "m" }],
      },
    },
    { name: "plain", health_path: "/health", max_connections: 100 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1000,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: "w", api_keys: [KEY], priority: 1, isolated: true }],
};

function route(name: string, fields: object): Record<string, unknown> {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    timeout_ms: 5000,
    target_latency_ms: 500,
    priority: 1,
    service: "engines",
    max_attempts: 1,
    allow_anonymous: false,
    allow_resume: false,
    ...fields,
  };
}

/** How an answer declares the end of its body. */
export const DeclaredEnd = {
  length: "length",
  chunks: "chunks",
  /** Not at all: the body ends with its connection. */
  connection: "connection",
} as const;

/** One of {@link DeclaredEnd}. */
export type DeclaredEnd = typeof DeclaredEnd[keyof typeof DeclaredEnd];

/** An answer as received by a client. */
export interface ClientResponse {
  status: number;
  headers: Record<string, unknown>;
  body: string;
  /** Whether the whole body was received; without a declared end: whether no reset cut it. */
  isComplete: boolean;
  declaredEnd: DeclaredEnd;
}

/** Address at which an entry accepts clients. */
export interface EntryAddress {
  ipAddress: string;
  clientPort: number;
}

/**
 * Sends a POST request with the workspace's API key.
 *
 * @param entry Entry to send the request to.
 * @param path Path and query.
 * @param headers Headers to add to the default ones or to replace them.
 * @returns The answer, possibly incomplete; rejects if no answer begins.
 */
export function sendClientRequest(
  { clientPort, ipAddress }: EntryAddress,
  path: string,
  headers: Record<string, string> = {},
): Promise<ClientResponse> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: ipAddress,
      port: clientPort,
      method: "POST",
      path,
      agent: false,
      headers: {
        host: HOST,
        "attempt-id": "attempt-1",
        "deadline-ms": "4000",
        authorization: `Bearer ${KEY}`,
        ...headers,
      },
    }, (response) => {
      let body = "";
      const resolveWith = (isComplete: boolean) =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isComplete,
          declaredEnd: declaredEndOf(response.headers),
        });
      response.on("data", (chunk) => body += chunk);
      response.on("end", () => resolveWith(response.complete));
      response.on("error", () => resolveWith(false));
      // A reset during an answer without a declared end is reported as the request's error.
      request.off("error", reject);
      request.on("error", () => resolveWith(false));
    });
    request.on("error", reject);
    request.end("payload");
  });
}

/**
 * @param headers Headers of an answer.
 * @returns How they declare the end of its body.
 */
export function declaredEndOf(headers: IncomingHttpHeaders): DeclaredEnd {
  if (headers["content-length"] !== undefined) return DeclaredEnd.length;
  return headers["transfer-encoding"] === "chunked"
    ? DeclaredEnd.chunks
    : DeclaredEnd.connection;
}

/** Headers of a request for a model. */
export const MODEL_REQUEST_HEADERS = {
  model: "m",
  "token-usage": "1200,80",
  "prompt-prefix": "aa:1000,bb:200",
};

/** Properties of a request that differ from the defaults of {@link sendClientRequest}. */
export interface RequestOverrides {
  /** Attempt id. */
  id?: string;
  /** Deadline of the request. */
  timeMs?: number;
  /** Number of the prompt; only requests with the same number share a prompt prefix. */
  prompt?: number;
  /** Parts of the prompt, each as `id:tokens`. */
  parts?: readonly string[];
}

/** @returns Request headers for these properties. */
export function toRequestHeaders(
  { id, timeMs, prompt, parts }: RequestOverrides,
): Record<string, string> {
  return {
    ...(id === undefined ? {} : { "attempt-id": id }),
    ...(timeMs === undefined ? {} : { "deadline-ms": `${timeMs}` }),
    ...(prompt === undefined
      ? {}
      : { "prompt-prefix": `a${prompt}:1000,b${prompt}:200` }),
    ...(parts === undefined ? {} : { "prompt-prefix": parts.join(",") }),
  };
}

/** @returns The attempt id in these request headers, or undefined. */
export function attemptIdOf(headers: Record<string, unknown>): unknown {
  return headers["attempt-id"];
}

/** Settings for all routes; omitted ones are as in {@link CONFIG}. */
export interface RouteSettings {
  timeoutMs?: number;
  maxAttempts?: number;
}

/** @returns A copy of {@link CONFIG} with this version and these settings on all routes. */
export function configWith(
  version: number,
  { timeoutMs, maxAttempts }: RouteSettings,
): typeof CONFIG {
  const routes = CONFIG.routes.map((route) => ({
    ...route,
    timeout_ms: timeoutMs ?? route["timeout_ms"],
    max_attempts: maxAttempts ?? route["max_attempts"],
  }));
  return { ...CONFIG, version, routes };
}

/**
 * @param version Version of the configuration.
 * @param options Timeout of all routes, and whether the engines back up runs; default: they do.
 * @returns A copy of {@link CONFIG} whose engine service has routes of two priorities, of which the more
 *   urgent one is resumable.
 */
export function configWithBackups(
  version: number,
  { timeoutMs, hasBackups = true }: {
    timeoutMs?: number;
    hasBackups?: boolean;
  } = {},
): typeof CONFIG {
  const config = configWith(version, { timeoutMs });
  const routes = config.routes.map((route) =>
    route["name"] === "once" ? { ...route, priority: 2 } : route
  );
  const services = config.services.map((service) =>
    service.engine && hasBackups
      ? { ...service, engine: { ...service.engine, backups: true } }
      : service
  );
  return { ...config, routes, services };
}

/** @returns The body of a complete stream with this number of events. */
export function completeStreamBody(events: number): string {
  return StandinBackendServer.streamText("x", events);
}

/**
 * Calls the readiness endpoint as the load balancer does.
 *
 * @param port Port of the readiness endpoint.
 * @param ipAddress IP address of the entry.
 * @returns HTTP status of the answer.
 */
export async function fetchReadinessStatus(
  port: number,
  ipAddress = "127.0.0.1",
): Promise<number> {
  const response = await fetch(`http://${ipAddress}:${port}/v1/readiness`);
  await response.body?.cancel();
  return response.status;
}
