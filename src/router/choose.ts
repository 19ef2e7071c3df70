/** Selects the backend server for one attempt of a request. */
import {
  COPY_MIN_TOKENS,
  type CopySources,
  findBestCopy,
} from "./cache_copy.ts";
import type { Chain } from "./expected_cache.ts";
import type { RunCopy } from "./model.ts";
import type { ServerLoad } from "./peer_load_sum.ts";
import type { Caller } from "./permit_bucket.ts";
import { type PromptStore, selectStore } from "./prompt_store.ts";
import type { RoutedRequest } from "./request.ts";
import type { Server } from "./server.ts";
import { callsHeldBy, dividedCostMs } from "./service_room.ts";
import { assessWeights, type ReplacedWeights } from "./replaced_weights.ts";

/** Placement policies; all except `cost` are baselines for comparison. */
export const ChoiceName = {
  cost: "cost",
  leastLoaded: "least_loaded",
  random: "random",
} as const;

/** One of {@link ChoiceName}. */
export type ChoiceName = typeof ChoiceName[keyof typeof ChoiceName];

/**
 * Saving a prompt stores its unshared last part too, which no other request reuses. Above this
 * ratio of unshared to shared tokens, a save would evict more useful data than it adds.
 */
const MAX_UNSHARED_RATIO = 1.5;
/** Extra round-trip time to a server in another zone. */
const CROSS_ZONE_COST_MS = 2;
/**
 * Random part of a server's cost, as a share of the age of the load data. It keeps entries that
 * hold the same outdated load data from all choosing the same server. At an age of 0.6 s it is
 * worth 14 requests in flight; load data younger than the first limit counts as current.
 */
const JITTER_RATIO = 0.125;
const JITTER_FROM_MS = 50;
const JITTER_MIN_MS = 1;
/** Cost of each recent failure of the server. */
const FAILURE_COST_MS = 150;
/** Cost of an unreachable server; high enough that it is chosen only if there is no other. */
const DOWN_COST_MS = 20_000;
/** Cost of a server that should get no new requests, for example because its weights change. */
const HELD_BACK_COST_MS = 10_000;
/** Initial estimate of a plain call's duration; the slowness of each server is relative to it. */
const PLAIN_CALL_MS = 60;

/** Input of {@link choose}: a request and its candidate servers. */
export interface Placement {
  servers: Server[];
  zone: string;
  nowMs: number;
  /** Servers to exclude. A restarted server is a new {@link Server} and is not excluded. */
  tried: ReadonlySet<Server>;
  /** Who sends the request; undefined: it may not go to servers that take a limited rate. */
  caller?: Caller;
  /** Undefined for plain calls. */
  prompt?: PromptPlacement;
  /** Age of the load data received from other entries. */
  loadAgeMs: number;
  random: () => number;
  choice: ChoiceName;
  /** Whether the service has less room than its requests demand; see {@link dividedCostMs}. */
  isDivided?: boolean;
}

/** Properties of a prompt that affect placement. */
export interface PromptPlacement extends ReplacedWeights {
  model: string;
  promptTokens: number;
  /** Returns the chain under the cache salt of this weights version. */
  chainFor(weightsVersion: number): Chain;
  /** Maximum number of tokens to generate. */
  outputTokens: number;
  /** Newest version of the weights that should be used. */
  wantedVersion: number;
  /** Shared stores of cached prompts, outside the engines' own caches. */
  stores: readonly PromptStore[];
}

/** The selected server, with the expected latency and cache transfers. */
export interface Choice {
  server: Server;
  /** Expected time to the first byte of the answer. */
  expectedMs: number;
  /** Part of `expectedMs` spent waiting for other requests. */
  queueMs: number;
  /** Prompt tokens that the server has to prefill. */
  uncachedTokens: number;
  /** Load of the server without the request; absent for plain calls and moved runs. */
  load?: Readonly<ServerLoad>;
  /** Part of `expectedMs` in which cached prompt parts are copied. */
  copyMs?: number;
  /** Whether `expectedMs` follows from learned rates; they may no longer apply when the answer starts. */
  usesLearnedRates?: boolean;
  weightsVersion?: number;
  /** Remaining time in which the server's replaced weights may be used; undefined: unlimited. */
  weightsLeftMs?: number;
  chain?: Chain;
  /** Address of a server or store to copy cached prompt parts from. */
  copyFrom?: string;
  /** Address of the store in which the engine should save the prompt. */
  saveTo?: string;
  /** Copied memory of a moved run, if the request continues from one. */
  copy?: RunCopy;
  /** A permit was obtained for the send, as the server takes a limited rate. */
  hasPermit?: boolean;
}

