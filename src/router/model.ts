/** What the router knows: routes, services, workspaces, backend servers and named weights. */

/** What may be done with a request whose outcome is unknown. */
export const RequestKind = {
  /** Idempotent: may run more than once. */
  safe: "safe",
  /** Runs at most once. */
  unsafe: "unsafe",
  /** Answered by a stream of numbered events; idempotent only where the route is resumable. */
  stream: "stream",
} as const;

/** One of {@link RequestKind}. */
export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

/** Part of a route's traffic that goes to one service. */
export interface ServiceShare {
  service: string;
  /** Relative to the other shares of the route. */
  weight: number;
}

/** Requests of one host under one path prefix. */
export interface Route {
  name: string;
  /** Host name in lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Longest time that a request may be kept waiting. */
  timeoutMs: number;
  /** Time within which an answer earns its full value. */
  targetLatencyMs: number;
  /** 0 is served first. */
  priority: number;
  shares: ServiceShare[];
  /** Backend servers that one request may run on, at most. */
  maxAttempts: number;
  /** Served without a key. */
  anonymous: boolean;
  /** A broken stream may go on at another server behind the last event. */
  resumable: boolean;
}

/** What is known of the model engines of a service. */
export interface EngineLimits {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Tokens that fit into one engine's memory. */
  cacheTokens: number;
  /** Memory of one token. */
  tokenBytes?: number;
  linkMbps?: number;
}

/** A store of cached prompts that engines save to and copy from. */
export interface CacheStore {
  /** `ip:port`. */
  address: string;
  zone: string;
  cacheTokens: number;
  linkMbps?: number;
}

/** Time to copy a token within a zone where no rate is known. */
const COPY_MS_PER_TOKEN = 0.0012;
const BITS_PER_BYTE = 8;

/**
 * @param link Rate of a server's or store's link, as configured, and the memory of a token.
 * @returns Time to copy a token over it.
 */
export function copyMsPerToken(
  { tokenBytes, linkMbps }: { tokenBytes?: number; linkMbps?: number },
): number {
  if (!tokenBytes || !linkMbps) return COPY_MS_PER_TOKEN;
  const bitsPerMs = linkMbps * 1000;
  return tokenBytes * BITS_PER_BYTE / bitsPerMs;
}

/** A group of backend servers that answer the same requests. */
export interface Service {
  name: string;
  /** Connections that one server takes from all callers together. */
  connectionLimit: number;
  /** Left out for plain services. */
  engine?: EngineLimits;
  /** Given where the service is no group of servers but a store of cached prompts. */
  cacheStore?: CacheStore;
}

