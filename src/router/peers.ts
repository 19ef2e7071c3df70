/**
 * What entries tell each other, by datagrams: how many requests each has under way at each server,
 * which prompts it sent there, which servers are held back, for how long versions of weights have
 * been named, and up to which revision of the store it knows everything. Datagrams may be lost: what
 * must be known is told again and again, and until it comes the safer of what may be is assumed.
 */
import { createSocket, type Socket } from "node:dgram";
import type { Clock, Logger } from "../base/mod.ts";
import type { CacheBook } from "./cache_book.ts";
import type { BackendServer } from "./model.ts";
import type { PlacedPrompt } from "./request.ts";
import type { Fleet } from "./fleet.ts";
import { LeavingNews } from "./leaving_news.ts";
import type { Knowledge } from "./mirror.ts";
import { PeerLoads, tellLoads } from "./peer_loads.ts";
import { readTold, type Start, type Told } from "./peer_datagram.ts";
import type { Quarantine } from "./quarantine.ts";
import type { Quotas } from "./quotas.ts";
import { jittered, rotated, TELL_MS, tellPauseMs } from "./tell_pace.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** An entry that holds servers back says so this often, so that one lost datagram ends nothing. */
const TELL_HELD_MS = 200;
/** Longest pause between datagrams. */
const TELL_IDLE_MS = 400;
/** A peer that says nothing for this long counts as gone. */
const PEER_GONE_MS = 3000;
/** A datagram stays below the usual size of a packet; prompts beyond it wait for the next. */
const MAX_PROMPTS = 12;
/** Prompts that wait to be told; the oldest are left out beyond it. */
const MAX_QUEUED_PROMPTS = 100;
/** A server that a peer holds back is spared for this long after the peer's last datagram. */
const HELD_BACK_MS = 1000;

/** What a {@link Peers} works with. */
export interface PeersOptions {
  name: string;
  ipAddress: string;
  port: number;
  clock: Clock;
  log: Logger;
  /** 0 to 1. */
  random: () => number;
  fleet: Fleet;
  /** Expected cache of a server's start, by id, or of a store, by address. */
  cacheOf(id: string, bornAtMs?: number): CacheBook | undefined;
  /** IP numbers of entries that may exist. */
  knownAddresses(): string[];
  /** Up to which revision of the store this entry knows everything, and how old that is. */
  knowledge(): Knowledge;
  /** Time since the store's last answer, while it has served this entry for a while. */
  storeServedMs(): number | undefined;
  /** Ages of named weights, which entries tell each other. */
  wanted: WantedVersions;
  /** Requests under which servers ended. */
  quarantine: Pick<Quarantine, "hasNews" | "takeNews" | "hear">;
  /** What entries take of the limits of workspaces. */
  quotas: Pick<Quotas, "hasNews" | "takeNews" | "hear">;
  /** A peer told of its own knowledge. */
  onKnowledge(ipAddress: string, knowledge: Knowledge): void;
}

/** Tells other entries, and takes in what they tell. */
export class Peers {
  readonly #options: PeersOptions;
  readonly #socket: Socket;
  readonly #heardAtMs = new Map<string, number>();
  readonly #prompts: Told["prompts"] = [];
  readonly #weights: Told["weights"] = [];
  readonly #silent: string[] = [];
  readonly #gone: [string, Start][] = [];
  readonly #leaving: LeavingNews;
  readonly #loads: PeerLoads;
  #heldBack: () => string[] = () => [];
  #changingNext: () => string[] = () => [];
  #storeServedPeerAtMs = -Infinity;
  /** Entries that are registered or seeds, this one included; looked at with each datagram. */
  #knownCount = 1;
  #lastNews = "";
  #lastOrders = "";
  #lastAtMs = -Infinity;

  private constructor(options: PeersOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#leaving = LeavingNews.create(options);
    this.#loads = PeerLoads.create(options.fleet);
  }

  /**
   * @param options Address and what to tell of.
   * @returns Peers that are not told anything yet.
   */
  static create(options: PeersOptions): Peers {
    return new Peers(options);
  }

