/** A backend server as this entry sees it: its registration, load, health and expected cache. */
import { Announced } from "./announced.ts";
import { AnswerOrder } from "./answer_order.ts";
import { CacheBook } from "./cache_book.ts";
import { ChannelSet } from "./channel.ts";
import { Health } from "./health.ts";
import type { BackendServer } from "./model.ts";
import { PeerLoadSum, type ServerLoad } from "./peer_load_sum.ts";

/** Time for a generated token before any answer was seen; small models are some times faster. */
const TOKEN_MS = 15;
/** Bounds on it, so that one odd answer does not decide. */
const TOKEN_MIN_MS = 1;
const TOKEN_MAX_MS = 200;
/** Weight of the newest answer in the moving averages. */
const TOKEN_SAMPLE_WEIGHT = 0.1;
/** Tokens of an answer before any was seen; after a few answers their own count decides. */
const OUTPUT_TOKENS = 50;

/** Times of connections to servers. */
export const CONNECTION_TIMES = {
  /** Servers are a few ms away; a connection that takes longer is to a dead one. */
  connectMs: 300,
  /** Idle ones are closed after this, unless the server names a shorter time. */
  idleMs: 4000,
} as const;

/** What a server takes; the configuration of its service says so. */
export interface ServerLimits {
  /** Room for cached prompts that may be counted on. */
  cacheTokens: number;
  /** Connections from all entries together. */
  connectionLimit: number;
  /** Time to copy a cached token from it within its zone. */
  copyMsPerToken: number;
}

/** Settings of a {@link Server}. */
export interface ServerOptions extends ServerLimits {
  connectMs: number;
  idleMs: number;
  lagMs?: () => number;
  /** What this start of it announced before its registration lapsed; left out: nothing. */
  announced?: Announced;
}

/** One request under way, in this entry's count of a server's load. */
export interface LoadTicket {
  /** The first token has come. */
  started(): void;
  /** The request is over. */
  ended(): void;
}

/** One backend server. */
export class Server {
  readonly id: string;
  readonly channels: ChannelSet;
  readonly cache: CacheBook;
  readonly health = Health.create();
  readonly order = AnswerOrder.create();
  /** What it said of itself in its answers. */
  readonly announced: Announced;
  #entry: BackendServer;
  readonly #weights = new Map<string, number>();
  readonly #own: ServerLoad = { pendingTokens: 0, running: 0, bound: 0 };
  readonly #peers = new PeerLoadSum();
  #connectionLimit: number;
  #copyMsPerToken: number;
  #heldBackUntilMs = -Infinity;
  #changesNextUntilMs = -Infinity;
  #refusedUntilMs = -Infinity;
  #heardAtMs = -Infinity;
  /** Mean time and mean most tokens of an answer. */
  #answerMs = TOKEN_MS * OUTPUT_TOKENS;
  #answerTokens = OUTPUT_TOKENS;

  private constructor(entry: BackendServer, options: ServerOptions) {
    this.id = entry.id;
    this.#entry = entry;
    this.announced = options.announced ?? Announced.create();
    this.channels = ChannelSet.create({ address: entry.address, ...options });
    this.cache = CacheBook.create(options.cacheTokens);
    this.#connectionLimit = options.connectionLimit;
    this.#copyMsPerToken = options.copyMsPerToken;
    this.#learnAll(entry.weights);
  }

  /**
   * @param entry How the server registered.
   * @param options Times, and room for cached prompts.
   * @returns The server, without load.
   */
  static create(entry: BackendServer, options: ServerOptions): Server {
    return new Server(entry, options);
  }

  /** How it registered last. */
  get entry(): BackendServer {
    return this.#entry;
  }

  /**
   * @param nowMs The time.
   * @returns Whether it is to end soon and takes nothing new, by its registration or its own word.
   */
  isLeaving(nowMs: number): boolean {
    return this.#entry.draining ||
      this.announced.leavingSaidMs(nowMs) !== undefined;
  }

  /** Time to copy a cached token from it within its zone. */
  get copyMsPerToken(): number {
    return this.#copyMsPerToken;
  }

  /** This entry's own requests. */
  get ownLoad(): Readonly<ServerLoad> {
    return this.#own;
  }

  /** When a byte of an answer last came from it. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /**
   * @param nowMs The time.
   * @returns Requests of all entries.
   */
  load(nowMs: number): ServerLoad {
    const { pendingTokens, running, bound } = this.#own;
    const peers = this.#peers.at(nowMs);
    return {
      pendingTokens: pendingTokens + peers.pendingTokens,
      running: running + peers.running,
      bound: bound + peers.bound,
    };
  }

  /** @param entry A newer registration of the same start; one that doesn't name it changes it not. */
  update(entry: BackendServer): void {
    const bornAtMs = entry.bornAtMs ?? this.#entry.bornAtMs;
    this.#entry = { ...entry, bornAtMs };
    this.#learnAll(entry.weights);
  }

  /** @param limits What it takes from now on. */
  limit({ cacheTokens, connectionLimit, copyMsPerToken }: ServerLimits): void {
    this.cache.resize(cacheTokens);
    this.#connectionLimit = connectionLimit;
    this.#copyMsPerToken = copyMsPerToken;
  }

