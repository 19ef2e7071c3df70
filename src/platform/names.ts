/**
 * The platform's own names, in one place: headers in lower case, paths of calls, and the prefixes
 * of its keys. Nothing outside this folder uses them.
 */

/** Headers between clients, the router and backend servers. */
export const Header = {
  requestId: "attempt-id",
  deadline: "deadline-ms",
  promptParts: "prompt-prefix",
  lastEventId: "last-event-id",
  signature: "server-seal",
  workspace: "tenant",
  expectedServer: "expect-instance",
  notRun: "not-executed",
  retryAfter: "retry-after",
  serverId: "instance-id",
  leaving: "server-leaving",
  model: "model",
  tokenCounts: "token-usage",
  cacheSalt: "cache-salt",
  priority: "request-priority",
  cacheSource: "kv-fetch",
  cacheTarget: "kv-save",
  weightsVersion: "weight-versions",
  expectedWeights: "expect-version",
  pin: "pin-ms",
  hold: "hold",
  backupTarget: "kv-backup",
  copySource: "kv-from",
  authorization: "authorization",
} as const;

/** Paths of calls to the store. */
export const StorePath = {
  key: "/v1/kv-key",
  range: "/v1/kv-range",
  watch: "/v1/kv-watch",
  commit: "/v1/kv-txn",
  lease: "/v1/kv-lease",
  renew: "/v1/kv-keep/",
  revoke: "/v1/kv-lease-end/",
} as const;

/** Paths of calls to backend servers. */
export const ServerPath = {
  report: "/v1/report",
  order: "/v1/order",
  move: "/v1/kv-move",
  dropCopy: "/v1/kv-handle/",
} as const;

/** Path at which the balancer asks whether an entry takes connections. */
export const READINESS_PATH = "/v1/readiness";

/** Key of the operator's configuration. */
export const CONFIG_KEY = "op/config";
/** Prefix of the keys that name wanted weights. */
export const WEIGHTS_PREFIX = "op/version/";
/** Prefix of the keys under which backend servers register. */
export const SERVERS_PREFIX = "servers/";

/** Scheme of the authorization header. */
export const KEY_SCHEME = "Bearer ";

/** Names of fields that only the platform uses, in bodies of calls and values of the store. */
export const FIELD_NAMES = [
  "allow_anonymous",
  "allow_resume",
  "api_keys",
  "current_rev",
  "fencing_token",
  "gap_target_ms",
  "header_timeout_ms",
  "health_path",
  "idle_timeout_ms",
  "kv_capacity_tokens",
  "kv_store_addr",
  "max_attempts",
  "max_body_bytes",
  "max_header_bytes",
  "more_pages",
  "plain_tokens",
  "rate_per_s",
  "sticky_sessions",
  "token_count",
  "target_latency_ms",
  "traffic_split",
  "ttl_ms",
  "wait_ms",
] as const;
