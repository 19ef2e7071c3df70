/** Data model of the router: configuration, backend servers, and facts about requests and answers. */

/** Whether a request whose outcome is unknown may be run again. */
export const RequestKind = {
  /** Idempotent: may run more than once. */
  safe: "safe",
  /** Runs at most once. */
  unsafe: "unsafe",
  /** Answered by a stream of numbered events; idempotent only if the route is resumable. */
  stream: "stream",
} as const;

/** One of {@link RequestKind}. */
export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

/** Share of a route's traffic that goes to one service. */
export interface ServiceShare {
  service: string;
  /** Relative to the weights of the route's other shares. */
  weight: number;
}

/** Settings of the requests to one host under one path prefix. */
export interface Route {
  name: string;
  /** Host name in lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Maximum time until a request is answered. */
  timeoutMs: number;
  /** Target latency, within which an answer has its full value. */
  targetLatencyMs: number;
  /** 0 is served first. */
  priority: number;
  shares: ServiceShare[];
  /** Maximum number of backend servers that one request may run on. */
  maxAttempts: number;
  /** Whether requests without a valid key are served. */
  anonymous: boolean;
  /** Whether a broken stream may be resumed at another server after the last event. */
  resumable: boolean;
}

/** Capacities of each model engine of a service. */
export interface EngineLimits {
  /** Number of requests that one engine runs concurrently. */
  slots: number;
  /** Capacity of one engine's KV cache, in tokens. */
  cacheTokens: number;
  /** Size of one token in the KV cache. */
  tokenBytes?: number;
  linkMbps?: number;
  /** Whether the engines copy the memory of runs to each other while they run. */
  hasBackups?: boolean;
}

/** A store of cached prompts, to which engines save prompts and from which they copy them. */
export interface CacheStore {
  /** `ip:port`. */
  address: string;
  zone: string;
  cacheTokens: number;
  linkMbps?: number;
}

/** Time to copy the KV cache of a token within a zone if no link rate is configured. */
const COPY_MS_PER_TOKEN = 0.0012;
const BITS_PER_BYTE = 8;

/**
 * @param link Configured rate of a server's or store's link, and size of a token in the KV cache.
 * @returns Time to copy a token over the link.
 */
export function copyMsPerToken(
  { tokenBytes, linkMbps }: { tokenBytes?: number; linkMbps?: number },
): number {
  if (!tokenBytes || !linkMbps) return COPY_MS_PER_TOKEN;
  const bitsPerMs = linkMbps * 1000;
  return tokenBytes * BITS_PER_BYTE / bitsPerMs;
}

/** A group of interchangeable backend servers, or a cache store. */
export interface Service {
  name: string;
  /** Maximum connections that one server accepts from all clients together. */
  connectionLimit: number;
  /** Absent for plain services, which run no models. */
  engine?: EngineLimits;
  /** Set if the service is a store of cached prompts instead of a group of servers. */
  cacheStore?: CacheStore;
}

