/**
 * Gossip between entries: a process compares version digests with its peers and fetches newer
 * branches. Changes normally arrive by the store's watch; gossip covers broken watches, an
 * unreachable store, and processes that resume after a pause.
 */
import { Result } from "true-myth";
import type { Clock, Logger } from "../base/mod.ts";
import type { CallFailure } from "../wire/mod.ts";
import type {
  Branch,
  BranchVersion,
  FetchBranchesReply,
  FetchBranchesRequest,
  VersionDigest,
} from "../wire/gen/cicadahitch.ts";
import type { BranchSet } from "./branch_set.ts";
import type { Freshness } from "./freshness.ts";
import { PeerTable } from "./peer_table.ts";
import type { PeerCalls } from "./peer_calls.ts";

/** Settings of {@link Gossip}. */
export interface GossipOptions {
  /** Identifies this run of the process; differs after a restart. */
  processId: string;
  /** Returns this process's own peer address, as other entries reach it. */
  address: () => string;
  branches: BranchSet;
  freshness: Freshness;
  peers: PeerCalls;
  clock: Clock;
  log: Logger;
  /** Adds the data of other components to each outgoing digest. */
  extendDigest: (digest: VersionDigest) => VersionDigest;
  /** Called with each digest received from a peer. */
  onPeerDigest: (digest: VersionDigest) => void;
}

/** Result of an exchange with a peer. */
export interface ExchangeOutcome {
  /** Whether branches were applied, or the peer's set is complete up to some store revision. */
  hasConfig: boolean;
  /** Number of branch changes that were applied. */
  appliedCount: number;
}

type FetchBranches = (
  teams: string[],
) => Promise<Result<FetchBranchesReply, CallFailure>>;

/** Maximum number of teams per fetch call. */
const FETCH_BATCH_SIZE = 64;

/** Exchanges version digests with peers and fetches newer branches from them. */
export class Gossip {
  readonly peerTable: PeerTable;
  readonly #options: GossipOptions;

  private constructor(options: GossipOptions) {
    this.#options = options;
    this.peerTable = PeerTable.create(options.branches);
  }

  /**
   * @param options The process's identity, its branches, and the calls to peers.
   * @returns An instance that calls peers only in {@link exchangeWith}.
   */
  static create(options: GossipOptions): Gossip {
    return new Gossip(options);
  }

  /** @returns A digest of the local branches, without the list of versions. */
  digest(): VersionDigest {
    const { branches, freshness, processId, address, extendDigest } =
      this.#options;
    return extendDigest({
      processId,
      address: address(),
      versions: [],
      revision: branches.completeTo,
      confirmedAgeMs: freshness.confirmedAgeMs,
      hash: branches.hash,
      unreadCount: branches.unreadCount,
    });
  }

  /**
   * Answers a peer's digest.
   *
   * @param peerDigest The peer's digest.
   * @returns The local digest; if the hashes differ, with all versions above the peer's revision.
   */
  answer(peerDigest: VersionDigest): VersionDigest {
    const { branches, clock } = this.#options;
    this.#recordPeerDigest(peerDigest, clock.nowMs());
    const digest = this.digest();
    if (peerDigest.hash === digest.hash) return digest;
    return { ...digest, versions: branches.versions(peerDigest.revision) };
  }

  /**
   * Compares versions with a peer and fetches the peer's newer branches.
   *
   * @param address The peer's address.
   * @returns The result of the exchange, or why the call failed.
   */
  async exchangeWith(
    address: string,
  ): Promise<Result<ExchangeOutcome, CallFailure>> {
    const { branches, freshness, processId } = this.#options;
    const changesBefore = branches.changes;
    const firstReply = await this.#sendDigest(address, this.digest());
    if (firstReply.isErr) return Result.err(firstReply.error);
    // The list of peers may contain this process under another address.
    if (firstReply.value.digest.processId === processId) {
      return Result.ok({ hasConfig: false, appliedCount: 0 });
    }
    freshness.recordContact();
    if (!this.#confirmIfEqual(firstReply.value)) {
      await this.#fetchMissing(address, firstReply.value);
    }
    const appliedCount = branches.changes - changesBefore;
    const hasConfig = appliedCount > 0 ||
      firstReply.value.digest.revision > 0n;
    return Result.ok({ hasConfig, appliedCount });
  }

