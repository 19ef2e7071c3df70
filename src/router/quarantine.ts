/**
 * Keeps a request that ends the backend servers that run it from ending one after the other. Entries
 * tell each other under which requests servers ended, so that three ends are enough wherever the
 * request came to; what is told stays bounded, and good answers are told as well.
 */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import type { Send } from "./attempt.ts";
import { type BackendServer, startOf } from "./model.ts";
import type { Cleared, EndedUnder } from "./peer_datagram.ts";
import type { RoutedRequest } from "./request.ts";
import { digestOf } from "./request_digest.ts";
import type { Server } from "./server.ts";
import { type LostRequest, ServerEnds } from "./server_ends.ts";
import {
  SERIOUS_ENDS,
  type ServerEnd,
  SETTLED_MS,
  type SuspectSource,
  SuspectTable,
  type Verdict,
} from "../suspects/mod.ts";

/** Each piece of news is told so often, as datagrams may be lost. */
const TELLINGS = 3;
/** News that wait to be told; the oldest are left out beyond it. */
const MAX_NEWS = 256;
/** News in one datagram. */
const MAX_TOLD = 16;
/** Serious suspects are told of again after this, times the entries: all together tell as often. */
const RETELL_MS_PER_ENTRY = 250;
const RETELL_MIN_MS = 1000;

/** What a {@link Quarantine} works with. */
export interface QuarantineOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Entries that live, this one included. */
  entryCount(): number;
}

/** What entries tell each other of suspected requests. */
export interface QuarantineNews {
  ended: EndedUnder[];
  cleared: Cleared[];
}

type News =
  | { kind: "ended"; digest: string; end: ServerEnd }
  | { kind: "cleared"; digest: string; atMs: number };

interface Waiting {
  news: News;
  tellingsLeft: number;
}

/** Requests that are not sent any more, and those that are suspected. */
export class Quarantine implements SuspectSource {
  readonly table: SuspectTable;
  readonly #options: QuarantineOptions;
  readonly #ends: ServerEnds;
  readonly #waiting: Waiting[] = [];
  #retoldAtMs = -Infinity;
  /** First of the suspects that are told of next. */
  #retellFrom = 0;
  #hasOwnNews = false;

