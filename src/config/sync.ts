/**
 * Synchronizes a process's branches: from the key-value service while it is reachable, by gossip
 * with other entries at all times, and from agents if nothing else answers at startup.
 */
import type { Result } from "true-myth";
import type { CallFailure } from "../wire/mod.ts";
import type { VersionDigest } from "../wire/gen/cicadahitch.ts";
import { Freshness } from "./freshness.ts";
import { Gossip } from "./gossip.ts";
import type { PeerTable } from "./peer_table.ts";
import { randomSuffix, sample } from "./random.ts";
import { StoreFollower } from "./store_follower.ts";
import { type ConfigSyncOptions, withDefaults } from "./sync_options.ts";
import { type ConfigSyncState, describeState } from "./sync_state.ts";

/** The first source that answered a starting process; `nobody` if `maxStartMs` passed first. */
export type ReadyOutcome = { source: "store" | "peer" | "agent" | "nobody" };

const MEAN_SEED_RETRY_MS = 250;
const SEED_FANOUT = 16;
const PEER_RETENTION_MS = 300_000;
/** Maximum delay before a change is announced; most peers receive it by watch in the meantime. */
const MAX_ANNOUNCE_DELAY_MS = 200;
/** Minimum time between two pulls from the same peer. */
const MIN_PULL_INTERVAL_MS = 100;
const PROBE_KEY = "/cicadahitch/probe";
const AGENTS_PER_PROBE = 2;

/** Synchronizes the local branches with the store, other entries and agents. */
export class ConfigSync {
  /** Resolves with the first useful answer, or after `maxStartMs`. */
  readonly ready: Promise<ReadyOutcome>;
  readonly #options: Required<ConfigSyncOptions>;
  readonly #freshness: Freshness;
  readonly #gossip: Gossip;
  readonly #follower: StoreFollower | undefined;
  readonly #activePulls = new Set<string>();
  readonly #lastPullAtMs = new Map<string, number>();
  #announcementPending = false;
  #resolveReady: (outcome: ReadyOutcome) => void = () => {};
  #hasAnswer = false;

