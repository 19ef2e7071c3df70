/**
 * Limits how many backend servers a part of a prompt can crash. Requests that have it in common are
 * otherwise different, so entries gossip the parts of the prompts that were in flight on servers that
 * crashed. A part that appears in a successful answer is cleared.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import {
  MIN_SHARED_CRASHES,
  PartTable,
  type PartVerdict,
  type ServerEnd,
  type SuspectSource,
} from "../suspects/mod.ts";
import type { Send } from "./attempt.ts";
import { GossipQueue, GossipRepeater } from "./gossip_queue.ts";
import { type BackendServer, incarnationKey, RequestKind } from "./model.ts";
import type { AnsweredPartRow, CrashRow } from "./peer_datagram.ts";
import type { RoutedRequest } from "./request.ts";
import type { LostRequest } from "./server_end_detector.ts";

/** A server that has sent events for this long did not crash when it began to answer. */
const BEGUN_MS = 100;
/** Time between two requests of one entry that decide which of several parts is the cause. */
const AMBIGUOUS_TRIAL_MS = 500;
/** Time between two trials of a part after its quarantine. */
const DUE_TRIAL_MS = 60_000;
/** Maximum number of parts per row; a crashed server may have run many requests of one entry. */
const MAX_PARTS_PER_ROW = 24;
/** Maximum number of parts for which trials and log lines are remembered. */
const MAX_SERIOUS = 256;

/** Dependencies of a {@link PartQuarantine}. */
export interface PartQuarantineOptions {
  clock: Clock;
  log: Logger;
  /** Number of live entries, including this one. */
  entryCount(): number;
  /** Whether this entry is the one that tries a part again after its quarantine. */
  isResponsibleFor(part: string): boolean;
}

/** Gossip between entries about suspected parts. */
export interface PartGossip {
  /** Absent if there are none. */
  crashes?: CrashRow[];
  /** Absent if there are none. */
  answeredParts?: AnsweredPartRow[];
}

/** Assessment of a request by the parts of its prompt. */
export type PartSendVerdict =
  | { kind: "clear" }
  | { kind: "part_quarantined"; part: string; endCount: number; leftMs: number }
  /** May be sent later, one request at a time, to find out whether the part crashes servers. */
  | { kind: "part_deferred"; part: string; endCount: number; leftMs: number };

type GossipItem =
  | { kind: "crash"; server: string; atMs: number; parts: string[] }
  | { kind: "answered"; part: string; atMs: number };

/** Tracks suspected parts of prompts and decides which requests may not be sent for now. */
export class PartQuarantine implements SuspectSource {
  readonly table: PartTable;
  readonly #options: PartQuarantineOptions;
  readonly #sendQueue = GossipQueue.create<GossipItem>();
  readonly #repeater: GossipRepeater;
  /** When a request with a part was last sent as a trial. */
  readonly #triedAtMs = LRUMap.create<string, number>(MAX_SERIOUS);
  /** Parts whose quarantine was logged. */
  readonly #logged = LRUMap.create<string, true>(MAX_SERIOUS);
  #hasOwnNews = false;

  private constructor(options: PartQuarantineOptions) {
    this.#options = options;
    this.table = PartTable.create(options.clock);
    this.#repeater = GossipRepeater.create(options);
  }

  /**
   * @param options Dependencies.
   * @returns A quarantine without parts.
   */
  static create(options: PartQuarantineOptions): PartQuarantine {
    return new PartQuarantine(options);
  }

  /**
   * @param request A request.
   * @returns Whether it may be sent now.
   */
  verdict(request: RoutedRequest): PartSendVerdict {
    if (this.table.size === 0) return { kind: "clear" };
    const verdict = this.table.verdict(sharedParts(request));
    if (verdict.kind === "clear") return verdict;
    const { part, crashCount: endCount } = verdict;
    if (verdict.kind === "quarantined") {
      const { leftMs } = verdict;
      return { kind: "part_quarantined", part, endCount, leftMs };
    }
    const leftMs = this.#trialLeftMs(verdict.kind, part);
    return leftMs > 0
      ? { kind: "part_deferred", part, endCount, leftMs }
      : { kind: "clear" };
  }

  /** @param request A request that is being sent; if it is a trial, the next one has to wait. */
  sending(request: RoutedRequest): void {
    if (this.table.size === 0) return;
    const verdict = this.table.verdict(sharedParts(request));
    if (verdict.kind === "clear") return;
    this.#triedAtMs.set(verdict.part, this.#options.clock.nowMs());
  }

  /** @param request A request that a server has answered successfully, or answers for a while. */
  answered(request: RoutedRequest): void {
    const atMs = this.#options.clock.nowMs();
    for (const part of sharedParts(request)) {
      const wasQuarantined = this.#logged.get(part);
      if (!this.table.clear(part, atMs)) continue;
      this.#onCleared(part);
      const item: GossipItem = { kind: "answered", part, atMs };
      // Other entries will answer a part that is not refused, too.
      if (wasQuarantined) this.#sendQueue.add(item);
      else this.#sendQueue.add(item, 1);
      this.#hasOwnNews = true;
    }
  }

  /**
   * Records a crash that this entry has observed.
   *
   * @param server The server.
   * @param lost Requests of this entry that were in flight on it.
   */
  crashed(server: BackendServer, lost: readonly LostRequest[]): void {
    if (lost.length === 0) return;
    const crash = {
      server: incarnationKey(server),
      atMs: Math.min(...lost.map(({ atMs }) => atMs)),
    };
    const parts = new Set(lost.flatMap((request) => request.parts));
    const recorded = this.table.record(crash, [...parts]);
    if (recorded.length === 0) return;
    for (let i = 0; i < recorded.length; i += MAX_PARTS_PER_ROW) {
      const some = recorded.slice(i, i + MAX_PARTS_PER_ROW);
      this.#sendQueue.add({ kind: "crash", ...crash, parts: some });
    }
    this.#hasOwnNews = true;
    this.#logVerdicts(recorded);
  }