interface Candidate extends Choice {
  score: number;
  /** False if the server's weights are too old to start or finish the request. */
  maySend: boolean;
}

/**
 * @param placement The request and its candidate servers.
 * @returns The server with the lowest expected cost; undefined if no server is eligible.
 */
export function choose(placement: Placement): Choice | undefined {
  const views: PromptViews = new Map();
  let best: Candidate | undefined;
  for (const server of placement.servers) {
    if (placement.tried.has(server)) continue;
    if (server.isFull(placement.nowMs)) continue;
    if (server.permitPauses.leftMs(placement.nowMs, placement.caller) > 0) {
      continue;
    }
    const candidate = placement.prompt
      ? evaluatePrompt(placement, placement.prompt, { server, views })
      : evaluateCall(placement, server);
    if (!candidate.maySend) continue;
    if (!best || candidate.score < best.score) best = candidate;
  }
  return best;
}

/**
 * @param request A request.
 * @param choice The server that it is about to be sent to.
 * @returns Expected time until its answer is complete.
 */
export function expectedAnswerMs(
  { facts }: RoutedRequest,
  { server, expectedMs }: Choice,
): number {
  // How much of its answer a run that is taken up has generated already is unknown.
  const outputTokens = facts.lastEventId === undefined
    ? facts.prompt?.outputTokens ?? 0
    : 0;
  return expectedMs + server.outputTimes.expectedMs(outputTokens);
}

function evaluateCall(placement: Placement, server: Server): Candidate {
  const { nowMs } = placement;
  const { running } = server.load(nowMs);
  const slots = Math.max(1, server.entry.slots);
  const workMs = PLAIN_CALL_MS * server.health.slowness(nowMs);
  const queued = Math.max(0, running + 1 - slots);
  const expectedMs = workMs * (1 + queued / slots + running / (10 * slots));
  const isOverRoom = running >= callsHeldBy(server);
  const dividedMs = placement.isDivided
    ? dividedCostMs({ ...placement, isOverRoom })
    : 0;
  return {
    server,
    expectedMs,
    queueMs: expectedMs - workMs,
    uncachedTokens: 0,
    maySend: true,
    score: scoreOf(placement, server, expectedMs + running + dividedMs),
  };
}

function evaluatePrompt(
  placement: Placement,
  prompt: PromptPlacement,
  { server, views }: { server: Server; views: PromptViews },
): Candidate {
  const { nowMs } = placement;
  const weightsVersion = server.weights(prompt.model) ?? prompt.wantedVersion;
  const view = getPromptView(placement, prompt, { weightsVersion, views });
  const { chain } = view;
  const cached = server.cache.cachedTokens(chain);
  const copy = findBestCopy(view, server, cached);
  const availableTokens = copy ? copy.tokens : cached;
  const uncachedTokens = Math.max(0, prompt.promptTokens - availableTokens);
  const load = server.load(nowMs);
  // The constants, unless the rates of the service are learned.
  const { rates } = server.times;
  const timeFactor = server.times.factor(nowMs);
  const queueMs = timeFactor *
    (load.pendingTokens / rates.tokensPerMs +
      load.running * rates.runningMs);
  const processingMs = timeFactor *
    (rates.baseMs + uncachedTokens / rates.tokensPerMs);
  const copyMs = copy?.copyMs ?? 0;
  const expectedMs = queueMs + processingMs + copyMs;
  const tokensToRecompute = Math.max(0, view.sharedTokens - availableTokens);
  const delayedMs = view.meanRunning * tokensToRecompute / rates.tokensPerMs;
  const outputMs = server.outputTimes.expectedMs(prompt.outputTokens);
  const weights = assessWeights(prompt, {
    version: weightsVersion,
    expectedMs,
    outputMs,
  });
  // The engine changes its weights when the answer has ended.
  const delaysChange = server.isNextToChange(nowMs);
  const extraCostMs = delayedMs + weights.penaltyMs +
    (delaysChange ? outputMs : 0);
  return {
    server,
    expectedMs,
    queueMs,
    uncachedTokens,
    load,
    copyMs,
    usesLearnedRates: server.times.pace !== undefined,
    weightsVersion,
    weightsLeftMs: weights.leftMs,
    maySend: weights.maySend,
    chain,
    copyFrom: copy?.address,
    saveTo: view.saveTo,
    score: scoreOf(placement, server, expectedMs + extraCostMs),
  };
}

