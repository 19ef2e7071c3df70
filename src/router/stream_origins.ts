/**
 * Finds out which software began a stream that a client takes up again. The client comes back at any
 * entry, often because the one that began the stream has ended. So while a service has several software
 * versions, an entry tells a few others of each stream before its first event is delivered. They are
 * chosen by rendezvous hashing of the attempt's id, so that whoever is asked later asks the same ones.
 */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import { LRUMap } from "../placement/lru_map.ts";
import type { EntryMembers } from "./entry_members.ts";
import {
  decodeOriginMessage,
  type OnlyVersion,
  type OriginMessage,
} from "./origin_message.ts";
import { OriginQuestions, type Replies } from "./origin_questions.ts";
import {
  type OriginRow,
  OriginTable,
  type UnrecordedStreams,
} from "./origin_table.ts";
import type { RoutedRequest } from "./request.ts";
import type { SoftwareAnswer, SoftwareCheck } from "./software_check.ts";
import {
  OriginSource,
  type SoftwareVersions,
  type StreamOrigin,
} from "./software_versions.ts";
import { UnrecordedCount } from "./unrecorded_count.ts";

/** Entries that are told of each stream. */
const HOLDERS = 3;
/** Time to take up a stream after the deadline of the attempt that began it. */
const RETURN_MS = 5000;
/** To stay below the usual packet size. */
const MAX_ROWS_PER_DATAGRAM = 16;
/** An entry that has just started says so several times, and is told once. */
const TELL_STARTED_INTERVAL_MS = 2000;
/** Number of started entries that are remembered. */
const MAX_STARTED = 1000;
/** Longer ids are not kept; a stream with one is not taken up while versions are mixed. */
const MAX_ID_LENGTH = 128;

/** Origin of a stream, and who knew it. */
interface Origin {
  source: OriginSource;
  /** Absent if unknown, or if the only version of the service isn't stated. */
  origin?: StreamOrigin;
}

/** Result of {@link StreamOrigins.find}. */
export interface FoundOrigin extends Origin {
  /** Time since this entry's copy of the store was confirmed, when the origin was looked for. */
  storeCopyAgeMs: number;
}

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Random number from 0 to 1. */
  random: () => number;
  versions: SoftwareVersions;
  members: EntryMembers;
  /** Asks the store for the versions of a service. */
  check: Pick<SoftwareCheck, "ask">;
  /** Time since this entry's copy of the store was confirmed. */
  storeCopyAgeMs(): number;
  /** Sends a message to another entry; it may be lost. */
  send(address: string, message: OriginMessage): void;
}

