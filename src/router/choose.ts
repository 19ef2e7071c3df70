/** Chooses the backend server for one attempt of a request. */
import type { Chain } from "./cache_book.ts";
import type { RunCopy } from "./model.ts";
import { type PromptStore, storeOf } from "./prompt_store.ts";
import type { Server } from "./server.ts";
import { type ReplacedWeights, weighReplaced } from "./replaced_weights.ts";

/** Ways of choosing; all but `cost` are baselines to compare with. */
export const ChoiceName = {
  cost: "cost",
  leastLoaded: "least_loaded",
  random: "random",
} as const;

/** One of {@link ChoiceName}. */
export type ChoiceName = typeof ChoiceName[keyof typeof ChoiceName];

/** Prompt tokens that an engine reads in a ms: the size sheet of the deployments, 81.9. */
const READ_TOKENS_PER_MS = 80;
/** Time to a first token with nothing to read: the sheet's 41 ms and one step. */
const FIRST_TOKEN_MS = 45;
/** What one more running request adds to each step, over the steps that a first token waits. */
const RUNNING_MS = 5;
/** A copy between zones takes twice as long. */
const FAR_COPY_FACTOR = 2;
/** Time to set up a copy. */
const COPY_SETUP_MS = 7;
/** Copies of less than this are not worth their set-up. */
const COPY_MIN_TOKENS = 48;
/**
 * A prompt is saved whole, its own part included, which nobody asks for again; one whose own part is
 * larger than this multiple of the shared ones would push more out of the store than it brings.
 */
const SAVE_OWN_FACTOR = 1.5;
/** Price of reading a shared token again, against waiting: 1.2 of worth for a thousand tokens. */
const REREAD_MS_PER_TOKEN = 0.08;
/** Round trip to another zone, beside the same zone. */
const FAR_MS = 2;
/**
 * Chance in the price of a server, as a share of the age of what is known of its load: entries that
 * all know the same, a while ago, would else all send to the same server. At 0.6 s it is worth 14
 * requests under way; below the first limit loads are as good as new.
 */
const JITTER_SHARE = 0.125;
const JITTER_FROM_MS = 50;
const JITTER_MIN_MS = 1;
/** Price of each recent failure at the server. */
const FAILURE_MS = 150;
/** Price of a server that can't be reached; chosen only if there is no other. */
const DOWN_MS = 20_000;
/** Price of a server that takes nothing new because its weights change. */
const HELD_BACK_MS = 10_000;
/** An answer that takes longer than this would hold up the change of its engine's weights. */
const LONG_ANSWER_MS = 1500;
/** Price of such an answer where weights change next; short ones keep the engine in use. */
const LONG_ANSWER_PRICE_MS = 2000;
/** Time that a plain call takes before anything is known: the sheets' 21 to 86 ms. */
const PLAIN_CALL_MS = 60;

/** What is to be placed. */
export interface Placement {
  servers: Server[];
  zone: string;
  nowMs: number;
  /** Servers that this request was sent to before; one that has started again is another. */
  tried: ReadonlySet<Server>;
  /** Left out for plain calls. */
  prompt?: PromptPlacement;
  /** How old what other entries told of their load may be. */
  loadAgeMs: number;
  random: () => number;
  choice: ChoiceName;
}

/** A prompt that is to be placed. */
export interface PromptPlacement extends ReplacedWeights {
  model: string;
  promptTokens: number;
  /** The chain as a server with these weights keeps it. */
  chainFor(weightsVersion: number): Chain;
  /** Tokens that are generated at most. */
  outputTokens: number;
  /** Newest version of the weights that is to be used. */
  wantedVersion: number;
  /** Where prompts are kept beside the engines' own caches. */
  stores: readonly PromptStore[];
}

/** Where a request goes, and what is expected there. */
export interface Choice {
  server: Server;
  /** Expected time to the first byte of the answer. */
  expectedMs: number;
  /** Part of it that the request waits for others. */
  queueMs: number;
  /** Tokens that the server has to read. */
  uncachedTokens: number;
  weightsVersion?: number;
  /** Time in which its weights, which were replaced, may be used at all; left out: no end. */
  weightsLeftMs?: number;
  chain?: Chain;
  /** Address of a server or store whose cache has more of the prompt. */
  copyFrom?: string;
  /** Address of a store that is to keep the prompt's parts. */
  saveTo?: string;
  /** Memory of the request's run, where it goes on. */
  copy?: RunCopy;
}

