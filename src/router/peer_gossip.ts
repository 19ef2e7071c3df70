/**
 * UDP gossip between entries: load and prompts that each sent to servers, held-back servers, ages of
 * wanted weights versions, and the store revision of the entry. Datagrams may be lost: essential state
 * is sent repeatedly, and until it arrives the receiver assumes the safer case.
 */
import { isStart, positionAt } from "../store/position.ts";
import type { Clock, Logger } from "../base/mod.ts";
import type { EntryMembers } from "./entry_members.ts";
import type { ExpectedCache } from "./expected_cache.ts";
import type { BackendServer } from "./model.ts";
import type { PlacedPrompt } from "./request.ts";
import type { Fleet } from "./fleet.ts";
import { LeavingAnnouncements } from "./leaving_announcements.ts";
import type { LoadScheduling } from "./load_scheduling.ts";
import type { SyncState } from "./mirror.ts";
import { changesIn } from "./datagram_changes.ts";
import { PaceExchange } from "./pace_exchange.ts";
import type { PeerLags } from "./peer_lags.ts";
import { ownLoads, PeerLoads } from "./peer_loads.ts";
import { type Datagram, readDatagram, type StartMs } from "./peer_datagram.ts";
import type { PeerSocket } from "./peer_socket.ts";
import { PromptAnnouncements } from "./prompt_announcements.ts";
import type { Quarantine } from "./quarantine.ts";
import type { Quotas } from "./quotas.ts";
import type { RateAnnouncements } from "./rate_announcements.ts";
import {
  gossipIntervalFor,
  jittered,
  MIN_INTERVAL_MS,
  rotated,
} from "./gossip_interval.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Longest interval while servers are held back: one lost datagram must not let a hold expire. */
const HELD_BACK_INTERVAL_MS = 200;
/** Interval between datagrams while nothing changes, unless the fleet's size makes it longer. */
const IDLE_INTERVAL_MS = 400;
/** A peer from which no datagram arrives for this long counts as gone. */
const PEER_TIMEOUT_MS = 3000;
/** How long a server stays held back after the last datagram of a peer that asks for it. */
const HELD_BACK_TTL_MS = 1000;

/** Options of {@link PeerGossip}. */
export interface PeerGossipOptions {
  name: string;
  ipAddress: string;
  socket: Pick<PeerSocket, "send">;
  clock: Clock;
  log: Logger;
  /** Random number from 0 to 1. */
  random: () => number;
  fleet: Fleet;
  /** Expected cache of one process of a server, by id and start time, or of a store, by address. */
  cacheOf(id: string, bornAtMs?: number): ExpectedCache | undefined;
  /** IP addresses of the configured seeds and the registered entries. */
  knownAddresses(): string[];
  /** Store revision up to which this entry is in sync, and the store answer that confirms it. */
  syncState(): SyncState;
  /** Time since the store's last answer; undefined unless contact with the store is stable. */
  storeServedMs(): number | undefined;
  /** Wanted weights versions; entries exchange their ages. */
  wanted: WantedVersions;
  /** Requests during which backend servers ended. */
  quarantine: Pick<Quarantine, "hasNews" | "takeNews" | "hear">;
  /** The other entries: which are alive, and which of them stop. */
  members: EntryMembers;
  /** How far this entry and the others are behind. */
  lags: Pick<PeerLags, "ownToldMs" | "record">;
  /** Rates of requests that backend servers take. */
  rates: RateAnnouncements;
  /** Workspace rate limits; entries exchange what they have consumed. */
  quotas: Pick<Quotas, "hasUpdate" | "takeUpdate" | "applyPeerUpdate">;
  /** Demand for services; entries exchange it. */
  demand: Pick<LoadScheduling, "rows" | "applyRows">;
  /** Called with the sync state that a peer reported. */
  onPeerSyncState(ipAddress: string, syncState: SyncState): void;
}

/** Sends this entry's state to the other entries, and applies the state that they send. */
export class PeerGossip {
  readonly #options: PeerGossipOptions;
  readonly #lastSeenAtMs = new Map<string, number>();
  readonly #prompts = PromptAnnouncements.create();
  readonly #weights: Datagram["weights"] = [];
  readonly #silent: string[] = [];
  readonly #gone: [string, StartMs][] = [];
  readonly #leaving: LeavingAnnouncements;
  readonly #peerLoads: PeerLoads;
  readonly #paces: PaceExchange;
  #heldBack: () => string[] = () => [];
  #changingNext: () => string[] = () => [];
  #peerStoreContactAtMs = -Infinity;
  /** Number of registered and seed entries, this one included; updated with each datagram sent. */
  #knownEntryCount = 1;
  #lastContent = "";
  #lastUrgent = "";
  #lastSentAtMs = -Infinity;