/** Origins of the streams of this entry, and of those that other entries told it. */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  readonly #table: OriginTable;
  readonly #questions: OriginQuestions;
  /** Questions of other entries, by entry and number, that wait for the store. */
  readonly #unanswered = new Set<string>();
  /** When each entry that had just started was told the streams. */
  readonly #startedAtMs = LRUMap.create<string, number>(MAX_STARTED);
  /** Own streams that the entry's record in the store lacks. */
  readonly unrecordedCount = UnrecordedCount.create();

  private constructor(options: StreamOriginsOptions) {
    this.#options = options;
    this.#questions = OriginQuestions.create(options);
    this.#table = OriginTable.create(options.clock);
    options.versions.onMixed((service) => this.#tellOpen(service));
  }

  /**
   * @param options Versions, entries and the way to reach them.
   * @returns An object that knows no stream.
   */
  static create(options: StreamOriginsOptions): StreamOrigins {
    return new StreamOrigins(options);
  }

  /** Number of known streams. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Records the origin of a stream before its first event of this attempt is delivered.
   *
   * @param request The request.
   * @param origin Which software began the stream, in this attempt or an earlier one.
   */
  began(request: RoutedRequest, origin: StreamOrigin): void {
    const { facts, route } = request;
    const id = streamIdOf(request);
    if (!route.resumable || !isUsableId(id)) return;
    const leftMs = Math.max(facts.deadlineMs ?? 0, route.timeoutMs) + RETURN_MS;
    const row = { id, origin, leftMs };
    this.#table.set(row, { isOwn: true });
    const isMixed = this.#options.versions.isMixed(origin.service);
    if (isMixed) this.#tell([row]);
    this.unrecordedCount.add({ isDue: isMixed });
  }

  /** @returns What the entry's record in the store lacks. */
  unrecorded(): UnrecordedStreams {
    const mixed = new Set(this.#options.versions.mixedServices());
    if (mixed.size === 0) return { kind: "one_version" };
    const onRecorded = this.unrecordedCount.pending();
    if (!onRecorded) return { kind: "none" };
    const rows = this.#table.rows({ onlyOwn: true })
      .filter(({ origin }) => mixed.has(origin.service));
    return { kind: "rows", rows, onRecorded };
  }

  /**
   * @param rows Streams of a record in the store.
   * @param options Whether it is the record of this entry's earlier process.
   */
  learn(rows: OriginRow[], { isOwn }: { isOwn: boolean }): void {
    for (const row of rows) {
      if (isUsableId(row.id)) this.#table.set(row, { isOwn });
    }
  }

  /** @param request A request whose stream was delivered to the end. */
  completed(request: RoutedRequest): void {
    this.#table.delete(streamIdOf(request));
  }

  /**
   * @param request A request that takes up a stream.
   * @returns Which software began the stream.
   */
  async find(request: RoutedRequest): Promise<FoundOrigin> {
    const storeCopyAgeMs = this.#options.storeCopyAgeMs();
    const found = { ...await this.#find(request), storeCopyAgeMs };
    this.#options.metrics.counter("resumed_streams_total", {
      help: "Streams that clients took up, by who knew which software began it",
      labels: { source: found.source },
    }).add();
    return found;
  }

  /** Tells other entries all streams that this one knows, because it stops. */
  handOver(): void {
    this.#tell(this.#mixedRows());
  }

  /**
   * Tells an entry that has just started the streams that it would have been told, so that entries which
   * restart one after the other keep them.
   *
   * @param address The entry.
   */
  tellStarted(address: string): void {
    const nowMs = this.#options.clock.nowMs();
    const toldAtMs = this.#startedAtMs.get(address) ?? -Infinity;
    if (nowMs - toldAtMs < TELL_STARTED_INTERVAL_MS) return;
    this.#startedAtMs.set(address, nowMs);
    this.#tell(this.#mixedRows(), address);
  }

  /**
   * Handles a datagram of another entry.
   *
   * @param address The entry.
   * @param bytes The datagram.
   */
  receive(address: string, bytes: Buffer): void {
    const { log, members, clock } = this.#options;
    const message = decodeOriginMessage(bytes);
    if (!message) {
      log.warn({ event: "peer_malformed", peer: address });
      return;
    }
    members.heard(address, clock.nowMs());
    switch (message.kind) {
      case "began":
        for (const row of message.rows) this.#table.set(row, { isOwn: false });
        return;
      case "ask":
        void this.#reply(address, message);
        return;
      case "reply":
        return this.#questions.onReply(address, message);
    }
  }

  /** Ends the wait for all replies. */
  close(): void {
    this.#questions.close();
  }

  async #find({ facts, route, service }: RoutedRequest): Promise<Origin> {
    const { versions, check } = this.#options;
    const id = facts.resumedId ?? "";
    const known = this.#table.get(id);
    const isMixed = versions.isMixed(service);
    // A service with one version may continue the streams of others, as the configuration asks.
    if (known && (isMixed || known.origin.service === service)) {
      return { source: OriginSource.own, origin: known.origin };
    }
    // Nothing is recorded for streams that may not be taken up.
    if (!isMixed && !route.resumable) {
      const only = this.#knownVersion(service);
      return only
        ? originOf(service, only)
        : { source: OriginSource.oneVersion };
    }
    const answer = isMixed ? undefined : await check.ask(service);
    if (answer?.kind === "one_version") return originOf(service, answer);
    if (!isUsableId(id)) return { source: OriginSource.unknown };
    const isStoreAway = answer?.kind === "no_answer";
    const asked = await this.#questions.ask(id, service, { isStoreAway });
    const row = asked.replies.find(({ row }) => row)?.row;
    if (row) {
      this.#table.set(row, { isOwn: false });
      return { source: OriginSource.entry, origin: row.origin };
    }
    const only = isStoreAway && this.#agreedVersion(service, asked);
    return only ? originOf(service, only) : { source: OriginSource.unknown };
  }

  /**
   * The only version of a service by the replies of other entries, as the store doesn't answer this
   * one. If it answers none of the registered entries, none has learned of another version.
   */
  #agreedVersion(
    service: string,
    { replies, isFromAll }: Replies,
  ): OnlyVersion | undefined {
    const { versions } = this.#options;
    if (versions.isMixed(service)) return undefined;
    if (replies.some(({ isMixed }) => isMixed)) return undefined;
    const known = this.#knownVersion(service);
    const told = replies.find(({ onlyVersion }) => onlyVersion)?.onlyVersion;
    const isStoreDown = isFromAll &&
      !replies.some(({ reachesStore }) => reachesStore);
    const isAgreed = told
      ? told.softwareVersion === known?.softwareVersion
      : isStoreDown;
    return isAgreed ? known : undefined;
  }

  /** The version of a service if this entry knows one and no other. */
  #knownVersion(service: string): OnlyVersion | undefined {
    const known = this.#options.versions.current(service);
    return known.length === 1 ? { softwareVersion: known[0] } : undefined;
  }

  /** Replies to another entry; the reply tells how things are after its question was sent. */
  async #reply(
    address: string,
    { sequence, id, service }: Extract<OriginMessage, { kind: "ask" }>,
  ): Promise<void> {
    const { versions, check, send } = this.#options;
    const question = `${address} ${sequence}`;
    if (this.#unanswered.has(question)) return;
    const known = this.#table.get(id);
    let answer: SoftwareAnswer | undefined;
    if (!known && !versions.isMixed(service)) {
      this.#unanswered.add(question);
      answer = await check.ask(service);
      this.#unanswered.delete(question);
    }
    send(address, {
      kind: "reply",
      sequence,
      row: known ?? this.#table.get(id),
      isMixed: versions.isMixed(service),
      reachesStore: answer !== undefined && answer.kind !== "no_answer",
      onlyVersion: answer?.kind === "one_version"
        ? { softwareVersion: answer.softwareVersion }
        : undefined,
    });
  }

  #mixedRows(): OriginRow[] {
    const mixed = new Set(this.#options.versions.mixedServices());
    if (mixed.size === 0) return [];
    return this.#table.rows().filter(({ origin }) => mixed.has(origin.service));
  }

  /** Tells the holders of each stream, or one of them. */
  #tell(rows: OriginRow[], only?: string): void {
    const { members, clock, send } = this.#options;
    const nowMs = clock.nowMs();
    const rowsByHolder = new Map<string, OriginRow[]>();
    for (const row of rows) {
      for (const address of members.othersFor(row.id, nowMs, HOLDERS)) {
        if (only !== undefined && address !== only) continue;
        const held = rowsByHolder.get(address);
        if (held) held.push(row);
        else rowsByHolder.set(address, [row]);
      }
    }
    for (const [address, held] of rowsByHolder) {
      for (let i = 0; i < held.length; i += MAX_ROWS_PER_DATAGRAM) {
        const part = held.slice(i, i + MAX_ROWS_PER_DATAGRAM);
        send(address, { kind: "began", rows: part });
      }
    }
  }

  /** Tells the streams that began while the service had one version. */
  #tellOpen(service: string): void {
    const rows = this.#table.rows({ onlyOwn: true });
    this.#options.log.info({ event: "software_versions_mixed", service });
    this.#tell(rows.filter(({ origin }) => origin.service === service));
    this.unrecordedCount.add({ isDue: true });
  }
}

/** Id of the attempt that brought the first event of the request's stream. */
function streamIdOf({ facts }: RoutedRequest): string {
  return facts.lastEventId === undefined
    ? facts.requestId
    : facts.resumedId ?? facts.requestId;
}

function isUsableId(id: string): boolean {
  return id.length > 0 && id.length <= MAX_ID_LENGTH;
}

function originOf(
  service: string,
  { softwareVersion }: OnlyVersion,
): Origin {
  const source = OriginSource.oneVersion;
  return { source, origin: { service, softwareVersion } };
}