  private constructor(options: Required<ConfigSyncOptions>) {
    const { clock, branches, log, peers, address, store, random } = options;
    this.#options = options;
    this.#freshness = Freshness.create(clock);
    this.ready = new Promise((resolve) => this.#resolveReady = resolve);
    this.#gossip = Gossip.create({
      processId: `${options.processId}/${randomSuffix(random)}`,
      address,
      branches,
      freshness: this.#freshness,
      peers,
      clock,
      log,
      extendDigest: options.extendDigest,
      onPeerDigest: options.onPeerDigest,
    });
    this.#follower = store && StoreFollower.create({
      store,
      branches,
      freshness: this.#freshness,
      clock,
      log,
      random,
      startJitterMs: options.startJitterMs,
      onAnswer: () => this.#markReady("store"),
    });
  }

  /**
   * Starts following the store and exchanging with peers, as tasks of the lifecycle.
   *
   * @param options Data sources, intervals and dependencies.
   * @returns The running instance; await {@link ready} before serving requests.
   */
  static create(options: ConfigSyncOptions): ConfigSync {
    const sync = new ConfigSync(withDefaults(options));
    sync.#start();
    return sync;
  }

  /** The versions that other entries are known to have. */
  get peerTable(): PeerTable {
    return this.#gossip.peerTable;
  }

  /** Whether the set of teams was ever complete; if not, a missing team may still exist. */
  get knowsAllTeams(): boolean {
    return this.#options.branches.completeTo > 0n;
  }

  /** Currently known peer addresses of the other entries. */
  get peerAddresses(): string[] {
    return this.#peers();
  }

  /** Time since the store confirmed the local configuration, directly or through an equal peer. */
  get confirmedAgeMs(): number {
    return this.#freshness.confirmedAgeMs;
  }

  /**
   * Whether neither the store nor any peer or agent has answered for `isolationLimitMs`. A process
   * configured without a store and peers is never isolated. Answers of agents count, since other
   * entries push newer versions to agents, and an agent's answer lists them.
   */
  get isolated(): boolean {
    const { store, isolationLimitMs } = this.#options;
    if (!store && this.#peers().length === 0) return false;
    return this.#freshness.contactAgeMs > isolationLimitMs;
  }

  /**
   * Answers the digest of another entry. If the sets differ, also pulls from that entry.
   *
   * @param peerDigest The other entry's digest.
   * @returns The local digest.
   */
  answer(peerDigest: VersionDigest): VersionDigest {
    const reply = this.#gossip.answer(peerDigest);
    if (reply.hash !== peerDigest.hash && peerDigest.address !== "") {
      void this.#pullFromPeer(peerDigest.address);
    }
    return reply;
  }

  /** @returns A digest of the local branches, without the list of versions. */
  digest(): VersionDigest {
    return this.#gossip.digest();
  }

  /**
   * Compares versions with a peer immediately and fetches the peer's newer branches.
   *
   * @param address The peer's address.
   * @returns Whether the peer answered.
   */
  async exchangeWith(address: string): Promise<boolean> {
    const exchanged = await this.#gossip.exchangeWith(address);
    if (exchanged.isOk && exchanged.value.hasConfig) this.#markReady("peer");
    return exchanged.isOk;
  }

  /** Exchanges with `fanout` random peers immediately instead of waiting for the next round. */
  async exchangeNow(): Promise<void> {
    const { fanout, random } = this.#options;
    const sampled = sample(this.#peers(), fanout, random);
    await Promise.all(sampled.map((address) => this.exchangeWith(address)));
  }

  /**
   * Sends an agent its missing branches and all tombstones, then fetches its newer branches.
   *
   * @param address The agent's address.
   * @param teams Teams whose branches the agent is missing.
   * @returns The agent's digest, or why the call failed.
   */
  async pushToAgent(
    address: string,
    teams: string[],
  ): Promise<Result<VersionDigest, CallFailure>> {
    const { branches, peers } = this.#options;
    const pushed = branches.tombstones();
    for (const team of teams) {
      const held = branches.getRecord(team);
      if (!held || held.json.length === 0) continue;
      const { revision, json } = held;
      pushed.push({ team, revision, json: Buffer.from(json) });
    }
    const reply = await peers.pushToAgent(address, pushed);
    if (reply.isErr) return reply;
    this.#freshness.recordContact();
    await this.#gossip.fetchNewer(
      reply.value.versions,
      (missing) => peers.fetchFromAgent(address, missing),
    );
    return reply;
  }

  /**
   * Fetches and applies an agent's newer branches.
   *
   * @param address The agent's address.
   * @param teams The teams to fetch; an empty list fetches all teams.
   * @returns The number of changes applied, or why the call failed.
   */
  async fetchFromAgent(
    address: string,
    teams: string[] = [],
  ): Promise<Result<number, CallFailure>> {
    const reply = await this.#options.peers.fetchFromAgent(address, teams);
    if (reply.isOk) this.#freshness.recordContact();
    return reply.map(({ branches }) => this.#gossip.applyReceived(branches));
  }

  /** @returns The state for a state dump, without API keys. */
  state(): ConfigSyncState {
    return describeState({
      branches: this.#options.branches,
      freshness: this.#freshness,
      peerTable: this.peerTable,
      follower: this.#follower,
      isolated: this.isolated,
      nowMs: this.#options.clock.nowMs(),
    });
  }

  #start(): void {
    const { lifecycle, clock, branches, maxStartMs } = this.#options;
    const follower = this.#follower;
    if (follower) lifecycle.task("config-store", (end) => follower.run(end));
    lifecycle.task("config-seeds", (end) => this.#querySeeds(end));
    lifecycle.task("config-gossip", (end) => this.#runExchangeRounds(end));
    const unsubscribe = branches.onChange(() => void this.#announce());
    lifecycle.own({ name: "config-announcements", close: unsubscribe });
    lifecycle.task("config-start", async (end) => {
      await clock.sleep(maxStartMs, end);
      this.#markReady("nobody");
    });
  }

  /** Queries random seeds and peers until one of them or the store has given a useful answer. */
  async #querySeeds(signal: AbortSignal): Promise<void> {
    const { clock, random, seedAddresses, address } = this.#options;
    while (!signal.aborted && !this.#hasAnswer) {
      const seeds = new Set([...seedAddresses(), ...this.#peers()]);
      seeds.delete(address());
      const sampled = sample([...seeds], SEED_FANOUT, random);
      await Promise.all(sampled.map((seed) => this.#querySeed(seed)));
      if (this.#hasAnswer) return;
      await clock.sleep(MEAN_SEED_RETRY_MS * (0.5 + random()), signal);
    }
  }

  /** Queries a seed as an entry; if it rejects the call, it is an agent and is queried as one. */
  async #querySeed(address: string): Promise<void> {
    const exchanged = await this.#gossip.exchangeWith(address);
    if (exchanged.isOk) {
      if (exchanged.value.hasConfig) this.#markReady("peer");
      return;
    }
    if (exchanged.error.kind !== "rejected") return;
    const fetched = await this.fetchFromAgent(address);
    if (fetched.isOk && fetched.value > 0) this.#markReady("agent");
  }

  /** Exchanges with random peers in periodic rounds and removes the records of stale peers. */
  async #runExchangeRounds(signal: AbortSignal): Promise<void> {
    const { clock, random, exchangeIntervalMs } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(exchangeIntervalMs * (0.5 + random()), signal);
      if (signal.aborted) return;
      await this.exchangeNow();
      await this.#probeConnectivity();
      this.#removeStalePeers(clock.nowMs() - PEER_RETENTION_MS);
    }
  }

  /**
   * Queries the store, then some agents, if nothing has answered for half the isolation limit. A
   * watch without events doesn't show whether the store is reachable.
   */
  async #probeConnectivity(): Promise<void> {
    const { store, isolationLimitMs, random, seedAddresses } = this.#options;
    if (this.#freshness.contactAgeMs < isolationLimitMs / 2) return;
    const probed = await store?.get(PROBE_KEY);
    if (probed?.isOk) return this.#freshness.recordContact();
    const agents = sample(seedAddresses(), AGENTS_PER_PROBE, random);
    await Promise.all(agents.map((address) => this.pushToAgent(address, [])));
  }

  #removeStalePeers(beforeMs: number): void {
    this.peerTable.removeStale(beforeMs);
    for (const [address, atMs] of this.#lastPullAtMs) {
      if (atMs < beforeMs) this.#lastPullAtMs.delete(address);
    }
  }

  /** Sends the new hash to a few peers shortly after a change; peers whose hash differs pull it. */
  async #announce(): Promise<void> {
    const { clock, lifecycle, random } = this.#options;
    if (this.#announcementPending) return;
    this.#announcementPending = true;
    await clock.sleep(random() * MAX_ANNOUNCE_DELAY_MS, lifecycle.signal);
    this.#announcementPending = false;
    if (!lifecycle.stopping) await this.exchangeNow();
  }

  /** Pulls from a peer whose digest differs, at most once per {@link MIN_PULL_INTERVAL_MS}. */
  async #pullFromPeer(address: string): Promise<void> {
    const { clock, lifecycle } = this.#options;
    const lastMs = this.#lastPullAtMs.get(address) ?? -Infinity;
    if (this.#activePulls.has(address) || lifecycle.stopping) return;
    if (clock.nowMs() - lastMs < MIN_PULL_INTERVAL_MS) return;
    this.#activePulls.add(address);
    this.#lastPullAtMs.set(address, clock.nowMs());
    await this.exchangeWith(address);
    this.#activePulls.delete(address);
  }

  #peers(): string[] {
    const { peerAddresses, address } = this.#options;
    const own = address();
    return peerAddresses().filter((peer) => peer !== own);
  }

  #markReady(source: ReadyOutcome["source"]): void {
    if (source !== "nobody") this.#hasAnswer = true;
    this.#resolveReady({ source });
  }
}
