/**
 * Names that the platform defines: headers in lower case, paths of calls, store keys and fields.
 * Only this folder uses them, so that the rest of the code doesn't depend on the platform.
 */

/** Headers of requests and answers between clients, the router and backend servers. */
export const Header = {
  requestId: "attempt-id",
  deadline: "deadline-ms",
  promptParts: "prompt-prefix",
  lastEventId: "last-event-id",
  resumes: "resumes",
  signature: "server-seal",
  workspace: "tenant",
  expectedServer: "expect-instance",
  notRun: "not-executed",
  retryAfter: "retry-after",
  serverId: "instance-id",
  leaving: "server-leaving",
  requestRate: "server-limit",
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
  storeEra: "store-era",
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

/** Path of the load balancer's readiness checks on an entry. */
export const READINESS_PATH = "/v1/readiness";

/** Key of the routing configuration that the operator writes. */
export const CONFIG_KEY = "op/config";
/** Prefix of the keys in which the operator sets the wanted weights of each model. */
export const WEIGHTS_PREFIX = "op/version/";
/** Prefix of the keys under which backend servers register. */
export const SERVERS_PREFIX = "servers/";

/** Scheme of the authorization header. */
export const KEY_SCHEME = "Bearer ";

/**
 * JSON fields of the platform's calls and stored values that code outside this folder must not use.
 */
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