  private constructor(options: QuarantineOptions) {
    this.#options = options;
    this.table = SuspectTable.create(options.clock);
    this.#ends = ServerEnds.create({
      clock: options.clock,
      onEnd: (server, lost) => this.ended(server.entry, lost),
    });
  }

  /**
   * @param options Clock, log and metrics.
   * @returns A quarantine without requests.
   */
  static create(options: QuarantineOptions): Quarantine {
    return new Quarantine(options);
  }

  /**
   * @param request A request that is about to be sent.
   * @returns What is thought of it.
   */
  verdict(request: RoutedRequest): Verdict {
    // Without suspects no digest is needed.
    if (this.table.size === 0) return { kind: "clear" };
    return this.table.verdict(digestOf(request));
  }

  /** @param request A request that was refused because it is in quarantine. */
  refused({ route, service }: RoutedRequest): void {
    this.#options.metrics.counter("quarantined_requests_total", {
      help: "Attempts refused because servers had ended under the request",
      labels: { route: route.name, service },
    }).add();
  }

  /** @param send A send whose connection broke before its answer was whole. */
  broken(send: Send): void {
    const { request, choice, runsFromMs, headAtMs, sentAtMs } = send;
    const nowMs = this.#options.clock.nowMs();
    const isSettled = runsFromMs !== undefined &&
      nowMs - runsFromMs >= SETTLED_MS;
    if (isSettled) return;
    this.#ends.lost(choice.server, {
      requestId: request.facts.requestId,
      digest: digestOf(request),
      answeringMs: headAtMs === undefined ? undefined : nowMs - headAtMs,
      atMs: nowMs,
      runMs: nowMs - sentAtMs,
    });
  }

  /** @param request A request that a server has answered well. */
  answered(request: RoutedRequest): void {
    if (this.table.size === 0) return;
    const digest = digestOf(request);
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    if (this.table.verdict(digest).kind === "clear") return;
    this.table.clear(digest, nowMs);
    this.#enqueue({ kind: "cleared", digest, atMs: nowMs });
    this.#hasOwnNews = true;
    log.info({
      event: "suspect_cleared",
      id: request.facts.requestId,
      digest,
    });
  }

  /** Whether this entry saw what the store's record may lack. */
  get hasOwnNews(): boolean {
    return this.#hasOwnNews;
  }

  /** The store's record has all that is known. */
  recorded(): void {
    this.#hasOwnNews = false;
  }

  /** @param server A server that is gone: it left the store, started again or lost its address. */
  left(server: Server): void {
    this.#ends.left(server);
  }

  /** Whether something is to be told. */
  get hasNews(): boolean {
    if (this.#waiting.length > 0) return true;
    const sinceMs = this.#options.clock.nowMs() - this.#retoldAtMs;
    return sinceMs >= this.#retellPauseMs &&
      this.table.suspects(SERIOUS_ENDS).length > 0;
  }

  /** @returns What is to be told now; each call takes it as told once more. */
  takeNews(): QuarantineNews {
    const told: QuarantineNews = { ended: [], cleared: [] };
    const nowMs = this.#options.clock.nowMs();
    for (const waiting of this.#waiting.splice(0, MAX_TOLD)) {
      addTo(told, waiting.news, nowMs);
      waiting.tellingsLeft--;
      if (waiting.tellingsLeft > 0) this.#waiting.push(waiting);
    }
    if (told.ended.length === 0) this.#retell(told, nowMs);
    return told;
  }

  /** @param news What another entry told. */
  hear({ ended, cleared }: QuarantineNews): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [digest, ageMs] of cleared) {
      this.table.clear(digest, nowMs - ageMs);
    }
    for (const [digest, server, answering, ageMs, runMs] of ended) {
      const answeringMs = answering ?? undefined;
      const atMs = nowMs - ageMs;
      this.learn(digest, { server, answeringMs, atMs, runMs });
    }
  }

  /**
   * @param digest A request.
   * @param end A server that ended under it, as others have seen.
   */
  learn(digest: string, end: ServerEnd): void {
    const before = this.table.verdict(digest);
    if (!this.table.note(digest, end)) return;
    this.#tellVerdict(digest, before);
  }

  /** @returns Suspects under which several servers ended, for dumps. */
  state(): unknown {
    return this.table.suspects(SERIOUS_ENDS).map(({ digest, ends }) => ({
      digest,
      servers: ends.map(({ server }) => server),
      verdict: this.table.verdict(digest).kind,
    }));
  }

  /**
   * @param server A server that has ended.
   * @param lost What this entry had under way there.
   */
  ended(server: BackendServer, lost: LostRequest[]): void {
    const { log, metrics } = this.#options;
    const { id, service } = server;
    metrics.counter("server_ends_total", {
      help: "Backend servers that ended while they had requests, by service",
      labels: { service },
    }).add();
    log.warn({
      event: "server_ended",
      server: id,
      service,
      requests: lost.map(({ requestId }) => requestId),
    });
    const start = startOf(server);
    for (const { digest, answeringMs, atMs, runMs } of lost) {
      const end = { server: start, answeringMs, atMs, runMs };
      const before = this.table.verdict(digest);
      if (!this.table.note(digest, end)) continue;
      this.#enqueue({ kind: "ended", digest, end });
      this.#hasOwnNews = true;
      this.#tellVerdict(digest, before);
    }
  }

  #tellVerdict(digest: string, before: Verdict): void {
    const verdict = this.table.verdict(digest);
    if (verdict.kind !== "quarantined" || before.kind === verdict.kind) return;
    const { endCount, leftMs } = verdict;
    this.#options.log.warn({
      event: "request_quarantined",
      digest,
      endedServers: endCount,
      forMs: Math.round(leftMs),
    });
  }

  #enqueue(news: News): void {
    this.#waiting.push({ news, tellingsLeft: TELLINGS });
    if (this.#waiting.length > MAX_NEWS) this.#waiting.shift();
  }

  get #retellPauseMs(): number {
    const pauseMs = this.#options.entryCount() * RETELL_MS_PER_ENTRY;
    return Math.max(RETELL_MIN_MS, pauseMs);
  }

  /** Entries that have started since learn of serious suspects, also while the store is away. */
  #retell(told: QuarantineNews, nowMs: number): void {
    if (nowMs - this.#retoldAtMs < this.#retellPauseMs) return;
    const rows = this.table.suspects(SERIOUS_ENDS).flatMap(
      ({ digest, ends }) => ends.map((end) => toTold(digest, end, nowMs)),
    );
    if (rows.length === 0) return;
    this.#retoldAtMs = nowMs;
    const from = this.#retellFrom < rows.length ? this.#retellFrom : 0;
    told.ended.push(...rows.slice(from, from + MAX_TOLD));
    this.#retellFrom = from + MAX_TOLD;
  }
}

function addTo(told: QuarantineNews, news: News, nowMs: number): void {
  switch (news.kind) {
    case "ended":
      told.ended.push(toTold(news.digest, news.end, nowMs));
      return;
    case "cleared":
      told.cleared.push([news.digest, Math.round(nowMs - news.atMs)]);
  }
}

function toTold(
  digest: string,
  { server, answeringMs, atMs, runMs }: ServerEnd,
  nowMs: number,
): EndedUnder {
  const answering = answeringMs === undefined ? null : Math.round(answeringMs);
  return [
    digest,
    server,
    answering,
    Math.round(nowMs - atMs),
    Math.round(runMs),
  ];
}
