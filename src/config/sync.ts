/**
 * Keeps a process's branches in step with the fleet: from the key-value service while it answers,
 * from other entries always, and from agents when nobody else answers at a start.
 */
import type { Result } from "true-myth";
import type { CallFailure } from "../wire/mod.ts";
import type { VersionDigest } from "../wire/gen/cicadahitch.ts";
import { Freshness } from "./freshness.ts";
import { Gossip } from "./gossip.ts";
import type { PeerBook } from "./peer_book.ts";
import { choose, randomSuffix } from "./random.ts";
import { StoreFollower } from "./store_follower.ts";
import { type ConfigSyncOptions, withDefaults } from "./sync_options.ts";
import { type ConfigSyncState, describeState } from "./sync_state.ts";

/** Who gave a starting process its configuration. */
export type ReadyOutcome = { source: "store" | "peer" | "agent" | "nobody" };

const SEED_RETRY_MS = 250;
const SEEDS_AT_ONCE = 16;
const PEER_MEMORY_MS = 300_000;
/** Upper bound of the wait before a change is announced; until then, most have it by watch. */
const ANNOUNCE_MS = 200;
/** Shortest time between two questions back to the same peer. */
const PULL_PAUSE_MS = 100;
const PROBE_KEY = "/cicadahitch/probe";
const PROBED_AGENTS = 2;