  /** Entries that live, this one included. */
  get count(): number {
    const nowMs = this.#options.clock.nowMs();
    let count = 1;
    for (const atMs of this.#heardAtMs.values()) {
      if (nowMs - atMs < PEER_GONE_MS) count++;
    }
    return count;
  }

  /** Entries that may live, this one included, also those that were not heard of yet. */
  get possibleCount(): number {
    return Math.max(this.count, this.#knownCount);
  }

  /** Pause between datagrams while loads and prompts change: how old others' loads may be. */
  get tellPauseMs(): number {
    return tellPauseMs(this.count);
  }

  /** When the store last answered some other entry, as far as heard. */
  get storeServedPeerAtMs(): number {
    return this.#storeServedPeerAtMs;
  }

  /**
   * @param heldBack Ids of servers that every entry is to spare.
   * @param changingNext Ids of those that come after them.
   */
  tellHeldBack(heldBack: () => string[], changingNext: () => string[]): void {
    this.#heldBack = heldBack;
    this.#changingNext = changingNext;
  }

  /** @param placed A prompt that a server reads, or a store is given. */
  tellPrompt({ id, bornAtMs = 0, chain, readyInMs }: PlacedPrompt): void {
    const parts = chain.parts.map(({ id, tokens }): [string, number] => [
      id,
      tokens,
    ]);
    const inMs = Math.round(readyInMs);
    this.#prompts.push([id, chain.salt, inMs, parts, bornAtMs]);
    if (this.#prompts.length > MAX_QUEUED_PROMPTS) this.#prompts.shift();
  }

  /** @param serverId A server that has gone silent, or refuses connections. */
  tellSilent(serverId: string): void {
    this.#silent.push(serverId);
  }

  /** @param server A server whose address another one has. */
  tellGone({ id, bornAtMs = 0 }: BackendServer): void {
    this.#gone.push([id, bornAtMs]);
  }

  /**
   * @param server A server.
   * @param model A model.
   * @param version Version of its weights there.
   */
  tellWeights(
    { id, bornAtMs = 0 }: BackendServer,
    model: string,
    version: number,
  ): void {
    this.#weights.push([id, model, version, bornAtMs]);
  }

  /** @param signal Ends the work. */
  async run(signal: AbortSignal): Promise<void> {
    const { port, ipAddress, clock, log, random } = this.#options;
    this.#socket.on("message", (bytes, from) => {
      this.#hear(bytes, from.address);
    });
    this.#socket.on("error", (error) => {
      log.warn({ event: "peer_socket_failed", reason: error.message });
    });
    this.#socket.bind(port, ipAddress);
    while (!signal.aborted) {
      this.#tell();
      await clock.sleep(jittered(TELL_MS, random), signal);
    }
    this.#socket.close();
  }

  #tell(): void {
    const told = this.#compose();
    // Ages alone are no news.
    const news = JSON.stringify({
      ...told,
      ageMs: 0,
      confirmed: undefined,
      storeServedMs: undefined,
      named: [],
    });
    const orders = JSON.stringify([
      told.heldBack,
      told.silent,
      told.gone,
      told.weights,
      this.#leaving.ids,
    ]);
    const { quarantine, quotas, random } = this.#options;
    if (!quarantine.hasNews && !this.#isDue(told, news, orders)) return;
    this.#prompts.splice(0, told.prompts.length);
    this.#weights.splice(0, told.weights.length);
    this.#silent.splice(0, told.silent.length);
    this.#gone.splice(0, told.gone?.length);
    this.#lastNews = news;
    this.#lastOrders = orders;
    this.#lastAtMs = this.#options.clock.nowMs();
    const leaving = this.#leaving.take();
    const all: Told = {
      ...told,
      leaving,
      ...quarantine.takeNews(),
      ...quotas.takeNews(),
    };
    const bytes = Buffer.from(JSON.stringify(all));
    for (const address of rotated([...this.#addresses()], random)) {
      this.#socket.send(bytes, this.#options.port, address, (error) => {
        if (error) this.#sendFailed(error);
      });
    }
  }

  /** What keeps requests away from a server is told at once; the rest, as the entries' number allows. */
  #isDue({ heldBack }: Told, news: string, orders: string): boolean {
    if (orders !== this.#lastOrders) return true;
    const sinceMs = this.#options.clock.nowMs() - this.#lastAtMs;
    const pauseMs = this.tellPauseMs;
    if (heldBack.length > 0 && sinceMs >= TELL_HELD_MS) return true;
    if (news === this.#lastNews && !this.#options.quotas.hasNews) {
      return sinceMs >= Math.max(TELL_IDLE_MS, pauseMs);
    }
    // Looks are no more frequent than this.
    return pauseMs <= TELL_MS || sinceMs >= pauseMs;
  }

  /** A datagram that can't be sent is like one that is lost. */
  #sendFailed(error: Error): void {
    this.#options.log.debug({
      event: "peer_not_told",
      reason: error.message,
    });
  }

  #compose(): Told {
    const { name, fleet, knowledge, wanted } = this.#options;
    const { revision, confirmed } = knowledge();
    const storeServedMs = this.#options.storeServedMs();
    return {
      name,
      revision: String(revision),
      ageMs: Math.round(confirmed?.ageMs ?? Number.MAX_SAFE_INTEGER),
      confirmed,
      loads: tellLoads(fleet),
      prompts: this.#prompts.slice(0, MAX_PROMPTS),
      heldBack: this.#heldBack(),
      changingNext: this.#changingNext(),
      storeServes: storeServedMs !== undefined,
      storeServedMs,
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
    const known = new Set([...knownAddresses(), ipAddress]);
    this.#knownCount = known.size;
    const addresses = new Set([...known, ...this.#heardAtMs.keys()]);
    addresses.delete(ipAddress);
    return addresses;
  }

  #hear(bytes: Buffer, ipAddress: string): void {
    const told = readTold(bytes);
    if (!told) {
      this.#options.log.warn({ event: "peer_malformed", peer: ipAddress });
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    if (!this.#heardAtMs.has(ipAddress)) {
      this.#options.log.info({ event: "peer_met", peer: told.name });
    }
    this.#heardAtMs.set(ipAddress, nowMs);
    this.#take(told, nowMs);
    const { startedAtMs, taken } = told;
    if (startedAtMs !== undefined && taken) {
      this.#options.quotas.hear(ipAddress, { startedAtMs, taken });
    }
    const revision = BigInt(told.revision);
    this.#options.onKnowledge(ipAddress, {
      revision,
      confirmed: told.confirmed,
    });
  }

  #take(told: Told, nowMs: number): void {
    const { fleet, wanted, log } = this.#options;
    this.#loads.hear(told, nowMs);
    for (const [id, salt, readyInMs, parts, start] of told.prompts) {
      const chain = {
        salt,
        parts: parts.map(([id, tokens]) => ({ id, tokens })),
      };
      const cache = this.#options.cacheOf(id, start || undefined);
      cache?.use(chain, nowMs + readyInMs);
    }
    // These hold for a second, and for a probe: they may as well be about an earlier start.
    for (const id of told.heldBack) {
      fleet.get(id)?.holdBack(nowMs + HELD_BACK_MS);
    }
    for (const id of told.changingNext ?? []) {
      fleet.get(id)?.changesNext(nowMs + HELD_BACK_MS);
    }
    for (const id of told.silent) fleet.get(id)?.health.doubted(nowMs);
    for (const [id, start] of told.gone ?? []) {
      const server = fleet.get(id, start || undefined);
      if (server) fleet.giveUp(server);
    }
    this.#leaving.hear(told.leaving ?? []);
    if (told.storeServedMs !== undefined) {
      const servedAtMs = nowMs - told.storeServedMs;
      this.#storeServedPeerAtMs = Math.max(
        this.#storeServedPeerAtMs,
        servedAtMs,
      );
    }
    for (const [id, model, version, start] of told.weights) {
      fleet.get(id, start || undefined)?.learnWeights(model, version);
    }
    const { ended = [], cleared = [] } = told;
    this.#options.quarantine.hear({ ended, cleared });
    for (const [model, version, ageMs] of told.named) {
      if (!wanted.tell({ model, version, ageMs })) continue;
      log.info({ event: "weights_wanted", model, version, peer: told.name });
    }
  }
}
