/** Stand-in for the users' operator, clients and balancer, as far as tests need them. */
import { request as httpRequest } from "node:http";
import { StandinPlatformWorker } from "./platform_worker.ts";

/** Host of all routes. */
export const HOST = "salon.example";
/** The key of the only workspace. */
export const KEY = "key-of-w";
/** The operator's first configuration: engines and a plain service. */
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

/** An answer as a client sees it. */
export interface Asked {
  status: number;
  headers: Record<string, unknown>;
  body: string;
  /** Whether the answer came to its end. */
  isWhole: boolean;
}

/** Where an entry takes clients. */
export interface EntryAddress {
  ipAddress: string;
  clientPort: number;
}

/**
 * Asks as a client with a key does.
 *
 * @param entry Whom.
 * @param path Path and query.
 * @param headers Headers more, or other ones.
 * @returns The answer, or what came of it.
 */
export function ask(
  { clientPort, ipAddress }: EntryAddress,
  path: string,
  headers: Record<string, string> = {},
): Promise<Asked> {
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
      const settle = (isWhole: boolean) =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isWhole,
        });
      response.on("data", (chunk) => body += chunk);
      response.on("end", () => settle(response.complete));
      response.on("error", () => settle(false));
    });
    request.on("error", reject);
    request.end("payload");
  });
}

/** Headers of a model request. */
export const PROMPT = {
  model: "m",
  "token-usage": "1200,80",
  "prompt-prefix": "aa:1000,bb:200",
};

/** What a client says of one of several requests; what is left out is as in all others. */
export interface ClientWords {
  /** Id of the attempt. */
  id?: string;
  /** How long it waits. */
  timeMs?: number;
  /** Number of the prompt: only requests with the same one share a part of it. */
  prompt?: number;
}

/** @returns Headers that say so. */
export function headersOf(
  { id, timeMs, prompt }: ClientWords,
): Record<string, string> {
  return {
    ...(id === undefined ? {} : { "attempt-id": id }),
    ...(timeMs === undefined ? {} : { "deadline-ms": `${timeMs}` }),
    ...(prompt === undefined
      ? {}
      : { "prompt-prefix": `a${prompt}:1000,b${prompt}:200` }),
  };
}

/** @returns Id of the attempt that a request with these headers is; nothing if they say none. */
export function attemptOf(headers: Record<string, unknown>): unknown {
  return headers["attempt-id"];
}

/** Settings of all routes; what is left out is as in {@link CONFIG}. */
export interface RouteSettings {
  timeoutMs?: number;
  maxAttempts?: number;
}

/** @returns A {@link CONFIG} of this version whose routes have these settings. */
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

/** @returns The body of a whole stream. */
export function streamOf(events: number): string {
  return StandinPlatformWorker.streamText("x", events);
}

/**
 * @param port Where the balancer asks.
 * @param ipAddress Where the entry listens.
 * @returns The status of the answer.
 */
export async function readiness(
  port: number,
  ipAddress = "127.0.0.1",
): Promise<number> {
  const response = await fetch(`http://${ipAddress}:${port}/v1/readiness`);
  await response.body?.cancel();
  return response.status;
}