  /**
   * Fetches the listed versions that are newer than the local ones.
   *
   * @param versions Versions that the remote process reports.
   * @param fetch Reads branches from the remote process.
   * @returns Whether all newer versions were received.
   */
  async fetchNewer(
    versions: BranchVersion[],
    fetch: FetchBranches,
  ): Promise<boolean> {
    const { branches } = this.#options;
    const missing = () =>
      versions.filter(({ team, revision }) =>
        revision > branches.latestKnownRevision(team)
      );
    const wanted = missing().map(({ team }) => team);
    for (let start = 0; start < wanted.length; start += FETCH_BATCH_SIZE) {
      const reply = await fetch(wanted.slice(start, start + FETCH_BATCH_SIZE));
      if (reply.isErr) return false;
      this.applyReceived(reply.value.branches);
    }
    return missing().length === 0;
  }

  /**
   * Applies those of the received branches that are newer than the local ones.
   *
   * @param received Branches from another process.
   * @returns The number of changes applied.
   */
  applyReceived(received: Branch[]): number {
    const { branches, log } = this.#options;
    const changesBefore = branches.changes;
    for (const { team, revision, json } of received) {
      const applied = branches.apply({ team, revision, json });
      if (applied.isOk || applied.error.kind === "older") continue;
      const failure = applied.error;
      log.error(
        { team, revision: String(revision), failure },
        "cannot read branch; its last readable version stays in effect",
      );
    }
    return branches.changes - changesBefore;
  }

  async #sendDigest(
    address: string,
    digest: VersionDigest,
  ): Promise<Result<PeerReply, CallFailure>> {
    const { peers, clock } = this.#options;
    const askedAtMs = clock.nowMs();
    const reply = await peers.exchange(address, digest);
    return reply.map((digest) => {
      this.#recordPeerDigest({ ...digest, address }, clock.nowMs());
      return { digest, askedAtMs };
    });
  }

  /**
   * Fetches the versions that the peer listed. If the hashes still differ and the peer's set is
   * complete up to a higher revision, requests all of its versions and deletes the teams that are
   * missing from that list.
   */
  async #fetchMissing(address: string, answer: PeerReply): Promise<void> {
    const { branches, peers } = this.#options;
    const fetch: FetchBranches = (teams) => peers.fetchFromPeer(address, teams);
    await this.fetchNewer(answer.digest.versions, fetch);
    if (this.#confirmIfEqual(answer)) return;
    if (answer.digest.revision <= branches.completeTo) return;
    const fullRequest = { ...this.digest(), revision: 0n };
    const fullReply = await this.#sendDigest(address, fullRequest);
    if (fullReply.isErr || this.#confirmIfEqual(fullReply.value)) return;
    const fullDigest = fullReply.value.digest;
    // A peer whose hash equals that of the request lists no versions. The local set may have
    // changed in the meantime, but the empty list must not delete teams.
    if (fullDigest.hash === fullRequest.hash) return;
    if (!await this.fetchNewer(fullDigest.versions, fetch)) return;
    const listed = new Set(fullDigest.versions.map(({ team }) => team));
    branches.deleteUnlisted(listed, fullDigest.revision);
    this.#adoptPeerState(fullReply.value);
  }

  /**
   * Compares the peer's hash with the local one. Equal sets share the higher complete revision and
   * the latest confirmation, so these are adopted from the peer.
   */
  #confirmIfEqual(answer: PeerReply): boolean {
    if (answer.digest.hash !== this.#options.branches.hash) return false;
    this.#adoptPeerState(answer);
    return true;
  }

  #adoptPeerState({ digest, askedAtMs }: PeerReply): void {
    const { branches, freshness } = this.#options;
    branches.markCompleteTo(digest.revision);
    freshness.recordPeerConfirmation(digest.confirmedAgeMs, askedAtMs);
  }

  #recordPeerDigest(digest: VersionDigest, nowMs: number): void {
    const isPeer = digest.processId !== this.#options.processId;
    if (isPeer) this.#options.onPeerDigest(digest);
    if (isPeer && digest.address !== "") this.peerTable.update(digest, nowMs);
  }
}

/** A peer's digest and the time at which it was requested. */
interface PeerReply {
  digest: VersionDigest;
  askedAtMs: number;
}

/**
 * Answers a request for branches; used by entries and agents.
 *
 * @param branches The local branches.
 * @param request The requested teams; an empty list requests all teams.
 * @returns The requested branches, including those of deleted teams.
 */
export function selectBranches(
  branches: BranchSet,
  request: FetchBranchesRequest,
): FetchBranchesReply {
  const wanted = new Set(request.teams);
  const selected = branches.all().filter(({ team }) =>
    wanted.size === 0 || wanted.has(team)
  );
  return {
    branches: selected.map(({ team, revision, json }) => ({
      team,
      revision,
      json: Buffer.from(json),
    })),
  };
}
