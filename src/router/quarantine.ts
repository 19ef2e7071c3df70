/**
 * Limits how many backend servers a request can crash. Entries gossip which requests were in flight
 * on servers that ended, so that three ends quarantine a request whichever entries received it. The
 * gossip is bounded, and successful answers, which clear a suspect, are shared as well.
 */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import type { Send } from "./attempt.ts";
import { type BackendServer, incarnationKey } from "./model.ts";
import type { ClearedRow, ServerEndRow } from "./peer_datagram.ts";
import type { RoutedRequest } from "./request.ts";
import { digestOf } from "./request_digest.ts";
import type { Server } from "./server.ts";
import { type LostRequest, ServerEndDetector } from "./server_end_detector.ts";
import {
  CLEARED_AFTER_MS,
  MIN_SHARED_ENDS,
  type ServerEnd,
  type SuspectSource,
  SuspectTable,
  type Verdict,
} from "../suspects/mod.ts";

/** Number of times each item is sent, because datagrams may be lost. */
const SENDS_PER_ITEM = 3;
/** Maximum number of queued items; the oldest are dropped. */
const MAX_QUEUED = 256;
/** Maximum number of items per datagram. */
const MAX_PER_DATAGRAM = 16;
/**
 * Pause between repeats of serious suspects, per entry, so that their combined rate stays constant.
 */
const REPEAT_MS_PER_ENTRY = 250;
const MIN_REPEAT_MS = 1000;

/** Dependencies of a {@link Quarantine}. */
export interface QuarantineOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Number of live entries, including this one. */
  entryCount(): number;
}

/** Gossip between entries about suspected requests. */
export interface QuarantineGossip {
  ended: ServerEndRow[];
  cleared: ClearedRow[];
}

type GossipItem =
  | { kind: "ended"; digest: string; end: ServerEnd }
  | { kind: "cleared"; digest: string; atMs: number };

interface QueuedItem {
  item: GossipItem;
  sendsLeft: number;
}

/** Tracks suspected requests and those that may not be sent for now. */
export class Quarantine implements SuspectSource {
  readonly table: SuspectTable;
  readonly #options: QuarantineOptions;
  readonly #serverEnds: ServerEndDetector;
  readonly #sendQueue: QueuedItem[] = [];
  #repeatedAtMs = -Infinity;
  /** Index of the first row of the next repeat. */
  #repeatFrom = 0;
  #hasOwnNews = false;

