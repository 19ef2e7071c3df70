/**
 * Limits how many backend servers a request can crash. Entries gossip which requests were in flight
 * on servers that ended, so that three ends quarantine a request whichever entries received it. The
 * gossip is bounded, and successful answers, which clear a suspect, are shared as well.
 */
import type { Metrics } from "../base/mod.ts";
import type { Send } from "./attempt.ts";
import { GossipQueue, GossipRepeater } from "./gossip_queue.ts";
import { type BackendServer, incarnationKey } from "./model.ts";
import type { ClearedRow, ServerEndRow } from "./peer_datagram.ts";
import {
  canHaveCrashed,
  isSuccess,
  type PartGossip,
  PartQuarantine,
  type PartQuarantineOptions,
  sharedParts,
} from "./part_quarantine.ts";
import type { RoutedRequest } from "./request.ts";
import { digestOf } from "./request_digest.ts";
import type { SendVerdict } from "./send_verdict.ts";
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

/** Dependencies of a {@link Quarantine}. */
export interface QuarantineOptions extends PartQuarantineOptions {
  metrics: Metrics;
  /** Called when an ended server refuses connections, to notify the other entries. */
  onServerRefused(serverId: string): void;
}

/** Gossip between entries about suspected requests and parts of prompts. */
export interface QuarantineGossip extends PartGossip {
  ended: ServerEndRow[];
  cleared: ClearedRow[];
}

type GossipItem =
  | { kind: "ended"; digest: string; end: ServerEnd }
  | { kind: "cleared"; digest: string; atMs: number };

/** Tracks suspected requests and those that may not be sent for now. */
export class Quarantine implements SuspectSource {
  readonly table: SuspectTable;
  /** Parts of prompts, which are suspected whatever request contains them. */
  readonly parts: PartQuarantine;
  readonly #options: QuarantineOptions;
  readonly #serverEnds: ServerEndDetector;
  readonly #sendQueue = GossipQueue.create<GossipItem>();
  readonly #repeater: GossipRepeater;
  #hasOwnNews = false;

  private constructor(options: QuarantineOptions) {
    this.#options = options;
    this.table = SuspectTable.create(options.clock);
    this.parts = PartQuarantine.create(options);
    this.#repeater = GossipRepeater.create(options);
    this.#serverEnds = ServerEndDetector.create({
      clock: options.clock,
      onEnd: (server, lost) => this.ended(server.entry, lost),
      onRefused: ({ id }) => options.onServerRefused(id),
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
   * @returns Whether it is clear, suspected or in quarantine, by itself or by a part of its prompt.
   */
  verdict(request: RoutedRequest): SendVerdict {
    // Avoids computing the digest if there are no suspects.
    const whole: Verdict = this.table.size === 0
      ? { kind: "clear" }
      : this.table.verdict(digestOf(request));
    if (whole.kind === "quarantined") return whole;
    const byParts = this.parts.verdict(request);
    return byParts.kind === "clear" ? whole : byParts;
  }

  /**
   * Counts a request that was refused because it is in quarantine.
   *
   * @param request The request.
   * @param reason Whether the request itself or a part of its prompt is in quarantine.
   */
  refused({ route, service }: RoutedRequest, reason: string): void {
    this.#options.metrics.counter("quarantined_requests_total", {
      help:
        "Attempts refused because servers had ended under the request, or under a part of its prompt",
      labels: { route: route.name, service, reason },
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
      parts: canHaveCrashed(send, nowMs) ? sharedParts(request) : [],
      answeringMs: headAtMs === undefined ? undefined : nowMs - headAtMs,
      atMs: nowMs,
      runMs: nowMs - sentAtMs,
    });
  }

  /**
   * Clears a suspected request that a server has answered, and the parts of its prompt if the answer
   * is a success.
   *
   * @param send The send that was answered.
   */
  answered(send: Send): void {
    const { request } = send;
    if (isSuccess(send)) this.parts.answered(request);
    if (this.table.size === 0) return;
    const digest = digestOf(request);
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    if (this.table.verdict(digest).kind === "clear") return;
    this.table.clear(digest, nowMs);
    this.#sendQueue.add({ kind: "cleared", digest, atMs: nowMs });
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
    if (this.#sendQueue.hasItems || this.parts.hasNews) return true;
    return this.#repeater.isDue &&
      this.table.suspects(MIN_SHARED_ENDS).length > 0;
  }

  /**
   * Takes the items for the next datagram; each counts as sent once more.
   *
   * @returns The items.
   */
  takeNews(): QuarantineGossip {
    const ended: ServerEndRow[] = [];
    const cleared: ClearedRow[] = [];
    const nowMs = this.#options.clock.nowMs();
    for (const item of this.#sendQueue.take()) {
      switch (item.kind) {
        case "ended":
          ended.push(toRow(item.digest, item.end, nowMs));
          break;
        case "cleared":
          cleared.push([item.digest, Math.round(nowMs - item.atMs)]);
      }
    }
    if (ended.length === 0) {
      ended.push(...this.#repeater.take(this.#repeatedRows(nowMs)));
    }
    return { ended, cleared, ...this.parts.takeNews() };
  }

  /**
   * Applies gossip from another entry.
   *
   * @param news The received items.
   */
  hear({ ended, cleared, ...parts }: QuarantineGossip): void {
    const nowMs = this.#options.clock.nowMs();
    this.parts.hear(parts);
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
   * Returns the suspected requests and parts with several server ends, for state dumps.
   *
   * @returns A JSON-serializable list.
   */
  state(): unknown[] {
    const requests = this.table.suspects(MIN_SHARED_ENDS).map(
      ({ digest, ends }) => ({
        digest,
        servers: ends.map(({ server }) => server),
        verdict: this.table.verdict(digest).kind,
      }),
    );
    return [...requests, ...this.parts.state()];
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
    this.parts.crashed(server, lost);
    const incarnation = incarnationKey(server);
    for (const { digest, answeringMs, atMs, runMs } of lost) {
      const end = { server: incarnation, answeringMs, atMs, runMs };
      const before = this.table.verdict(digest);
      if (!this.table.recordEnd(digest, end)) continue;
      this.#sendQueue.add({ kind: "ended", digest, end });
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

  #repeatedRows(nowMs: number): ServerEndRow[] {
    return this.table.suspects(MIN_SHARED_ENDS).flatMap(
      ({ digest, ends }) => ends.map((end) => toRow(digest, end, nowMs)),
    );
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