function scoreOf(placement: Placement, server: Server, costMs: number): number {
  const { nowMs, choice, random, loadAgeMs } = placement;
  const isFar = server.entry.zone !== placement.zone;
  const penaltyMs = (server.health.isDown ? DOWN_COST_MS : 0) +
    (server.isHeldBack(nowMs) ? HELD_BACK_COST_MS : 0) +
    server.health.failures(nowMs) * FAILURE_COST_MS;
  switch (choice) {
    case ChoiceName.cost:
      return costMs + penaltyMs + (isFar ? CROSS_ZONE_COST_MS : 0) +
        random() * jitterMs(loadAgeMs);
    case ChoiceName.leastLoaded:
      return server.load(nowMs).running + penaltyMs + random();
    case ChoiceName.random:
      return penaltyMs + random();
  }
}

function jitterMs(loadAgeMs: number): number {
  const ageMs = loadAgeMs - JITTER_FROM_MS;
  return Math.max(JITTER_MIN_MS, ageMs * JITTER_RATIO);
}

/** State of a prompt that is the same for all servers with the same weights version. */
interface PromptView extends CopySources {
  chain: Chain;
  /** Tokens that other requests may share. */
  sharedTokens: number;
  /**
   * Mean number of requests in flight at a server. Prompts are read between the tokens of the others'
   * answers, so that each token which is read again delays all of them.
   */
  meanRunning: number;
  /** Address of the store in which to save the prompt. */
  saveTo?: string;
}

/** Keyed by weights version. */
type PromptViews = Map<number, PromptView>;

function getPromptView(
  placement: Placement,
  prompt: PromptPlacement,
  { weightsVersion, views }: { weightsVersion: number; views: PromptViews },
): PromptView {
  const cachedView = views.get(weightsVersion);
  if (cachedView) return cachedView;
  const view = createView(placement, prompt, prompt.chainFor(weightsVersion));
  views.set(weightsVersion, view);
  return view;
}

function createView(
  { servers, nowMs, choice }: Placement,
  { stores }: PromptPlacement,
  chain: Chain,
): PromptView {
  const view: PromptView = {
    chain,
    sharedTokens: sharedTokens(chain),
    meanRunning: meanRunning(servers, nowMs),
    sources: [],
  };
  if (choice !== ChoiceName.cost) return view;
  for (const server of servers) {
    if (server.health.isDown) continue;
    const tokens = server.cache.readyTokens(chain, nowMs);
    if (tokens < COPY_MIN_TOKENS) continue;
    const { entry: { address, zone }, copyMsPerToken } = server;
    view.sources.push({ server, address, zone, tokens, copyMsPerToken });
  }
  const store = selectStore(stores, chain);
  if (!store) return view;
  const tokens = store.cache.readyTokens(chain, nowMs);
  if (tokens >= COPY_MIN_TOKENS) view.stored = { ...store, tokens };
  if (shouldSave(store, chain, view.sharedTokens)) view.saveTo = store.address;
  return view;
}

function meanRunning(servers: readonly Server[], nowMs: number): number {
  let running = 0;
  for (const server of servers) running += server.load(nowMs).running;
  return running / Math.max(1, servers.length);
}

/** Saves only prompts whose shared parts are not all in the store yet. */
function shouldSave(store: PromptStore, chain: Chain, shared: number): boolean {
  if (shared < COPY_MIN_TOKENS) return false;
  const unsharedTokens = chain.parts.at(-1)?.tokens ?? 0;
  if (unsharedTokens > shared * MAX_UNSHARED_RATIO) return false;
  return store.cache.cachedTokens(chain) < shared;
}

/** Excludes the last part, which is specific to the request. */
function sharedTokens(chain: Chain): number {
  let tokens = 0;
  for (let i = 0; i < chain.parts.length - 1; i++) {
    tokens += chain.parts[i]!.tokens;
  }
  return tokens;
}