  private constructor(options: PeerGossipOptions) {
    this.#options = options;
    this.#leaving = LeavingAnnouncements.create(options);
    this.#peerLoads = PeerLoads.create(options.fleet);
    this.#paces = PaceExchange.create(options);
  }

  /**
   * @param options Own address, and the sources and receivers of the exchanged state.
   * @returns Peers to which nothing has been sent yet.
   */
  static create(options: PeerGossipOptions): PeerGossip {
    return new PeerGossip(options);
  }

  /** Number of live entries, this one included. */
  get count(): number {
    const nowMs = this.#options.clock.nowMs();
    let count = 1;
    for (const atMs of this.#lastSeenAtMs.values()) {
      if (nowMs - atMs < PEER_TIMEOUT_MS) count++;
    }
    return count;
  }

  /** Number of entries that may be live, this one included, with those not heard from yet. */
  get possibleEntryCount(): number {
    return Math.max(this.count, this.#knownEntryCount);
  }

  /** Interval between datagrams while loads and prompts change: the age that peers' loads may have. */
  get gossipIntervalMs(): number {
    return gossipIntervalFor(this.count);
  }

  /** Latest time at which the store answered another entry, as far as reported. */
  get peerStoreContactAtMs(): number {
    return this.#peerStoreContactAtMs;
  }

  /**
   * @param heldBack Returns the ids of servers to which no entry should send new requests.
   * @param changingNext Returns the ids of the servers whose weights change after theirs.
   */
  setHeldBackSources(
    heldBack: () => string[],
    changingNext: () => string[],
  ): void {
    this.#heldBack = heldBack;
    this.#changingNext = changingNext;
  }

  /** @param placed A prompt that was sent to a server, or written to a prompt store. */
  announcePrompt(placed: PlacedPrompt): void {
    this.#prompts.add(placed);
  }

  /** @param serverId A server that stopped answering, or refuses connections. */
  announceSilent(serverId: string): void {
    this.#silent.push(serverId);
  }

  /** @param server A server whose address now belongs to another server. */
  announceReplaced({ id, bornAtMs = 0 }: BackendServer): void {
    this.#gone.push([id, bornAtMs]);
  }

  /** Announces the version of a model's weights that was seen at a server. */
  announceWeights(
    { id, bornAtMs = 0 }: BackendServer,
    model: string,
    version: number,
  ): void {
    this.#weights.push([id, model, version, bornAtMs]);
  }

  /** @param signal Stops sending datagrams. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      this.#sendIfDue();
      await clock.sleep(jittered(MIN_INTERVAL_MS, random), signal);
    }
  }

  #sendIfDue(): void {
    const datagram = this.#buildDatagram();
    const { content, urgent } = changesIn(datagram, this.#leaving.ids);
    const { quarantine, quotas, rates, random } = this.#options;
    const hasNews = quarantine.hasNews || rates.hasNews;
    if (!hasNews && !this.#isDue(datagram, content, urgent)) return;
    this.#prompts.markSent(datagram.prompts.length);
    this.#weights.splice(0, datagram.weights.length);
    this.#silent.splice(0, datagram.silent.length);
    this.#gone.splice(0, datagram.gone?.length);
    this.#lastContent = content;
    this.#lastUrgent = urgent;
    this.#lastSentAtMs = this.#options.clock.nowMs();
    const rateRows = rates.nextRows();
    const message: Datagram = {
      ...datagram,
      leaving: this.#leaving.nextRows(),
      rates: rateRows.length > 0 ? rateRows : undefined,
      paces: this.#paces.nextRows(this.count),
      ...quarantine.takeNews(),
      ...quotas.takeUpdate(),
    };
    const bytes = Buffer.from(JSON.stringify(message));
    for (const address of rotated([...this.#addresses()], random)) {
      this.#options.socket.send(address, bytes);
    }
  }

  /** State that keeps requests off a server is sent at once, other changes at the usual interval. */
  #isDue({ heldBack }: Datagram, content: string, urgent: string): boolean {
    if (urgent !== this.#lastUrgent) return true;
    const sinceMs = this.#options.clock.nowMs() - this.#lastSentAtMs;
    const pauseMs = this.gossipIntervalMs;
    if (heldBack.length > 0 && sinceMs >= HELD_BACK_INTERVAL_MS) return true;
    if (content === this.#lastContent && !this.#options.quotas.hasUpdate) {
      return sinceMs >= Math.max(IDLE_INTERVAL_MS, pauseMs);
    }
    // The loop itself runs no more often than the shortest interval.
    return pauseMs <= MIN_INTERVAL_MS || sinceMs >= pauseMs;
  }

  #buildDatagram(): Datagram {
    const { name, fleet, syncState, wanted, members, lags, demand } =
      this.#options;
    const { position, confirmed } = syncState();
    const storeServedMs = this.#options.storeServedMs();
    return {
      name,
      revision: String(position.revision),
      era: position.era || undefined,
      ageMs: Math.round(confirmed?.ageMs ?? Number.MAX_SAFE_INTEGER),
      confirmed,
      loads: ownLoads(fleet),
      prompts: this.#prompts.next,
      heldBack: this.#heldBack(),
      changingNext: this.#changingNext(),
      storeServes: storeServedMs !== undefined,
      storeServedMs,
      lagMs: lags.ownToldMs,
      stopping: members.isStopping || undefined,
      demand: demand.rows(),
      software: fleet.versions.rows(),
      weights: [...this.#weights],
      silent: [...this.#silent],
      gone: [...this.#gone],
      named: wanted.ages().map(({ model, version, ageMs }) => [
        model,
        version,
        Math.floor(ageMs),
      ]),
    };
  }

  #addresses(): Set<string> {
    const { knownAddresses, ipAddress } = this.#options;
    const addresses = new Set([...knownAddresses(), ipAddress]);
    this.#knownEntryCount = addresses.size;
    for (const address of this.#lastSeenAtMs.keys()) addresses.add(address);
    addresses.delete(ipAddress);
    return addresses;
  }

  /**
   * Applies a datagram of another entry.
   *
   * @param bytes The datagram.
   * @param ipAddress The entry.
   */
  receive(bytes: Buffer, ipAddress: string): void {
    const datagram = readDatagram(bytes);
    if (!datagram) {
      this.#options.log.warn({ event: "peer_malformed", peer: ipAddress });
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    if (!this.#lastSeenAtMs.has(ipAddress)) {
      this.#options.log.info({ event: "peer_met", peer: datagram.name });
    }
    this.#lastSeenAtMs.set(ipAddress, nowMs);
    const { members, rates, lags } = this.#options;
    members.heard(ipAddress, nowMs);
    members.setStopping(ipAddress, datagram.stopping ?? false);
    lags.record(ipAddress, datagram.lagMs, datagram.stopping);
    this.#options.demand.applyRows(ipAddress, datagram.demand ?? []);
    this.#apply(datagram, nowMs);
    const { startedAtMs, taken } = datagram;
    if (startedAtMs !== undefined && taken) {
      this.#options.quotas.applyPeerUpdate(ipAddress, { startedAtMs, taken });
    }
    const { era = 0, revision } = datagram;
    const position = positionAt(era, BigInt(revision));
    // An entry that has just started knows nothing of the store yet.
    if (isStart(position)) rates.announceAll();
    this.#options.onPeerSyncState(ipAddress, {
      position,
      confirmed: datagram.confirmed,
    });
  }

  #apply(report: Datagram, nowMs: number): void {
    const { fleet, wanted, quarantine, log } = this.#options;
    this.#peerLoads.applyReport(report, nowMs);
    for (const [id, salt, readyInMs, parts, start] of report.prompts) {
      const chain = {
        salt,
        parts: parts.map(([id, tokens]) => ({ id, tokens })),
      };
      const cache = this.#options.cacheOf(id, start || undefined);
      cache?.recordPrompt(chain, nowMs + readyInMs);
    }
    // Matched by id alone, also from an earlier process: a hold or doubt ends soon (TTL, next probe).
    const untilMs = nowMs + HELD_BACK_TTL_MS;
    for (const id of report.heldBack) fleet.get(id)?.holdBack(untilMs);
    for (const id of report.changingNext ?? []) {
      fleet.get(id)?.markNextToChange(untilMs);
    }
    for (const id of report.silent) fleet.get(id)?.health.markSuspected(nowMs);
    for (const [id, start] of report.gone ?? []) {
      const server = fleet.get(id, start || undefined);
      if (server) fleet.dropReplaced(server);
    }
    this.#leaving.applyRows(report.leaving ?? []);
    this.#options.rates.applyRows(report.rates ?? []);
    this.#paces.applyRows(report.paces ?? []);
    fleet.versions.applyRows(report.software ?? []);
    if (report.storeServedMs !== undefined) {
      const servedAtMs = nowMs - report.storeServedMs;
      const knownAtMs = this.#peerStoreContactAtMs;
      this.#peerStoreContactAtMs = Math.max(knownAtMs, servedAtMs);
    }
    for (const [id, model, version, start] of report.weights) {
      fleet.get(id, start || undefined)?.recordWeights(model, version);
    }
    const { ended = [], cleared = [], crashes, answeredParts } = report;
    quarantine.hear({ ended, cleared, crashes, answeredParts });
    for (const [model, version, ageMs] of report.named) {
      if (!wanted.mergePeerAge({ model, version, ageMs })) continue;
      log.info({ event: "weights_wanted", model, version, peer: report.name });
    }
  }
}
