/** State of a backend server in this entry: registration, load, health and expected cache. */
import { Announcements } from "./announcements.ts";
import { AnswerOrder } from "./answer_order.ts";
import { ExpectedCache } from "./expected_cache.ts";
import { type ChannelOptions, ChannelPool } from "./channel.ts";
import { Health } from "./health.ts";
import type { BackendServer } from "./model.ts";
import { PeerLoadSum, type ServerLoad } from "./peer_load_sum.ts";
import { PermitPauses } from "./permit_pauses.ts";

/** Initial estimate of the time per generated token; small models are several times faster. */
const INITIAL_TOKEN_MS = 15;
/** Bounds per token, which limit the effect of a single outlier. */
const TOKEN_MIN_MS = 1;
const TOKEN_MAX_MS = 200;
/** Weight of the newest sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/**
 * Initial estimate of the tokens per answer; the moving average replaces it after a few answers.
 */
const INITIAL_OUTPUT_TOKENS = 50;

/** Timeouts of connections to servers. */
export const CONNECTION_TIMES = {
  /** Servers are a few ms away, so a slower connection attempt means that the server is dead. */
  connectMs: 300,
  /** Idle timeout, unless the server announces a shorter one. */
  idleMs: 4000,
} as const;

/** Limits of a server, from the configuration of its service. */
export interface ServerLimits {
  /** Capacity of the prefix cache, in tokens, that placement may rely on. */
  cacheTokens: number;
  /** Maximum number of connections from all entries together. */
  connectionLimit: number;
  /** Time per token to copy cached tokens from this server within its zone. */
  copyMsPerToken: number;
}

/** Settings of a {@link Server}. */
export interface ServerOptions
  extends ServerLimits, Omit<ChannelOptions, "address"> {
  /** Announcements of the same server start before its registration lapsed; undefined: none. */
  announcements?: Announcements;
}

/** Tracks one request in flight in this entry's load count of a server. */
export interface LoadTicket {
  /** Call when the first token has arrived. */
  started(): void;
  /** Call when the request has ended. */
  ended(): void;
}

/** A backend server. */
export class Server {
  readonly id: string;
  readonly channels: ChannelPool;
  readonly cache: ExpectedCache;
  readonly health = Health.create();
  readonly order = AnswerOrder.create();
  /** Announcements that the server made in its answers. */
  readonly announcements: Announcements;
  /** Pauses after denied permits, if the server takes a limited rate of requests. */
  readonly permitPauses: PermitPauses;
  #entry: BackendServer;
  readonly #weights = new Map<string, number>();
  readonly #ownLoad: ServerLoad = { pendingTokens: 0, running: 0, bound: 0 };
  readonly #peerLoads = new PeerLoadSum();
  #connectionLimit: number;
  #copyMsPerToken: number;
  #heldBackUntilMs = -Infinity;
  #changesNextUntilMs = -Infinity;
  #refusedUntilMs = -Infinity;
  #lastByteAtMs = -Infinity;
  /** Moving averages of the answer time and of the maximum tokens per answer. */
  #answerMs = INITIAL_TOKEN_MS * INITIAL_OUTPUT_TOKENS;
  #answerTokens = INITIAL_OUTPUT_TOKENS;

  private constructor(entry: BackendServer, options: ServerOptions) {
    this.id = entry.id;
    this.#entry = entry;
    this.announcements = options.announcements ?? Announcements.create();
    this.permitPauses = PermitPauses.create(this.announcements.rate);
    this.channels = ChannelPool.create({ address: entry.address, ...options });
    this.cache = ExpectedCache.create(options.cacheTokens);
    this.#connectionLimit = options.connectionLimit;
    this.#copyMsPerToken = options.copyMsPerToken;
    this.#recordAllWeights(entry.weights);
  }

  /**
   * Creates a server without load.
   *
   * @param entry Registration of the server.
   * @param options Timeouts and limits.
   * @returns The server.
   */
  static create(entry: BackendServer, options: ServerOptions): Server {
    return new Server(entry, options);
  }

  /** The latest registration. */
  get entry(): BackendServer {
    return this.#entry;
  }

  /**
   * @param nowMs Current time.
   * @returns Whether the server shuts down soon, according to its registration or announcement.
   */
  isLeaving(nowMs: number): boolean {
    return this.#entry.draining ||
      this.announcements.leavingAgeMs(nowMs) !== undefined;
  }

  /** Time per token to copy cached tokens from this server within its zone. */
  get copyMsPerToken(): number {
    return this.#copyMsPerToken;
  }

  /** Load from this entry's own requests. */
  get ownLoad(): Readonly<ServerLoad> {
    return this.#ownLoad;
  }

  /** When a byte of any answer last arrived from this server. */
  get lastByteAtMs(): number {
    return this.#lastByteAtMs;
  }

  /**
   * @param nowMs Current time.
   * @returns Load from the requests of all entries.
   */
  load(nowMs: number): ServerLoad {
    const { pendingTokens, running, bound } = this.#ownLoad;
    const peers = this.#peerLoads.at(nowMs);
    return {
      pendingTokens: pendingTokens + peers.pendingTokens,
      running: running + peers.running,
      bound: bound + peers.bound,
    };
  }

  /**
   * @param entry Newer registration of the same start; without a start time, the known one is kept.
   */
  update(entry: BackendServer): void {
    const bornAtMs = entry.bornAtMs ?? this.#entry.bornAtMs;
    this.#entry = { ...entry, bornAtMs };
    this.#recordAllWeights(entry.weights);
  }

