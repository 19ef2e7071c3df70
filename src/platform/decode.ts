/** Decodes keys and values of the platform's store into the router's types. */
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
  asObject,
  type JsonObject,
  list,
  nonEmptyText,
  nonNegativeNumber,
  number,
  optionalList,
  optionalNonNegativeNumber,
  optionalNumber,
  parseObject,
  ShapeError,
  text,
  wholeNumber,
} from "./shape.ts";

/** Decoded content of one key of the store. */
export type DecodedValue =
  | { kind: "config"; config: RoutingConfig }
  | { kind: "server"; server: BackendServer }
  | { kind: "weights"; wanted: WantedWeights }
  /** A key that is not decoded here, such as the router's own keys. */
  | { kind: "other" };

/** What a deleted key stood for. */
export type DecodedDeletion =
  | { kind: "server"; serverId: string }
  | { kind: "other" };

/** A value that doesn't match the platform's published format. */
export interface MalformedValue {
  kind: "malformed";
  key: string;
  /** Describes the error without quoting the value, which may hold API keys. */
  reason: string;
}

/**
 * Decodes the value of a key.
 *
 * @param key The key in the store.
 * @param value The stored value.
 * @returns The decoded value, or why it could not be decoded.
 */
export function decodeValue(
  key: string,
  value: Uint8Array,
): Result<DecodedValue, MalformedValue> {
  try {
    return Result.ok(readValue(key, value));
  } catch (error) {
    const reason = error instanceof Error ? error.message : "Unreadable";
    return Result.err({ kind: "malformed", key, reason });
  }
}

/**
 * Decodes the deletion of a key.
 *
 * @param key The deleted key.
 * @returns Which server it registered, if it was a registration.
 */
export function decodeDeletion(key: string): DecodedDeletion {
  if (!key.startsWith(SERVERS_PREFIX)) return { kind: "other" };
  return { kind: "server", serverId: key.slice(SERVERS_PREFIX.length) };
}

function readValue(key: string, value: Uint8Array): DecodedValue {
  if (key === CONFIG_KEY) return { kind: "config", config: readConfig(value) };
  if (key.startsWith(WEIGHTS_PREFIX)) {
    return { kind: "weights", wanted: readWantedWeights(value) };
  }
  if (!key.startsWith(SERVERS_PREFIX)) return { kind: "other" };
  const serverId = key.slice(SERVERS_PREFIX.length);
  return { kind: "server", server: readServer(serverId, value) };
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

/** A route has either a single service or a traffic split over several. */
function readShares(route: JsonObject): ServiceShare[] {
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
      throw new ShapeError(`Unknown kind of route: ${kind}`);
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

function readCacheStore(service: JsonObject): CacheStore | undefined {
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
    hasBackups: engine["backups"] === true,
  };
}

function readLimits(limits: JsonObject): ClientLimits {
  return {
    headerBytes: nonNegativeNumber(limits, "max_header_bytes"),
    bodyBytes: nonNegativeNumber(limits, "max_body_bytes"),
    headerTimeoutMs: nonNegativeNumber(limits, "header_timeout_ms"),
    idleTimeoutMs: nonNegativeNumber(limits, "idle_timeout_ms"),
  };
}

/** The platform calls a workspace a tenant. */
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

/** A missing rate, or a rate of 0, means no limit. */
function readQuota(tenant: JsonObject): WorkspaceQuota | undefined {
  const perSecond = optionalNonNegativeNumber(tenant, "rate_per_s") ?? 0;
  if (perSecond === 0) return undefined;
  return {
    unit: tenant["unit"] === "token_count"
      ? QuotaUnit.tokens
      : QuotaUnit.requests,
    perSecond,
    burst: optionalNonNegativeNumber(tenant, "burst") ?? perSecond,
    plainTokens: optionalNonNegativeNumber(tenant, "plain_tokens") ?? 1,
  };
}

/** `version` is the version of the weights, not that of the configuration. */
function readWantedWeights(value: Uint8Array): WantedWeights {
  const weights = parseObject(value);
  return {
    model: nonEmptyText(weights, "model"),
    version: wholeNumber(weights, "version"),
  };
}