/** Limits on clients' requests and connections. */
export interface ClientLimits {
  /** Maximum size of the request line and the header fields. */
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A set of keys that share a priority, a quota and the isolation of cached prompts. */
export interface Workspace {
  name: string;
  keys: string[];
  /** Overrides the route's priority; 0 is served first. */
  priority?: number;
  /** Whether the workspace shares no cached prompt with any other workspace. */
  isolated: boolean;
  /** Absent: no limit. */
  quota?: WorkspaceQuota;
}

/** Unit in which a workspace's quota is counted. */
export const QuotaUnit = {
  requests: "requests",
  /** Prompt tokens plus the maximum of generated tokens. */
  tokens: "tokens",
} as const;

/** One of {@link QuotaUnit}. */
export type QuotaUnit = typeof QuotaUnit[keyof typeof QuotaUnit];

/** Rate limit of a workspace, over all entries together. */
export interface WorkspaceQuota {
  unit: QuotaUnit;
  /** Sustained rate, in units. */
  perSecond: number;
  /** Capacity of the token bucket, in units. */
  burst: number;
  /** Cost in tokens of a request without a prompt, if the unit is tokens. */
  plainTokens: number;
}

/** One version of the operator's configuration. */
export interface RoutingConfig {
  version: number;
  routes: Route[];
  services: Service[];
  limits: ClientLimits;
  /** If empty, all requests are anonymous. */
  workspaces: Workspace[];
}

/** The registration of a backend server. */
export interface BackendServer {
  /** Unchanged when the server restarts. */
  id: string;
  /**
   * When the server started, by its own clock, in ms since 1970; absent if unknown. A restart empties
   * the server's caches and resets its order sequence.
   */
  bornAtMs?: number;
  service: string;
  /** `ip:port`. */
  address: string;
  zone: string;
  /** Version of the server's software; absent if unknown. */
  softwareVersion?: string;
  /**
   * The process has not registered yet, and the software version is that of the earlier one under the
   * server's id.
   */
  isVersionAssumed?: boolean;
  draining: boolean;
  slots: number;
  /** Loaded weights version, by model. */
  weights: ReadonlyMap<string, number>;
}

/**
 * @param bornAtMs Start time to which some information refers, if known.
 * @param server A server.
 * @returns Whether the information may refer to the server's current incarnation.
 */
export function isSameIncarnation(
  bornAtMs: number | undefined,
  server: BackendServer,
): boolean {
  return bornAtMs === undefined || server.bornAtMs === undefined ||
    bornAtMs === server.bornAtMs;
}

/**
 * @param server A server.
 * @returns Key of the server's incarnation: its id and start time, so that a restart changes the key.
 */
export function incarnationKey(
  { id, bornAtMs = 0 }: Pick<BackendServer, "id" | "bornAtMs">,
): string {
  return `${id}/${bornAtMs}`;
}

/** Weights version that the operator wants for a model. */
export interface WantedWeights {
  model: string;
  version: number;
}

/** One segment of a prompt, which other requests may share as part of a common prefix. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Facts about the prompt of a model request. */
export interface PromptFacts {
  model: string;
  /** Length of the whole prompt, in tokens. */
  promptTokens: number;
  /** Maximum number of generated tokens. */
  outputTokens: number;
  /** Segments in order; the last one belongs to this request or its session only. */
  parts: PromptPart[];
}

/** Facts that the router reads from a client's request. */
export interface RequestFacts {
  /** The client's id of this attempt; empty if it sent none. */
  requestId: string;
  host: string;
  /** Path and query, as sent. */
  target: string;
  method: string;
  /** Remaining time that the client waits for the answer. */
  deadlineMs?: number;
  /** API key: the credentials after the authorization scheme. */
  key?: string;
  /** Id of the last event that the client received, if it takes a stream up again. */
  lastEventId?: string;
  /** Id of the client's attempt that brought the first event of the stream that it takes up. */
  resumedId?: string;
  prompt?: PromptFacts;
}

/** Information that the router adds to the client's headers for a backend server. */
export interface ForwardFacts {
  /** Remaining time of the request when it is sent. */
  deadlineMs: number;
  /** Only the server with this id may run the request. */
  serverId: string;
  workspace?: string;
  /** Requests with different salts share no cached prompt. */
  cacheSalt?: string;
  /** Only a server with these weights may run the request. */
  weightsVersion?: number;
  /** 0 is admitted first, 9 last. */
  enginePriority?: number;
  /** `ip:port` of a server or store from which the cached prompt may be copied. */
  copyFrom?: string;
  /** `ip:port` of a store to which the prompt is saved after its prefill. */
  saveTo?: string;
  /** Overrides the client's last event id. */
  lastEventId?: string;
  /** `ip:port` of the engine to which the run's memory is copied while it runs. */
  backupTo?: string;
  /** Copy of the KV cache of the request's run, if a moved or lost run is continued. */
  copy?: RunCopy;
}

/** Id and address of a server; a different server at the same address refuses the call. */
export interface ServerAddress {
  id: string;
  /** `ip:port`. */
  address: string;
}

/** KV cache of a run, copied to the engine at which the run continues. */
export interface RunCopy {
  /** The engine from which the run was moved, or the one that holds the run's backup. */
  source: ServerAddress;
  copyId: string;
  /** The lost run, if the copy is its backup, which engines free themselves. */
  lostRun?: LostRunPlace;
}

/** Where a run was lost, and when. */
export interface LostRunPlace {
  serverId: string;
  lostAtMs: number;
}

/** What an answer says about the rate of requests that its server takes. */
export const AnswerRateKind = {
  /** The server names no rate, so it takes any number of requests. */
  none: "none",
  limited: "limited",
  /** The named rate is not a number from 0 up. */
  malformed: "malformed",
} as const;

/** Rate of requests that a server takes from all entries together, as an answer names it. */
export type AnswerRate =
  | { kind: typeof AnswerRateKind.none }
  | { kind: typeof AnswerRateKind.limited; perSecond: number }
  | { kind: typeof AnswerRateKind.malformed; value: string };

/** Facts that the router reads from the head of a server's answer. */
export interface AnswerFacts {
  status: number;
  /** The server guarantees that the request did not run and never will. */
  notRun: boolean;
  /** Id of the request that is answered, if the answer names it. */
  requestId?: string;
  /** The answer carries the server's signature. */
  signed: boolean;
  /** The body has a content encoding. */
  encoded: boolean;
  /** Id of the server that answered, if the answer names it. */
  serverId?: string;
  weightsVersion?: number;
  /** The server is about to shut down. */
  leaving: boolean;
  /** The rate of requests that the server takes while it names it. */
  rate: AnswerRate;
  /** Pause that the server asks of this entry, if any. */
  retryAfterMs?: number;
}

/** Load report of a server; some hundred ms old when it is used. */
export interface ServerReport {
  /** See {@link BackendServer.bornAtMs}. */
  bornAtMs?: number;
  weights: ReadonlyMap<string, number>;
  /** The server is executing an order. */
  busy: boolean;
  /** Number of orders accepted since the server started. */
  orderSequence: number;
  waiting: number;
  running: number;
}

/**
 * @param entry A registration.
 * @param known Another one of the same server.
 * @returns Whether the first one is known to be of an earlier start.
 */
export function isOlderStart(
  entry: BackendServer,
  known: BackendServer,
): boolean {
  return entry.bornAtMs !== undefined && known.bornAtMs !== undefined &&
    entry.bornAtMs < known.bornAtMs;
}