  /** @param limits Limits that apply from now on. */
  limit({ cacheTokens, connectionLimit, copyMsPerToken }: ServerLimits): void {
    this.cache.resize(cacheTokens);
    this.#connectionLimit = connectionLimit;
    this.#copyMsPerToken = copyMsPerToken;
  }

  /**
   * Checks the connection limit. The server resets connections above its limit, and it is then
   * unknown whether a request on such a connection ran.
   *
   * @param nowMs Current time.
   * @returns Whether another request might exceed the limit.
   */
  isFull(nowMs: number): boolean {
    return this.load(nowMs).running >= this.#connectionLimit;
  }

  /**
   * Updates the load reported by another entry.
   *
   * @param peer Name of the other entry.
   * @param load Its requests in flight at this server.
   * @param nowMs Current time.
   */
  setPeerLoad(peer: string, load: ServerLoad, nowMs: number): void {
    this.#peerLoads.set(peer, load, nowMs);
  }

  /**
   * @param model Model name.
   * @returns Version of the model's weights on this server, if known.
   */
  weights(model: string): number | undefined {
    return this.#weights.get(model);
  }

  /**
   * Records the version of a model's weights. Versions only increase; lower ones are outdated
   * reports and are ignored.
   *
   * @param model Model name.
   * @param version Version of its weights on this server.
   * @returns Whether the version was new.
   */
  recordWeights(model: string, version: number): boolean {
    const known = this.#weights.get(model);
    if (known !== undefined && known >= version) return false;
    this.#weights.set(model, version);
    if (known !== undefined) this.cache.clear();
    return true;
  }

  /**
   * Sends no new requests to the server for a while, because its weights are about to change.
   *
   * @param untilMs When this expires unless it is renewed.
   */
  holdBack(untilMs: number): void {
    this.#heldBackUntilMs = untilMs;
  }

  /**
   * Marks the server as next to change its weights, after the engines that are held back now.
   *
   * @param untilMs When this expires unless it is renewed.
   */
  markNextToChange(untilMs: number): void {
    this.#changesNextUntilMs = untilMs;
  }

  /**
   * @param nowMs Current time.
   * @returns Whether long answers should go to other servers, so that its change need not wait for
   *   them.
   */
  isNextToChange(nowMs: number): boolean {
    return nowMs < this.#changesNextUntilMs;
  }

  /**
   * Sends no new requests to the server for a short time, because it refused one.
   *
   * @param untilMs When this expires.
   */
  refused(untilMs: number): void {
    this.#refusedUntilMs = untilMs;
  }

  /**
   * @param nowMs Current time.
   * @returns Whether the server is held back for a weights change.
   */
  isChangingWeights(nowMs: number): boolean {
    return nowMs < this.#heldBackUntilMs;
  }

  /**
   * @param nowMs Current time.
   * @returns Whether the server should get no new requests: its weights are about to change, or it
   *   refused a request recently.
   */
  isHeldBack(nowMs: number): boolean {
    return this.isChangingWeights(nowMs) || nowMs < this.#refusedUntilMs;
  }

  /** @param nowMs When a byte of any answer arrived. */
  recordByte(nowMs: number): void {
    this.#lastByteAtMs = nowMs;
  }

  /**
   * @param tokens Maximum number of tokens that a request generates.
   * @returns Expected time from the first token to the last.
   */
  outputMs(tokens: number): number {
    return tokens * this.#answerMs / this.#answerTokens;
  }

  /**
   * Updates the moving averages with a complete answer. Answers are weighted by their tokens: short
   * answers wait for the prefill of other prompts between a few tokens, and a plain mean of time
   * per token would make all answers look several times slower.
   *
   * @param tookMs Time from the first token to the last.
   * @param tokens Maximum number of tokens that the answer might have had.
   */
  recordOutput(tookMs: number, tokens: number): void {
    if (tokens <= 0) return;
    const sampleMs = Math.min(
      TOKEN_MAX_MS * tokens,
      Math.max(TOKEN_MIN_MS * tokens, tookMs),
    );
    this.#answerMs += SAMPLE_WEIGHT * (sampleMs - this.#answerMs);
    this.#answerTokens += SAMPLE_WEIGHT * (tokens - this.#answerTokens);
  }

  /**
   * Adds a request to the load count.
   *
   * @param pendingTokens Tokens that the server has to prefill first.
   * @param isBound Whether the request cannot be resumed on another server.
   * @returns Ticket that tracks its progress.
   */
  startRequest(pendingTokens: number, isBound: boolean): LoadTicket {
    const own = this.#ownLoad;
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
   * @param nowMs Current time.
   * @returns The server's state for state dumps.
   */
  state(nowMs: number): unknown {
    return {
      id: this.id,
      service: this.entry.service,
      draining: this.entry.draining,
      leaving: this.isLeaving(nowMs),
      pausedMs: Math.round(this.announcements.pausedMs(nowMs)),
      ratePerSecond: this.announcements.rate.perSecond,
      bornAtMs: this.entry.bornAtMs,
      softwareVersion: this.entry.softwareVersion,
      weights: Object.fromEntries(this.entry.weights),
      load: this.load(nowMs),
      slowness: this.health.slowness(nowMs),
      failures: this.health.failures(nowMs),
      isDown: this.health.isDown,
      heldBack: this.isHeldBack(nowMs),
      channels: this.channels.opened,
    };
  }

  #recordAllWeights(weights: ReadonlyMap<string, number>): void {
    for (const [model, version] of weights) this.recordWeights(model, version);
  }
}