/** Bounds on what a client may send. */
export interface ClientLimits {
  /** Request line and header fields. */
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A customer's unit of keys and cache isolation. */
export interface Workspace {
  name: string;
  keys: string[];
  /** Goes before the route's priority; 0 is served first. */
  priority?: number;
  /** Shares no cached prompt with any other workspace. */
  isolated: boolean;
  /** Left out: no limit. */
  quota?: WorkspaceQuota;
}

/** What a workspace's requests are counted in. */
export const QuotaUnit = {
  requests: "requests",
  /** Tokens of the prompt and those that are generated at most. */
  tokens: "tokens",
} as const;

/** One of {@link QuotaUnit}. */
export type QuotaUnit = typeof QuotaUnit[keyof typeof QuotaUnit];

/** What a workspace may run, over all entries together. */
export interface WorkspaceQuota {
  unit: QuotaUnit;
  /** In units. */
  perSecond: number;
  /** What may be run at once after a pause, in units. */
  burst: number;
  /** What a request without a prompt counts as, where tokens are counted. */
  plainTokens: number;
}

/** One version of the operator's configuration. */
export interface RoutingConfig {
  version: number;
  routes: Route[];
  services: Service[];
  limits: ClientLimits;
  /** Empty: requests carry no keys. */
  workspaces: Workspace[];
}

/** A backend server as it registered itself. */
export interface BackendServer {
  /** Stays the same when the server starts again. */
  id: string;
  /**
   * When the server started, by its own clock, since 1970; left out: unknown. After another start
   * it holds nothing of what it held before, and counts its orders anew.
   */
  bornAtMs?: number;
  service: string;
  /** `ip:port`. */
  address: string;
  zone: string;
  draining: boolean;
  slots: number;
  /** Version of the weights that are loaded, by model. */
  weights: ReadonlyMap<string, number>;
}

/**
 * @param bornAtMs Start that something was said of, if it is known.
 * @param server A server.
 * @returns Whether that may be the server's present start.
 */
export function isSameStart(
  bornAtMs: number | undefined,
  server: BackendServer,
): boolean {
  return bornAtMs === undefined || server.bornAtMs === undefined ||
    bornAtMs === server.bornAtMs;
}

/**
 * @param server A server.
 * @returns Its id with its start: one that starts again under its id is another.
 */
export function startOf({ id, bornAtMs = 0 }: BackendServer): string {
  return `${id}/${bornAtMs}`;
}

/** Weights that the operator wants in use. */
export interface WantedWeights {
  model: string;
  version: number;
}

/** One part of a prompt that other requests may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a model request says of its prompt. */
export interface PromptFacts {
  model: string;
  /** Tokens of the whole prompt. */
  promptTokens: number;
  /** Tokens that are generated at most. */
  outputTokens: number;
  /** In order; the last one belongs to the request or its session alone. */
  parts: PromptPart[];
}

/** What the router needs of a client's request besides its bytes. */
export interface RequestFacts {
  /** The client's id of this attempt; empty where it sent none. */
  requestId: string;
  host: string;
  /** Path and query, as sent. */
  target: string;
  method: string;
  /** Time that the client waits, from now. */
  deadlineMs?: number;
  /** Key behind the authorization scheme. */
  key?: string;
  /** Last event that the client already has, where it resumes a stream. */
  lastEventId?: string;
  prompt?: PromptFacts;
}

/** What the router tells a backend server besides the client's own headers. */
export interface ForwardFacts {
  /** Time left when the request is sent. */
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
  /** `ip:port` of a server or store from whose cache the prompt may be copied. */
  copyFrom?: string;
  /** `ip:port` of a store to which the prompt's parts are saved once they are read. */
  saveTo?: string;
  /** Overrides the client's own. */
  lastEventId?: string;
  /** Memory of the request's run, where it goes on. */
  copy?: RunCopy;
}

/** Which server is called; another one at its address refuses. */
export interface ServerAddress {
  id: string;
  /** `ip:port`. */
  address: string;
}

/** Memory of a run, copied to the engine at which it is to go on. */
export interface RunCopy {
  /** The engine that it ran on. */
  source: ServerAddress;
  copyId: string;
}

/** What the head of a server's answer says. */
export interface AnswerFacts {
  status: number;
  /** The server vouches that the request did not run and never will. */
  notRun: boolean;
  /** Id of the request that the answer belongs to, where it says so. */
  requestId?: string;
  /** The server's signature is there. */
  signed: boolean;
  /** The body is not the server's own bytes. */
  encoded: boolean;
  /** The body has a length or is chunked; without either, one cut short can look whole. */
  framed: boolean;
  /** Id of the server that answered, where it says so. */
  serverId?: string;
  weightsVersion?: number;
  /** The server is to end soon. */
  leaving: boolean;
  /** For how long the server wants nothing more from this entry, where it says so. */
  retryAfterMs?: number;
}

/** A server's own account of its load; some hundred ms old. */
export interface ServerReport {
  /** As in {@link BackendServer}. */
  bornAtMs?: number;
  weights: ReadonlyMap<string, number>;
  /** An order is being carried out. */
  busy: boolean;
  /** Orders accepted since the server started. */
  orderSequence: number;
  waiting: number;
  running: number;
}