interface Candidate extends Choice {
  score: number;
  /** False: the server's weights are too old to begin it, or to end it. */
  maySend: boolean;
}

/**
 * @param placement The request and the servers that may take it.
 * @returns The server with the lowest expected cost, or nothing if there is none.
 */
export function choose(placement: Placement): Choice | undefined {
  const views: PromptViews = new Map();
  let best: Candidate | undefined;
  for (const server of placement.servers) {
    if (placement.tried.has(server)) continue;
    if (server.isFull(placement.nowMs)) continue;
    const candidate = placement.prompt
      ? weighPrompt(placement, placement.prompt, { server, views })
      : weighCall(placement, server);
    if (!candidate.maySend) continue;
    if (!best || candidate.score < best.score) best = candidate;
  }
  return best;
}

function weighCall(placement: Placement, server: Server): Candidate {
  const { nowMs } = placement;
  const { running } = server.load(nowMs);
  const slots = Math.max(1, server.entry.slots);
  const workMs = PLAIN_CALL_MS * server.health.slowness(nowMs);
  const queued = Math.max(0, running + 1 - slots);
  const expectedMs = workMs * (1 + queued / slots + running / (10 * slots));
  return {
    server,
    expectedMs,
    queueMs: expectedMs - workMs,
    uncachedTokens: 0,
    maySend: true,
    score: scoreOf(placement, server, expectedMs + running),
  };
}

function weighPrompt(
  placement: Placement,
  prompt: PromptPlacement,
  { server, views }: { server: Server; views: PromptViews },
): Candidate {
  const { nowMs } = placement;
  const weightsVersion = server.weights(prompt.model) ?? prompt.wantedVersion;
  const view = viewOf(placement, prompt, { weightsVersion, views });
  const { chain } = view;
  const cached = server.cache.cachedTokens(chain);
  const copy = findCopy(view, server, cached);
  const held = copy ? copy.tokens : cached;
  const uncachedTokens = Math.max(0, prompt.promptTokens - held);
  const load = server.load(nowMs);
  const slowness = server.health.slowness(nowMs);
  const queueMs = slowness *
    (load.pendingTokens / READ_TOKENS_PER_MS + load.running * RUNNING_MS);
  const ownMs = slowness *
    (FIRST_TOKEN_MS + uncachedTokens / READ_TOKENS_PER_MS);
  const expectedMs = queueMs + ownMs + (copy?.copyMs ?? 0);
  const reread = Math.max(0, view.sharedTokens - held);
  const outputMs = server.outputMs(prompt.outputTokens);
  const weights = weighReplaced(prompt, {
    version: weightsVersion,
    expectedMs,
    outputMs,
  });
  const holdsUp = outputMs > LONG_ANSWER_MS && server.isChangingNext(nowMs);
  const price = reread * REREAD_MS_PER_TOKEN + weights.priceMs +
    (holdsUp ? LONG_ANSWER_PRICE_MS : 0);
  return {
    server,
    expectedMs,
    queueMs,
    uncachedTokens,
    weightsVersion,
    weightsLeftMs: weights.leftMs,
    maySend: weights.maySend,
    chain,
    copyFrom: copy?.address,
    saveTo: view.saveTo,
    score: scoreOf(placement, server, expectedMs + price),
  };
}

function scoreOf(placement: Placement, server: Server, costMs: number): number {
  const { nowMs, choice, random, loadAgeMs } = placement;
  const isFar = server.entry.zone !== placement.zone;
  const avoidMs = (server.health.isDown ? DOWN_MS : 0) +
    (server.isHeldBack(nowMs) ? HELD_BACK_MS : 0) +
    server.health.failures(nowMs) * FAILURE_MS;
  switch (choice) {
    case ChoiceName.cost:
      return costMs + avoidMs + (isFar ? FAR_MS : 0) +
        random() * jitterMs(loadAgeMs);
    case ChoiceName.leastLoaded:
      return server.load(nowMs).running + avoidMs + random();
    case ChoiceName.random:
      return avoidMs + random();
  }
}