/** Keeps branches in step. */
export class ConfigSync {
  /** Resolves on the first useful answer, and no later than `maxStartMs`. */
  readonly ready: Promise<ReadyOutcome>;
  readonly #options: Required<ConfigSyncOptions>;
  readonly #freshness: Freshness;
  readonly #gossip: Gossip;
  readonly #follower: StoreFollower | undefined;
  readonly #pulling = new Set<string>();
  readonly #pulledAtMs = new Map<string, number>();
  #announcing = false;
  #resolveReady: (outcome: ReadyOutcome) => void = () => {};
  #answered = false;

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
      extend: options.extend,
      hear: options.hear,
    });
    this.#follower = store && StoreFollower.create({
      store,
      branches,
      freshness: this.#freshness,
      clock,
      log,
      random,
      startJitterMs: options.startJitterMs,
      onAnswer: () => this.#noteReady("store"),
    });
  }

  /**
   * Starts following the store and exchanging with peers, as tasks of the life cycle.
   *
   * @param options Where to look, and how often.
   * @returns The sync; wait for {@link ready} before serving.
   */
  static create(options: ConfigSyncOptions): ConfigSync {
    const sync = new ConfigSync(withDefaults(options));
    sync.#start();
    return sync;
  }

  /** What other entries are known to have in force. */
  get book(): PeerBook {
    return this.#gossip.book;
  }

  /** False: a team that isn't held may exist all the same, so it must not be called unknown. */
  get knowsAllTeams(): boolean {
    return this.#options.branches.completeTo > 0n;
  }

  /** Peer addresses of the other entries, as now known. */
  get peerAddresses(): string[] {
    return this.#peers();
  }

  /** Time since the store confirmed what is held, here or at a peer that holds the same. */
  get confirmedAgeMs(): number {
    return this.#freshness.confirmedAgeMs;
  }

  /**
   * True once neither the store, nor a peer, nor an agent answered for `isolationLimitMs`. A process
   * without store and peer in its settings is never isolated. Agents count, since whoever has a
   * newer version gives it to them, and their answers carry it.
   */
  get isolated(): boolean {
    const { store, isolationLimitMs } = this.#options;
    if (!store && this.#peers().length === 0) return false;
    return this.#freshness.contactAgeMs > isolationLimitMs;
  }

  /**
   * Answers another entry's digest; where the sets differ, asks that entry in turn.
   *
   * @param asked The other entry's digest.
   * @returns Own digest.
   */
  answer(asked: VersionDigest): VersionDigest {
    const reply = this.#gossip.answer(asked);
    if (reply.hash !== asked.hash && asked.address !== "") {
      void this.#pullFrom(asked.address);
    }
    return reply;
  }

  /** @returns What this process holds, without the list of versions. */
  digest(): VersionDigest {
    return this.#gossip.digest();
  }

  /**
   * Compares versions with one peer now and takes over what is newer there.
   *
   * @param address The peer's address.
   * @returns Whether it answered.
   */
  async exchangeWith(address: string): Promise<boolean> {
    const exchanged = await this.#gossip.exchangeWith(address);
    if (exchanged.isOk && exchanged.value.informed) this.#noteReady("peer");
    return exchanged.isOk;
  }

  /** Compares versions with a few peers now, without waiting for the next round. */
  async exchangeNow(): Promise<void> {
    const { fanout, random } = this.#options;
    const chosen = choose(this.#peers(), fanout, random);
    await Promise.all(chosen.map((address) => this.exchangeWith(address)));
  }

  /**
   * Gives an agent branches that it lacks, with all known deletes; takes over what is newer there.
   *
   * @param address The agent.
   * @param teams Teams whose branches it lacks.
   * @returns The agent's versions, or why it gave no answer.
   */
  async pushTo(
    address: string,
    teams: string[],
  ): Promise<Result<VersionDigest, CallFailure>> {
    const { branches, peers } = this.#options;
    const pushed = branches.tombstones();
    for (const team of teams) {
      const held = branches.held(team);
      if (!held || held.json.length === 0) continue;
      const { revision, json } = held;
      pushed.push({ team, revision, json: Buffer.from(json) });
    }
    const reply = await peers.pushToAgent(address, pushed);
    if (reply.isErr) return reply;
    this.#freshness.noteContact();
    await this.#gossip.fetchNewer(
      reply.value.versions,
      (lacking) => peers.fetchFromAgent(address, lacking),
    );
    return reply;
  }

  /**
   * Takes over what an agent has newer.
   *
   * @param address The agent.
   * @param teams Which teams; none: all.
   * @returns How many branches came into force, or why the agent gave no answer.
   */
  async fetchFrom(
    address: string,
    teams: string[] = [],
  ): Promise<Result<number, CallFailure>> {
    const reply = await this.#options.peers.fetchFromAgent(address, teams);
    if (reply.isOk) this.#freshness.noteContact();
    return reply.map(({ branches }) => this.#gossip.take(branches));
  }

  /** @returns State for a dump; it holds no keys. */
  state(): ConfigSyncState {
    return describeState({
      branches: this.#options.branches,
      freshness: this.#freshness,
      book: this.book,
      follower: this.#follower,
      isolated: this.isolated,
      nowMs: this.#options.clock.nowMs(),
    });
  }

  #start(): void {
    const { lifecycle, clock, branches, maxStartMs } = this.#options;
    const follower = this.#follower;
    if (follower) lifecycle.task("config-store", (end) => follower.run(end));
    lifecycle.task("config-seeds", (end) => this.#askSeeds(end));
    lifecycle.task("config-gossip", (end) => this.#exchangeRounds(end));
    const unsubscribe = branches.onChange(() => void this.#announce());
    lifecycle.own({ name: "config-announcements", close: unsubscribe });
    lifecycle.task("config-start", async (end) => {
      await clock.sleep(maxStartMs, end);
      this.#noteReady("nobody");
    });
  }

  /** Asks seeds until one of them, a peer or the store has answered. */
  async #askSeeds(end: AbortSignal): Promise<void> {
    const { clock, random, seedAddresses, address } = this.#options;
    while (!end.aborted && !this.#answered) {
      const seeds = new Set([...seedAddresses(), ...this.#peers()]);
      seeds.delete(address());
      const chosen = choose([...seeds], SEEDS_AT_ONCE, random);
      await Promise.all(chosen.map((seed) => this.#askSeed(seed)));
      if (this.#answered) return;
      await clock.sleep(SEED_RETRY_MS * (0.5 + random()), end);
    }
  }

  /** A seed is an entry or an agent; only asking tells. */
  async #askSeed(address: string): Promise<void> {
    const exchanged = await this.#gossip.exchangeWith(address);
    if (exchanged.isOk) {
      if (exchanged.value.informed) this.#noteReady("peer");
      return;
    }
    if (exchanged.error.kind !== "rejected") return;
    const fetched = await this.fetchFrom(address);
    if (fetched.isOk && fetched.value > 0) this.#noteReady("agent");
  }

  async #exchangeRounds(end: AbortSignal): Promise<void> {
    const { clock, random, exchangeIntervalMs } = this.#options;
    while (!end.aborted) {
      await clock.sleep(exchangeIntervalMs * (0.5 + random()), end);
      if (end.aborted) return;
      await this.exchangeNow();
      await this.#probe();
      this.#forgetOldPeers(clock.nowMs() - PEER_MEMORY_MS);
    }
  }

  /** A quiet watch says nothing; before calling itself isolated, a process asks around. */
  async #probe(): Promise<void> {
    const { store, isolationLimitMs, random, seedAddresses } = this.#options;
    if (this.#freshness.contactAgeMs < isolationLimitMs / 2) return;
    const probed = await store?.get(PROBE_KEY);
    if (probed?.isOk) return this.#freshness.noteContact();
    const agents = choose(seedAddresses(), PROBED_AGENTS, random);
    await Promise.all(agents.map((address) => this.pushTo(address, [])));
  }

  #forgetOldPeers(beforeMs: number): void {
    this.book.forgetUnseen(beforeMs);
    for (const [address, atMs] of this.#pulledAtMs) {
      if (atMs < beforeMs) this.#pulledAtMs.delete(address);
    }
  }

  /** Soon after changes, shows a few peers the new hash; they ask back if they lack something. */
  async #announce(): Promise<void> {
    const { clock, lifecycle, random } = this.#options;
    if (this.#announcing) return;
    this.#announcing = true;
    await clock.sleep(random() * ANNOUNCE_MS, lifecycle.signal);
    this.#announcing = false;
    if (!lifecycle.stopping) await this.exchangeNow();
  }

  /** Asks back whoever showed a different set, unless it was asked a moment ago. */
  async #pullFrom(address: string): Promise<void> {
    const { clock, lifecycle } = this.#options;
    const lastMs = this.#pulledAtMs.get(address) ?? -Infinity;
    if (this.#pulling.has(address) || lifecycle.stopping) return;
    if (clock.nowMs() - lastMs < PULL_PAUSE_MS) return;
    this.#pulling.add(address);
    this.#pulledAtMs.set(address, clock.nowMs());
    await this.exchangeWith(address);
    this.#pulling.delete(address);
  }

  #peers(): string[] {
    const { peerAddresses, address } = this.#options;
    const own = address();
    return peerAddresses().filter((peer) => peer !== own);
  }

  #noteReady(source: ReadyOutcome["source"]): void {
    if (source !== "nobody") this.#answered = true;
    this.#resolveReady({ source });
  }
}
