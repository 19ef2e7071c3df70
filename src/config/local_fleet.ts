/** Simulated nodes in one process that exchange configuration; for tests and benchmarks. */
import type { StorePosition } from "../store/position.ts";
import { Result } from "true-myth";
import {
  type Clock,
  createSilentLogger,
  Lifecycle,
  systemClock,
} from "../base/mod.ts";
import type { KeyValueStore, StoreFailure, WatchStep } from "../store/store.ts";
import {
  Branch,
  FetchBranchesReply,
  VersionDigest,
} from "../wire/gen/cicadahitch.ts";
import type { CallFailure } from "../wire/mod.ts";
import { BranchSet } from "./branch_set.ts";
import { selectBranches } from "./gossip.ts";
import type { PeerCalls } from "./peer_calls.ts";
import { ConfigSync } from "./sync.ts";
import type { ConfigSyncOptions } from "./sync_options.ts";

/** A simulated entry with its own branches, store connection and lifecycle. */
export interface FleetNode {
  address: string;
  branches: BranchSet;
  sync: ConfigSync;
  lifecycle: Lifecycle;
  /** The node's connection to the store, which can be closed. */
  store: GatedStore;
}

/** Settings of a {@link LocalFleet}. */
export interface LocalFleetOptions {
  store: KeyValueStore;
  clock: Clock;
  random: () => number;
  /** One-way network delay of calls between nodes, in ms. */
  oneWayDelayMs: number;
  sync: Partial<ConfigSyncOptions>;
}

const PEER_UNREACHABLE: CallFailure = {
  kind: "unreachable",
  message: "Disconnected by the test",
};
const STORE_UNAVAILABLE: StoreFailure = {
  kind: "unavailable",
  message: "Disconnected by the test",
};

/** Simulated nodes, the network between them, and agents that only store branches. */
export class LocalFleet {
  readonly nodes = new Map<string, FleetNode>();
  readonly agents = new Map<string, BranchSet>();
  /** Addresses of nodes and agents that the simulated network isolates from all others. */
  readonly isolated = new Set<string>();
  readonly counters = { messages: 0, bytes: 0 };
  readonly #options: LocalFleetOptions;

  private constructor(options: LocalFleetOptions) {
    this.#options = options;
  }

  /**
   * @param options The store, and settings that differ from the defaults.
   * @returns A fleet without nodes.
   */
  static create(
    options: Partial<LocalFleetOptions> & { store: KeyValueStore },
  ): LocalFleet {
    return new LocalFleet({
      clock: systemClock,
      random: Math.random,
      oneWayDelayMs: 0,
      sync: {},
      ...options,
    });
  }

  /**
   * Starts a node. A previous node at the same address must have been stopped.
   *
   * @param address The node's peer address, also used as its process id.
   * @param overrides Settings that differ from those of the fleet.
   * @returns The started node.
   */
  start(
    address: string,
    overrides: Partial<ConfigSyncOptions> = {},
  ): FleetNode {
    const { clock, random, store } = this.#options;
    const branches = BranchSet.create();
    const lifecycle = Lifecycle.create(address);
    const gated = GatedStore.create(store);
    const sync = ConfigSync.create({
      processId: address,
      address: () => address,
      store: gated,
      branches,
      peers: this.createCallsFrom(address),
      peerAddresses: () => [...this.nodes.keys()],
      lifecycle,
      log: createSilentLogger(),
      clock,
      random,
      ...this.#options.sync,
      ...overrides,
    });
    const node = { address, branches, sync, lifecycle, store: gated };
    this.nodes.set(address, node);
    return node;
  }

  /** Stops a node and removes it from the fleet. */
  async stop(address: string): Promise<void> {
    const node = this.nodes.get(address);
    this.nodes.delete(address);
    await node?.lifecycle.stop();
  }

  /** Stops all nodes. */
  async stopAll(): Promise<void> {
    await Promise.all([...this.nodes.keys()].map((at) => this.stop(at)));
  }