function jitterMs(loadAgeMs: number): number {
  const ageMs = loadAgeMs - JITTER_FROM_MS;
  return Math.max(JITTER_MIN_MS, ageMs * JITTER_SHARE);
}

/** What holds of a prompt on all servers with the same weights. */
interface PromptView {
  chain: Chain;
  /** Tokens that other requests may share. */
  sharedTokens: number;
  /** Address of the store that is to keep the prompt's parts. */
  saveTo?: string;
  /** Servers from which it may be copied. */
  sources: CopySource[];
  stored?: CopySource;
}

/** By version of the weights. */
type PromptViews = Map<number, PromptView>;

/** A server or store that has a part of a prompt. */
interface CopySource {
  /** Left out for a store. */
  server?: Server;
  address: string;
  zone: string;
  /** Leading tokens that it is expected to have. */
  tokens: number;
  copyMsPerToken: number;
}

interface Copy {
  address: string;
  /** Leading tokens that the server then has. */
  tokens: number;
  copyMs: number;
}

function viewOf(
  placement: Placement,
  prompt: PromptPlacement,
  { weightsVersion, views }: { weightsVersion: number; views: PromptViews },
): PromptView {
  const known = views.get(weightsVersion);
  if (known) return known;
  const view = viewPrompt(placement, prompt, prompt.chainFor(weightsVersion));
  views.set(weightsVersion, view);
  return view;
}

function viewPrompt(
  { servers, nowMs, choice }: Placement,
  { stores }: PromptPlacement,
  chain: Chain,
): PromptView {
  const view: PromptView = {
    chain,
    sharedTokens: sharedTokens(chain),
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
  const store = storeOf(stores, chain);
  if (!store) return view;
  const tokens = store.cache.readyTokens(chain, nowMs);
  if (tokens >= COPY_MIN_TOKENS) view.stored = { ...store, tokens };
  if (isToSave(store, chain, view.sharedTokens)) view.saveTo = store.address;
  return view;
}

/** The server of the same weights, or the store, whose cache has most of the chain. */
function findCopy(
  { sources, stored }: PromptView,
  server: Server,
  cached: number,
): Copy | undefined {
  let best: Copy | undefined;
  for (const source of sources) {
    if (source.server === server) continue;
    const copy = weighCopy(source, server, cached);
    if (copy && (!best || isBetter(copy, best))) best = copy;
  }
  const copy = stored && weighCopy(stored, server, cached);
  if (copy && (!best || copy.tokens >= best.tokens)) return copy;
  // A server may have dropped what it is expected to have; then the store fills in, else it costs
  // nothing.
  return best ?? (stored && {
    address: stored.address,
    tokens: Math.max(stored.tokens, cached),
    copyMs: 0,
  });
}

function weighCopy(
  source: CopySource,
  { entry }: Server,
  cached: number,
): Copy | undefined {
  const { address, zone, tokens, copyMsPerToken } = source;
  if (tokens < cached + COPY_MIN_TOKENS) return undefined;
  const factor = zone === entry.zone ? 1 : FAR_COPY_FACTOR;
  const copyMs = COPY_SETUP_MS + (tokens - cached) * copyMsPerToken * factor;
  return { address, tokens, copyMs };
}

function isBetter(copy: Copy, other: Copy): boolean {
  if (copy.tokens !== other.tokens) return copy.tokens > other.tokens;
  return copy.copyMs < other.copyMs;
}

/** Prompts are saved whose shared parts the store doesn't have yet. */
function isToSave(store: PromptStore, chain: Chain, shared: number): boolean {
  if (shared < COPY_MIN_TOKENS) return false;
  const own = chain.parts.at(-1)?.tokens ?? 0;
  if (own > shared * SAVE_OWN_FACTOR) return false;
  return store.cache.cachedTokens(chain) < shared;
}

/** The last part belongs to the request alone. */
function sharedTokens(chain: Chain): number {
  let tokens = 0;
  for (let i = 0; i < chain.parts.length - 1; i++) {
    tokens += chain.parts[i]!.tokens;
  }
  return tokens;
}