  /** Records a crash from the store's record, whose time may be inexact. */
  mergeEnd(part: string, { server, atMs }: ServerEnd): void {
    this.#logVerdicts(this.table.restore({ server, atMs }, [part]));
  }

  get hasUnrecordedChanges(): boolean {
    return this.#hasOwnNews;
  }

  markRecorded(): void {
    this.#hasOwnNews = false;
  }

  /** Whether there is gossip to send. */
  get hasNews(): boolean {
    if (this.#sendQueue.hasItems) return true;
    return this.table.size > 0 && this.#repeater.isDue &&
      this.table.suspects(MIN_SHARED_CRASHES).length > 0;
  }

  /** @returns The rows of the next datagram; each counts as sent once more. */
  takeNews(): PartGossip {
    const nowMs = this.#options.clock.nowMs();
    const crashes: CrashRow[] = [];
    const answeredParts: AnsweredPartRow[] = [];
    for (const item of this.#sendQueue.take()) {
      const ageMs = Math.round(nowMs - item.atMs);
      switch (item.kind) {
        case "crash":
          crashes.push([item.server, ageMs, item.parts]);
          break;
        case "answered":
          answeredParts.push([item.part, ageMs]);
      }
    }
    if (crashes.length === 0 && this.table.size > 0) {
      crashes.push(...this.#repeater.take(this.#seriousRows(nowMs)));
    }
    return {
      ...(crashes.length > 0 && { crashes }),
      ...(answeredParts.length > 0 && { answeredParts }),
    };
  }

  /** @param news Rows from another entry. */
  hear({ crashes = [], answeredParts = [] }: PartGossip): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [part, ageMs] of answeredParts) {
      if (this.table.clear(part, nowMs - ageMs)) this.#onCleared(part);
    }
    for (const [server, ageMs, parts] of crashes) {
      const crash = { server, atMs: nowMs - ageMs };
      this.#logVerdicts(this.table.record(crash, parts));
    }
  }

  /** @returns Suspected parts with several crashes, for state dumps; serializable as JSON. */
  state(): unknown[] {
    return this.table.suspects(MIN_SHARED_CRASHES).map(({ digest, ends }) => ({
      part: digest,
      servers: ends.map(({ server }) => server),
      verdict: this.table.verdict([digest]).kind,
    }));
  }

  #trialLeftMs(
    kind: Exclude<PartVerdict["kind"], "quarantined" | "clear">,
    part: string,
  ): number {
    const { clock, isResponsibleFor } = this.#options;
    const pauseMs = kind === "due" ? DUE_TRIAL_MS : AMBIGUOUS_TRIAL_MS;
    if (kind === "due" && !isResponsibleFor(part)) return pauseMs;
    const triedAtMs = this.#triedAtMs.get(part) ?? -Infinity;
    return triedAtMs + pauseMs - clock.nowMs();
  }

  #onCleared(part: string): void {
    this.#triedAtMs.delete(part);
    if (!this.#logged.get(part)) return;
    this.#logged.delete(part);
    this.#options.log.info({ event: "part_cleared", part });
  }

  #logVerdicts(parts: readonly string[]): void {
    for (const part of parts) {
      const verdict = this.table.verdict([part]);
      if (verdict.kind !== "quarantined" && verdict.kind !== "ambiguous") {
        continue;
      }
      if (this.#logged.get(part)) continue;
      this.#logged.set(part, true);
      this.#options.log.warn({
        event: "part_quarantined",
        part,
        crashedServers: verdict.crashCount,
        isAmbiguous: verdict.kind === "ambiguous",
        forMs: verdict.kind === "quarantined"
          ? Math.round(verdict.leftMs)
          : undefined,
      });
    }
  }

  #seriousRows(nowMs: number): CrashRow[] {
    const rows = new Map<string, CrashRow>();
    for (const { digest, ends } of this.table.suspects(MIN_SHARED_CRASHES)) {
      for (const { server, atMs } of ends) {
        const key = `${server} ${atMs}`;
        const row = rows.get(key) ?? [server, Math.round(nowMs - atMs), []];
        row[2].push(digest);
        rows.set(key, row);
      }
    }
    return [...rows.values()];
  }
}

/**
 * @param request A request.
 * @returns Ids of the parts of its prompt that other requests may share: all but the last one.
 */
export function sharedParts({ facts }: RoutedRequest): string[] {
  return facts.prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
}

/**
 * @param send A send whose connection broke.
 * @param nowMs The current time.
 * @returns Whether it may have crashed its server, which had not answered it for a while.
 */
export function canHaveCrashed(
  { firstEventAtMs }: Send,
  nowMs: number,
): boolean {
  return firstEventAtMs === undefined || nowMs - firstEventAtMs < BEGUN_MS;
}

/**
 * @param send A send whose answer is complete.
 * @returns Whether the server has written a successful answer. A stream without events shows only that
 *   it ended.
 */
export function isSuccess({ request, answer, firstEventAtMs }: Send): boolean {
  const status = answer?.facts.status ?? 0;
  if (status < 200 || status >= 300) return false;
  return request.route.kind !== RequestKind.stream ||
    firstEventAtMs !== undefined;
}
