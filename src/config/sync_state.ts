/** Configuration synchronization as shown in state dumps, without API keys. */
import type { BranchSet } from "./branch_set.ts";
import type { Freshness } from "./freshness.ts";
import type { PeerTable } from "./peer_table.ts";
import type { FollowerCounters, StoreFollower } from "./store_follower.ts";

/** State of a {@link ConfigSync}. */
export interface ConfigSyncState {
  /** Store revision up to which all writes are known. */
  completeTo: string;
  confirmedAgeMs: number;
  /** Time since the store, a peer or an agent last answered; undefined if none ever did. */
  contactAgeMs: number | undefined;
  isolated: boolean;
  storeFailing: boolean;
  storeCalls: FollowerCounters | undefined;
  /** Revision by team, including deleted teams. */
  versions: Record<string, string>;
  /** Teams whose newest known version this process can't read. */
  unreadTeams: string[];
  peers: PeerState[];
}

/** State of a peer, as last reported by the peer. */
export interface PeerState {
  processId: string;
  address: string;
  completeTo: string;
  seenAgeMs: number;
}

/** Components whose state {@link describeState} reads. */
export interface StateSources {
  branches: BranchSet;
  freshness: Freshness;
  peerTable: PeerTable;
  follower: StoreFollower | undefined;
  isolated: boolean;
  nowMs: number;
}

/**
 * @param sources Components of a {@link ConfigSync}.
 * @returns Their combined state.
 */
export function describeState(sources: StateSources): ConfigSyncState {
  const { branches, freshness, peerTable, follower, isolated, nowMs } = sources;
  const { contactAgeMs, confirmedAgeMs } = freshness;
  return {
    completeTo: String(branches.completeTo),
    confirmedAgeMs,
    contactAgeMs: Number.isFinite(contactAgeMs) ? contactAgeMs : undefined,
    isolated,
    storeFailing: follower?.failing ?? false,
    storeCalls: follower?.counters,
    versions: Object.fromEntries(
      branches.versions().map(({ team, revision }) => [team, `${revision}`]),
    ),
    unreadTeams: branches.all().filter(({ readError }) => readError)
      .map(({ team }) => team),
    peers: peerTable.all().map((peer) => ({
      processId: peer.processId,
      address: peer.address,
      completeTo: String(peer.completeTo),
      seenAgeMs: nowMs - peer.seenAtMs,
    })),
  };
}