  /**
   * Connections beyond the limit are reset by the server, and a request that was sent over one may
   * or may not have run.
   *
   * @param nowMs The time.
   * @returns Whether one more request may need a connection too many.
   */
  isFull(nowMs: number): boolean {
    return this.load(nowMs).running >= this.#connectionLimit;
  }

  /**
   * @param peer Name of another entry.
   * @param load Its requests to this server.
   * @param nowMs The time.
   */
  setPeerLoad(peer: string, load: ServerLoad, nowMs: number): void {
    this.#peers.set(peer, load, nowMs);
  }

  /**
   * @param model Name of a model.
   * @returns Version of its weights here, as far as known.
   */
  weights(model: string): number | undefined {
    return this.#weights.get(model);
  }

  /**
   * Versions only rise: what says less is older.
   *
   * @param model Name of a model.
   * @param version Version of its weights here.
   * @returns Whether this was news.
   */
  learnWeights(model: string, version: number): boolean {
    const known = this.#weights.get(model);
    if (known !== undefined && known >= version) return false;
    this.#weights.set(model, version);
    if (known !== undefined) this.cache.clear();
    return true;
  }

  /**
   * Sends it nothing new for a while, because its weights are about to change.
   *
   * @param untilMs Until when, unless said again.
   */
  holdBack(untilMs: number): void {
    this.#heldBackUntilMs = untilMs;
  }

  /**
   * Its weights change after those of the engines that are held back now.
   *
   * @param untilMs Until when, unless said again.
   */
  changesNext(untilMs: number): void {
    this.#changesNextUntilMs = untilMs;
  }

  /**
   * @param nowMs The time.
   * @returns Whether long answers should go elsewhere, so that its change need not wait for them.
   */
  isChangingNext(nowMs: number): boolean {
    return nowMs < this.#changesNextUntilMs;
  }

  /**
   * Sends it nothing new for a moment, because it refused a request.
   *
   * @param untilMs Until when.
   */
  refused(untilMs: number): void {
    this.#refusedUntilMs = untilMs;
  }

  /**
   * @param nowMs The time.
   * @returns Whether its weights are about to change.
   */
  isChanging(nowMs: number): boolean {
    return nowMs < this.#heldBackUntilMs;
  }

  /**
   * @param nowMs The time.
   * @returns Whether it is to get nothing new.
   */
  isHeldBack(nowMs: number): boolean {
    return this.isChanging(nowMs) || nowMs < this.#refusedUntilMs;
  }

  /**
   * @param nowMs The time.
   */
  heard(nowMs: number): void {
    this.#heardAtMs = nowMs;
  }

  /**
   * @param tokens Tokens that a request generates at most.
   * @returns Expected time from its first token to its last.
   */
  outputMs(tokens: number): number {
    return tokens * this.#answerMs / this.#answerTokens;
  }

  /**
   * Notes how long a whole answer took. Long answers count by their tokens: short ones, which wait
   * for other prompts between a few tokens, would make all look several times as slow.
   *
   * @param tookMs Time from its first token to its last.
   * @param tokens Tokens that it might have generated at most.
   */
  learnOutput(tookMs: number, tokens: number): void {
    if (tokens <= 0) return;
    const sampleMs = Math.min(
      TOKEN_MAX_MS * tokens,
      Math.max(TOKEN_MIN_MS * tokens, tookMs),
    );
    this.#answerMs += TOKEN_SAMPLE_WEIGHT * (sampleMs - this.#answerMs);
    this.#answerTokens += TOKEN_SAMPLE_WEIGHT * (tokens - this.#answerTokens);
  }

  /**
   * Counts a request.
   *
   * @param pendingTokens Tokens that it has to read first.
   * @param isBound Whether it can't go on at another server.
   * @returns What to tell of its progress.
   */
  begin(pendingTokens: number, isBound: boolean): LoadTicket {
    const own = this.#own;
    let pending = pendingTokens;
    let isRunning = true;
    own.pendingTokens += pending;
    own.running++;
    if (isBound) own.bound++;
    const started = () => {
      own.pendingTokens -= pending;
      pending = 0;
    };
    const ended = () => {
      started();
      if (!isRunning) return;
      own.running--;
      if (isBound) own.bound--;
      isRunning = false;
    };
    return { started, ended };
  }

  /**
   * @param nowMs The time.
   * @returns Its state, for dumps.
   */
  state(nowMs: number): unknown {
    return {
      id: this.id,
      service: this.entry.service,
      draining: this.entry.draining,
      leaving: this.isLeaving(nowMs),
      pausedMs: Math.round(this.announced.pausedMs(nowMs)),
      bornAtMs: this.entry.bornAtMs,
      weights: Object.fromEntries(this.entry.weights),
      load: this.load(nowMs),
      slowness: this.health.slowness(nowMs),
      failures: this.health.failures(nowMs),
      isDown: this.health.isDown,
      heldBack: this.isHeldBack(nowMs),
      channels: this.channels.opened,
    };
  }

  #learnAll(weights: ReadonlyMap<string, number>): void {
    for (const [model, version] of weights) this.learnWeights(model, version);
  }
}
