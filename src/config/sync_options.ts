/** Settings of configuration synchronization, and their defaults. */
import type { Clock, Lifecycle, Logger } from "../base/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { VersionDigest } from "../wire/gen/cicadahitch.ts";
import type { BranchSet } from "./branch_set.ts";
import type { PeerCalls } from "./peer_calls.ts";

const DEFAULT_MAX_START_MS = 3000;
const DEFAULT_START_JITTER_MS = 200;
const DEFAULT_EXCHANGE_INTERVAL_MS = 1000;
const DEFAULT_FANOUT = 2;
const DEFAULT_ISOLATION_LIMIT_MS = 10_000;

/** Settings of `ConfigSync`. */
export interface ConfigSyncOptions {
  /** The process's id; a random suffix distinguishes each start of the process. */
  processId: string;
  /**
   * Returns the process's own peer address, as others reach it. A function, since the port may be
   * assigned only when the process starts to listen.
   */
  address: () => string;
  /** The key-value service; undefined if none is configured. */
  store: KeyValueStore | undefined;
  branches: BranchSet;
  peers: PeerCalls;
  /** Returns the currently known peer addresses of the other entries. */
  peerAddresses: () => string[];
  /** Returns the entries and agents to query at startup. */
  seedAddresses?: () => string[];
  lifecycle: Lifecycle;
  log: Logger;
  clock: Clock;
  /** Returns a number from 0 to 1; used for jitter and the selection of peers. */
  random?: () => number;
  /** Time after which `ready` resolves even without an answer, in ms. */
  maxStartMs?: number;
  /** Maximum delay of the first call to the store, in ms. */
  startJitterMs?: number;
  /** Mean interval between gossip rounds, in ms. */
  exchangeIntervalMs?: number;
  /** Number of peers contacted per gossip round. */
  fanout?: number;
  /** Adds the data of other components to each outgoing digest. */
  extendDigest?: (digest: VersionDigest) => VersionDigest;
  /** Called with each digest received from a peer. */
  onPeerDigest?: (digest: VersionDigest) => void;
  /** Time without any answer of store, peers or agents until the process is isolated, in ms. */
  isolationLimitMs?: number;
}

/**
 * @param options Required settings, and those that differ from the defaults.
 * @returns The complete settings.
 */
export function withDefaults(
  options: ConfigSyncOptions,
): Required<ConfigSyncOptions> {
  return {
    seedAddresses: () => [],
    random: Math.random,
    maxStartMs: DEFAULT_MAX_START_MS,
    startJitterMs: DEFAULT_START_JITTER_MS,
    exchangeIntervalMs: DEFAULT_EXCHANGE_INTERVAL_MS,
    fanout: DEFAULT_FANOUT,
    isolationLimitMs: DEFAULT_ISOLATION_LIMIT_MS,
    extendDigest: (digest) => digest,
    onPeerDigest: () => {},
    ...options,
  };
}