  private constructor(options: QuarantineOptions) {
    this.#options = options;
    this.table = SuspectTable.create(options.clock);
    this.#serverEnds = ServerEndDetector.create({
      clock: options.clock,
      onEnd: (server, lost) => this.ended(server.entry, lost),
    });
  }

  /**
   * Creates a quarantine without requests.
   *
   * @param options Dependencies.
   * @returns The quarantine.
   */
  static create(options: QuarantineOptions): Quarantine {
    return new Quarantine(options);
  }

  /**
   * Checks a request before it is sent.
   *
   * @param request The request.
   * @returns Whether it is clear, suspected or in quarantine.
   */
  verdict(request: RoutedRequest): Verdict {
    // Avoids computing the digest if there are no suspects.
    if (this.table.size === 0) return { kind: "clear" };
    return this.table.verdict(digestOf(request));
  }

  /**
   * Counts a request that was refused because it is in quarantine.
   *
   * @param request The request.
   */
  refused({ route, service }: RoutedRequest): void {
    this.#options.metrics.counter("quarantined_requests_total", {
      help: "Attempts refused because servers had ended under the request",
      labels: { route: route.name, service },
    }).add();
  }

  /**
   * Records a send whose connection broke before its answer was complete.
   *
   * @param send The send.
   */
  recordBrokenSend(send: Send): void {
    const { request, choice, firstEventAtMs, headAtMs, sentAtMs } = send;
    const nowMs = this.#options.clock.nowMs();
    const isSettled = firstEventAtMs !== undefined &&
      nowMs - firstEventAtMs >= CLEARED_AFTER_MS;
    if (isSettled) return;
    this.#serverEnds.lost(choice.server, {
      requestId: request.facts.requestId,
      digest: digestOf(request),
      answeringMs: headAtMs === undefined ? undefined : nowMs - headAtMs,
      atMs: nowMs,
      runMs: nowMs - sentAtMs,
    });
  }

  /**
   * Clears a suspected request that a server has answered successfully.
   *
   * @param request The request.
   */
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

  /** Whether this entry has observed something that the store's record may lack. */
  get hasUnrecordedChanges(): boolean {
    return this.#hasOwnNews;
  }

  /** Called when the store's record is up to date. */
  markRecorded(): void {
    this.#hasOwnNews = false;
  }

  /**
   * Handles the removal of a server.
   *
   * @param server A server that left the store, restarted or lost its address.
   */
  left(server: Server): void {
    this.#serverEnds.left(server);
  }

  /** Whether there is gossip to send. */
  get hasNews(): boolean {
    if (this.#sendQueue.length > 0) return true;
    const sinceMs = this.#options.clock.nowMs() - this.#repeatedAtMs;
    return sinceMs >= this.#repeatPauseMs &&
      this.table.suspects(MIN_SHARED_ENDS).length > 0;
  }

  /**
   * Takes the items for the next datagram; each counts as sent once more.
   *
   * @returns The items.
   */
  takeNews(): QuarantineGossip {
    const outgoing: QuarantineGossip = { ended: [], cleared: [] };
    const nowMs = this.#options.clock.nowMs();
    for (const queued of this.#sendQueue.splice(0, MAX_PER_DATAGRAM)) {
      addToBatch(outgoing, queued.item, nowMs);
      queued.sendsLeft--;
      if (queued.sendsLeft > 0) this.#sendQueue.push(queued);
    }
    if (outgoing.ended.length === 0) this.#repeatSuspects(outgoing, nowMs);
    return outgoing;
  }

  /**
   * Applies gossip from another entry.
   *
   * @param news The received items.
   */
  hear({ ended, cleared }: QuarantineGossip): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [digest, ageMs] of cleared) {
      this.table.clear(digest, nowMs - ageMs);
    }
    for (const [digest, server, answering, ageMs, runMs] of ended) {
      const answeringMs = answering ?? undefined;
      const atMs = nowMs - ageMs;
      this.mergeEnd(digest, { server, answeringMs, atMs, runMs });
    }
  }

  /**
   * Records a server end that was observed elsewhere.
   *
   * @param digest Digest of a request that was in flight on the server.
   * @param end The server end.
   */
  mergeEnd(digest: string, end: ServerEnd): void {
    const before = this.table.verdict(digest);
    if (!this.table.recordEnd(digest, end)) return;
    this.#logVerdict(digest, before);
  }

  /**
   * Returns the suspects with several server ends, for state dumps.
   *
   * @returns A JSON-serializable list.
   */
  state(): unknown {
    return this.table.suspects(MIN_SHARED_ENDS).map(({ digest, ends }) => ({
      digest,
      servers: ends.map(({ server }) => server),
      verdict: this.table.verdict(digest).kind,
    }));
  }

  /**
   * Records that a server has ended.
   *
   * @param server The server.
   * @param lost Requests of this entry that were in flight on it.
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
    const incarnation = incarnationKey(server);
    for (const { digest, answeringMs, atMs, runMs } of lost) {
      const end = { server: incarnation, answeringMs, atMs, runMs };
      const before = this.table.verdict(digest);
      if (!this.table.recordEnd(digest, end)) continue;
      this.#enqueue({ kind: "ended", digest, end });
      this.#hasOwnNews = true;
      this.#logVerdict(digest, before);
    }
  }

  #logVerdict(digest: string, before: Verdict): void {
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

  #enqueue(news: GossipItem): void {
    this.#sendQueue.push({ item: news, sendsLeft: SENDS_PER_ITEM });
    if (this.#sendQueue.length > MAX_QUEUED) this.#sendQueue.shift();
  }

  get #repeatPauseMs(): number {
    const pauseMs = this.#options.entryCount() * REPEAT_MS_PER_ENTRY;
    return Math.max(MIN_REPEAT_MS, pauseMs);
  }

  /**
   * Repeats serious suspects, so that entries that started since learn of them even while the store
   * is unavailable.
   */
  #repeatSuspects(outgoing: QuarantineGossip, nowMs: number): void {
    if (nowMs - this.#repeatedAtMs < this.#repeatPauseMs) return;
    const rows = this.table.suspects(MIN_SHARED_ENDS).flatMap(
      ({ digest, ends }) => ends.map((end) => toRow(digest, end, nowMs)),
    );
    if (rows.length === 0) return;
    this.#repeatedAtMs = nowMs;
    const from = this.#repeatFrom < rows.length ? this.#repeatFrom : 0;
    outgoing.ended.push(...rows.slice(from, from + MAX_PER_DATAGRAM));
    this.#repeatFrom = from + MAX_PER_DATAGRAM;
  }
}

function addToBatch(
  batch: QuarantineGossip,
  item: GossipItem,
  nowMs: number,
): void {
  switch (item.kind) {
    case "ended":
      batch.ended.push(toRow(item.digest, item.end, nowMs));
      return;
    case "cleared":
      batch.cleared.push([item.digest, Math.round(nowMs - item.atMs)]);
  }
}

function toRow(
  digest: string,
  { server, answeringMs, atMs, runMs }: ServerEnd,
  nowMs: number,
): ServerEndRow {
  const answering = answeringMs === undefined ? null : Math.round(answeringMs);
  return [
    digest,
    server,
    answering,
    Math.round(nowMs - atMs),
    Math.round(runMs),
  ];
}
