/** Settings of the spread of configuration, and their defaults. */
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
  /** The process's id; each start is told apart by a suffix of its own. */
  processId: string;
  /** Own peer address, as others reach it; called late, since a port may be chosen on start. */
  address: () => string;
  /** Undefined: no key-value service is configured. */
  store: KeyValueStore | undefined;
  branches: BranchSet;
  peers: PeerCalls;
  /** Peer addresses of the other entries, as now known. */
  peerAddresses: () => string[];
  /** Entries and agents to ask on start. */
  seedAddresses?: () => string[];
  lifecycle: Lifecycle;
  log: Logger;
  clock: Clock;
  /** Returns 0 to 1; for jitter and the choice of peers. */
  random?: () => number;
  /** `ready` resolves after this long, whoever answered, in ms. */
  maxStartMs?: number;
  /** Upper bound of the wait before the first call to the store, in ms. */
  startJitterMs?: number;
  /** Mean time between rounds of exchanges, in ms. */
  exchangeIntervalMs?: number;
  /** Peers asked in a round. */
  fanout?: number;
  /** Adds to what peers are told what other parts of the process have to say. */
  extend?: (digest: VersionDigest) => VersionDigest;
  /** Is given what peers tell. */
  hear?: (digest: VersionDigest) => void;
  /** Without an answer from store, peer or agent for this long, the process is isolated, in ms. */
  isolationLimitMs?: number;
}

/**
 * @param options What differs from the defaults.
 * @returns All settings.
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
    extend: (digest) => digest,
    hear: () => {},
    ...options,
  };
}
