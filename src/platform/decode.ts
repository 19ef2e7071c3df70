/** Decodes what lies in the platform's store into the router's types. */
import { Result } from "true-myth";
import {
  type BackendServer,
  type CacheStore,
  type ClientLimits,
  type EngineLimits,
  QuotaUnit,
  RequestKind,
  type Route,
  type RoutingConfig,
  type Service,
  type ServiceShare,
  type WantedWeights,
  type Workspace,
  type WorkspaceQuota,
} from "../router/model.ts";
import { readServer } from "./decode_server.ts";
import { CONFIG_KEY, SERVERS_PREFIX, WEIGHTS_PREFIX } from "./names.ts";
import {
  amount,
  asObject,
  type Json,
  list,
  nonEmptyText,
  number,
  optionalAmount,
  optionalList,
  optionalNumber,
  parseObject,
  ShapeError,
  text,
  wholeNumber,
} from "./shape.ts";

/** What one key of the store tells. */
export type StoreFact =
  | { kind: "config"; config: RoutingConfig }
  | { kind: "server"; server: BackendServer }
  | { kind: "weights"; wanted: WantedWeights }
  /** A key that the router doesn't read, its own ones included. */
  | { kind: "other" };

/** What a deleted key told. */
export type RemovedFact =
  | { kind: "server"; serverId: string }
  | { kind: "other" };

/** A value that doesn't have the published form. */
export interface MalformedValue {
  kind: "malformed";
  key: string;
  /** What is wrong, without the value itself. */
  reason: string;
}

/**
 * @param key The store's key.
 * @param value Its value.
 * @returns What it tells, or what is wrong with it.
 */
export function decodeFact(
  key: string,
  value: Uint8Array,
): Result<StoreFact, MalformedValue> {
  try {
    return Result.ok(readFact(key, value));
  } catch (error) {
    const reason = error instanceof Error ? error.message : "Unreadable";
    return Result.err({ kind: "malformed", key, reason });
  }
}

/**
 * @param key A key that was deleted.
 * @returns What it told.
 */
export function decodeRemoval(key: string): RemovedFact {
  if (!key.startsWith(SERVERS_PREFIX)) return { kind: "other" };
  return { kind: "server", serverId: key.slice(SERVERS_PREFIX.length) };
}

function readFact(key: string, value: Uint8Array): StoreFact {
  if (key === CONFIG_KEY) return { kind: "config", config: readConfig(value) };
  if (key.startsWith(WEIGHTS_PREFIX)) {
    return { kind: "weights", wanted: readWanted(value) };
  }
  if (!key.startsWith(SERVERS_PREFIX)) return { kind: "other" };
  const id = key.slice(SERVERS_PREFIX.length);
  return { kind: "server", server: readServer(id, value) };
}

function readConfig(value: Uint8Array): RoutingConfig {
  const config = parseObject(value);
  return {
    version: wholeNumber(config, "version"),
    routes: list(config, "routes").map(readRoute),
    services: list(config, "services").map(readService),
    limits: readLimits(asObject(config["limits"], "limits")),
    workspaces: optionalList(config, "tenants").map(readWorkspace),
  };
}

function readRoute(value: unknown): Route {
  const route = asObject(value, "routes");
  return {
    name: text(route, "name"),
    host: text(route, "host").toLowerCase(),
    pathPrefix: text(route, "prefix"),
    kind: readKind(text(route, "kind")),
    timeoutMs: number(route, "timeout_ms"),
    targetLatencyMs: optionalNumber(route, "target_latency_ms") ??
      number(route, "timeout_ms"),
    priority: optionalNumber(route, "priority") ?? Infinity,
    shares: readShares(route),
    maxAttempts: optionalNumber(route, "max_attempts") ?? 1,
    anonymous: route["allow_anonymous"] === true,
    resumable: route["allow_resume"] === true,
  };
}

/** A route names either one service or a split over several. */
function readShares(route: Json): ServiceShare[] {
  const split = optionalList(route, "traffic_split");
  if (split.length === 0) {
    return [{ service: text(route, "service"), weight: 1 }];
  }
  return split.map((value) => {
    const share = asObject(value, "traffic_split");
    return { service: text(share, "service"), weight: number(share, "weight") };
  });
}

function readKind(kind: string): RequestKind {
  switch (kind) {
    case "safe":
      return RequestKind.safe;
    case "unsafe":
      return RequestKind.unsafe;
    case "streaming":
      return RequestKind.stream;
    default:
      throw new ShapeError(`Kind of a route: ${kind}`);
  }
}

function readService(value: unknown): Service {
  const service = asObject(value, "services");
  const engine = service["engine"];
  return {
    name: text(service, "name"),
    connectionLimit: optionalNumber(service, "max_connections") ?? 0,
    engine: engine === undefined ? undefined : readEngine(engine),
    cacheStore: readCacheStore(service),
  };
}

function readCacheStore(service: Json): CacheStore | undefined {
  if (service["kv_store_addr"] === undefined) return undefined;
  return {
    address: text(service, "kv_store_addr"),
    zone: text(service, "zone"),
    cacheTokens: number(service, "kv_capacity_tokens"),
    linkMbps: optionalNumber(service, "link_mbps"),
  };
}

function readEngine(value: unknown): EngineLimits {
  const engine = asObject(value, "engine");
  return {
    slots: number(engine, "slots"),
    cacheTokens: number(engine, "kv_capacity_tokens"),
    tokenBytes: optionalNumber(engine, "kv_token_bytes"),
    linkMbps: optionalNumber(engine, "link_mbps"),
  };
}

function readLimits(limits: Json): ClientLimits {
  return {
    headerBytes: amount(limits, "max_header_bytes"),
    bodyBytes: amount(limits, "max_body_bytes"),
    headerTimeoutMs: amount(limits, "header_timeout_ms"),
    idleTimeoutMs: amount(limits, "idle_timeout_ms"),
  };
}

/** The platform's tenant is our workspace. */
function readWorkspace(value: unknown): Workspace {
  const tenant = asObject(value, "tenants");
  return {
    name: text(tenant, "name"),
    keys: optionalList(tenant, "api_keys").map(String),
    priority: optionalNumber(tenant, "priority"),
    isolated: tenant["isolated"] === true,
    quota: readQuota(tenant),
  };
}

/** A rate of 0, or none, is no limit. */
function readQuota(tenant: Json): WorkspaceQuota | undefined {
  const perSecond = optionalAmount(tenant, "rate_per_s") ?? 0;
  if (perSecond === 0) return undefined;
  return {
    unit: tenant["unit"] === "token_count"
      ? QuotaUnit.tokens
      : QuotaUnit.requests,
    perSecond,
    burst: optionalAmount(tenant, "burst") ?? perSecond,
    plainTokens: optionalAmount(tenant, "plain_tokens") ?? 1,
  };
}

/** `version` here counts weights; the configuration's own `version` is another count. */
function readWanted(value: Uint8Array): WantedWeights {
  const wanted = parseObject(value);
  return {
    model: nonEmptyText(wanted, "model"),
    version: wholeNumber(wanted, "version"),
  };
}