  /** @returns Peer calls that originate from this address. */
  createCallsFrom(from: string): PeerCalls {
    return {
      exchange: (to, digest) =>
        this.#call(from, to, () => {
          this.#countMessage(VersionDigest.encode(digest).finish().length);
          const answer = this.nodes.get(to)?.sync.answer(digest);
          if (!answer) return this.#failUnknown(to);
          this.#countMessage(VersionDigest.encode(answer).finish().length);
          return Result.ok(answer);
        }),
      fetchFromPeer: (to, teams) =>
        this.#call(from, to, () => {
          const node = this.nodes.get(to);
          if (!node) return this.#failUnknown(to);
          return Result.ok(this.#fetch(node.branches, teams));
        }),
      fetchFromAgent: (to, teams) =>
        this.#call(from, to, () => {
          const agent = this.agents.get(to);
          if (!agent) return this.#failUnknown(to);
          return Result.ok(this.#fetch(agent, teams));
        }),
      pushToAgent: (to, branches) =>
        this.#call(from, to, () => {
          const agent = this.agents.get(to);
          if (!agent) return this.#failUnknown(to);
          for (const branch of branches) {
            this.#countMessage(Branch.encode(branch).finish().length);
            agent.apply(branch);
          }
          return Result.ok(createAgentDigest(to, agent));
        }),
    };
  }

  /** Simulates a call over the network; fails if either side is isolated. */
  async #call<A>(
    from: string,
    to: string,
    handler: () => Result<A, CallFailure>,
  ): Promise<Result<A, CallFailure>> {
    const { clock, oneWayDelayMs } = this.#options;
    await clock.sleep(oneWayDelayMs);
    if (this.isolated.has(from) || this.isolated.has(to)) {
      return Result.err(PEER_UNREACHABLE);
    }
    const answer = handler();
    await clock.sleep(oneWayDelayMs);
    return this.isolated.has(from) ? Result.err(PEER_UNREACHABLE) : answer;
  }

  #fetch(branches: BranchSet, teams: string[]): FetchBranchesReply {
    const reply = selectBranches(branches, { teams });
    this.#countMessage(teams.join("  ").length + 2);
    this.#countMessage(FetchBranchesReply.encode(reply).finish().length);
    return reply;
  }

  #countMessage(bytes: number): void {
    this.counters.messages++;
    this.counters.bytes += bytes;
  }

  #failUnknown<A>(address: string): Result<A, CallFailure> {
    const known = this.agents.has(address) || this.nodes.has(address);
    const message = "No such node or agent at this address";
    return Result.err({ kind: known ? "rejected" : "unreachable", message });
  }
}

function createAgentDigest(address: string, agent: BranchSet): VersionDigest {
  return {
    processId: address,
    address,
    versions: agent.versions(),
    revision: 0n,
    confirmedAgeMs: 0,
    hash: agent.hash,
  };
}

/** A node's connection to the store, which tests can close and reopen. */
export class GatedStore implements KeyValueStore {
  readonly #store: KeyValueStore;
  #gate = new AbortController();

  private constructor(store: KeyValueStore) {
    this.#store = store;
  }

  /**
   * @param store The store that calls are forwarded to.
   * @returns An open connection.
   */
  static create(store: KeyValueStore): GatedStore {
    return new GatedStore(store);
  }

  /** While false, all calls fail and watches end. */
  get open(): boolean {
    return !this.#gate.signal.aborted;
  }

  set open(open: boolean) {
    if (!open) this.#gate.abort();
    else if (!this.open) this.#gate = new AbortController();
  }

  get(key: string): ReturnType<KeyValueStore["get"]> {
    return this.#callIfOpen(() => this.#store.get(key));
  }

  list(prefix: string): ReturnType<KeyValueStore["list"]> {
    return this.#callIfOpen(() => this.#store.list(prefix));
  }

  commit(
    ...args: Parameters<KeyValueStore["commit"]>
  ): ReturnType<KeyValueStore["commit"]> {
    return this.#callIfOpen(
      () => this.#store.commit(...args),
      { kind: "effect_unknown", message: "Disconnected by the test" },
    );
  }

  async *watch(
    prefix: string,
    from: StorePosition,
    signal: AbortSignal,
  ): AsyncGenerator<Result<WatchStep, StoreFailure>> {
    const gate = this.#gate.signal;
    if (gate.aborted) return yield Result.err(STORE_UNAVAILABLE);
    const anySignal = AbortSignal.any([signal, gate]);
    for await (
      const step of this.#store.watch(prefix, from, anySignal)
    ) {
      if (gate.aborted) break;
      yield step;
    }
    if (!signal.aborted) yield Result.err(STORE_UNAVAILABLE);
  }

  grantLease(ttlMs: number): ReturnType<KeyValueStore["grantLease"]> {
    return this.#callIfOpen(() => this.#store.grantLease(ttlMs));
  }

  renewLease(leaseId: bigint): ReturnType<KeyValueStore["renewLease"]> {
    return this.#callIfOpen(() => this.#store.renewLease(leaseId));
  }

  revokeLease(leaseId: bigint): ReturnType<KeyValueStore["revokeLease"]> {
    return this.#callIfOpen(() => this.#store.revokeLease(leaseId));
  }

  close(): void {}

  /** Forwards a call if the connection is open. Closing it during the call discards the answer. */
  async #callIfOpen<A>(
    call: () => Promise<Result<A, StoreFailure>>,
    failureIfClosed: StoreFailure = STORE_UNAVAILABLE,
  ): Promise<Result<A, StoreFailure>> {
    const gate = this.#gate.signal;
    if (gate.aborted) return Result.err(STORE_UNAVAILABLE);
    const answer = await call();
    return gate.aborted ? Result.err(failureIfClosed) : answer;
  }
}
