/**
 * Comparing versions with other entries and fetching what is newer there. The store's watch is the
 * main way of a change; this covers lost watches, an unreachable store, and a process that wakes.
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
import { PeerBook } from "./peer_book.ts";
import type { PeerCalls } from "./peer_calls.ts";

/** Settings of {@link Gossip}. */
export interface GossipOptions {
  /** Changes with each start of the process. */
  processId: string;
  /** This process's own peer address, as the others know it. */
  address: () => string;
  branches: BranchSet;
  freshness: Freshness;
  peers: PeerCalls;
  clock: Clock;
  log: Logger;
  /** Adds to each digest what other parts of the process have to say. */
  extend: (digest: VersionDigest) => VersionDigest;
  /** Is given each digest of a peer. */
  hear: (digest: VersionDigest) => void;
}

/** What an exchange came to. */
export interface ExchangeOutcome {
  /** The peer gave something: branches, or that it holds the same, non-empty set. */
  informed: boolean;
  /** Branches that came into force. */
  appliedCount: number;
}

type Fetch = (
  teams: string[],
) => Promise<Result<FetchBranchesReply, CallFailure>>;

/** Teams asked for in one call. */
const FETCH_BATCH = 64;

/** Exchanges versions with peers. */
export class Gossip {
  readonly book: PeerBook;
  readonly #options: GossipOptions;

  private constructor(options: GossipOptions) {
    this.#options = options;
    this.book = PeerBook.create(options.branches);
  }

  /**
   * @param options Own identity, branches and calls.
   * @returns Gossip that waits for {@link exchangeWith}.
   */
  static create(options: GossipOptions): Gossip {
    return new Gossip(options);
  }

  /** @returns What this process holds, without the list of versions. */
  digest(): VersionDigest {
    const { branches, freshness, processId, address, extend } = this.#options;
    return extend({
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
   * @param asked The peer's digest.
   * @returns Own digest, with versions above the peer's revision where the hashes differ.
   */
  answer(asked: VersionDigest): VersionDigest {
    const { branches, clock } = this.#options;
    this.#note(asked, clock.nowMs());
    const digest = this.digest();
    if (asked.hash === digest.hash) return digest;
    return { ...digest, versions: branches.versions(asked.revision) };
  }

  /**
   * Compares versions with a peer and takes over what is newer there.
   *
   * @param address The peer.
   * @returns What came of it, or why the peer gave no answer.
   */
  async exchangeWith(
    address: string,
  ): Promise<Result<ExchangeOutcome, CallFailure>> {
    const { branches, freshness, processId } = this.#options;
    const before = branches.changes;
    const first = await this.#ask(address, this.digest());
    if (first.isErr) return Result.err(first.error);
    // A list may show this process under another address; it is no peer of its own.
    if (first.value.digest.processId === processId) {
      return Result.ok({ informed: false, appliedCount: 0 });
    }
    freshness.noteContact();
    if (!this.#agrees(first.value)) {
      await this.#catchUp(address, first.value);
    }
    const appliedCount = branches.changes - before;
    const informed = appliedCount > 0 || first.value.digest.revision > 0n;
    return Result.ok({ informed, appliedCount });
  }

  /**
   * Fetches those of the listed versions that are newer than what is held.
   *
   * @param versions Versions that the other side says to have.
   * @param fetch Reads branches there.
   * @returns Whether all that was newer has arrived.
   */
  async fetchNewer(versions: BranchVersion[], fetch: Fetch): Promise<boolean> {
    const { branches } = this.#options;
    const lacking = () =>
      versions.filter(({ team, revision }) =>
        revision > branches.knownTo(team)
      );
    const wanted = lacking().map(({ team }) => team);
    for (let from = 0; from < wanted.length; from += FETCH_BATCH) {
      const reply = await fetch(wanted.slice(from, from + FETCH_BATCH));
      if (reply.isErr) return false;
      this.take(reply.value.branches);
    }
    return lacking().length === 0;
  }

  /**
   * Takes branches into force where they are newer.
   *
   * @param received Branches of another process.
   * @returns How many came into force.
   */
  take(received: Branch[]): number {
    const { branches, log } = this.#options;
    const before = branches.changes;
    for (const { team, revision, json } of received) {
      const applied = branches.apply({ team, revision, json });
      if (applied.isOk || applied.error.kind === "older") continue;
      const failure = applied.error;
      log.error({ team, revision: String(revision), failure }, "branch unread");
    }
    return branches.changes - before;
  }

  async #ask(
    address: string,
    digest: VersionDigest,
  ): Promise<Result<PeerAnswer, CallFailure>> {
    const { peers, clock } = this.#options;
    const askedAtMs = clock.nowMs();
    const reply = await peers.exchange(address, digest);
    return reply.map((digest) => {
      this.#note({ ...digest, address }, clock.nowMs());
      return { digest, askedAtMs };
    });
  }

  /** Fetches what is newer; when hashes differ still, asks for the whole list. */
  async #catchUp(address: string, answer: PeerAnswer): Promise<void> {
    const { branches, peers } = this.#options;
    const fetch: Fetch = (teams) => peers.fetchFromPeer(address, teams);
    await this.fetchNewer(answer.digest.versions, fetch);
    if (this.#agrees(answer)) return;
    if (answer.digest.revision <= branches.completeTo) return;
    const question = { ...this.digest(), revision: 0n };
    const second = await this.#ask(address, question);
    if (second.isErr || this.#agrees(second.value)) return;
    const list = second.value.digest;
    // Nothing is listed for a question with the same hash, whatever changed here since.
    if (list.hash === question.hash) return;
    if (!await this.fetchNewer(list.versions, fetch)) return;
    const listed = new Set(list.versions.map(({ team }) => team));
    branches.deleteUnlisted(listed, list.revision);
    this.#adopt(second.value);
  }

  /** When both hold the same, each is as complete and as fresh as the other. */
  #agrees(answer: PeerAnswer): boolean {
    if (answer.digest.hash !== this.#options.branches.hash) return false;
    this.#adopt(answer);
    return true;
  }

  #adopt({ digest, askedAtMs }: PeerAnswer): void {
    const { branches, freshness } = this.#options;
    branches.completeUpTo(digest.revision);
    freshness.adopt(digest.confirmedAgeMs, askedAtMs);
  }

  #note(digest: VersionDigest, nowMs: number): void {
    const isPeer = digest.processId !== this.#options.processId;
    if (isPeer) this.#options.hear(digest);
    if (isPeer && digest.address !== "") this.book.note(digest, nowMs);
  }
}

/** A peer's digest, and when it was asked for. */
interface PeerAnswer {
  digest: VersionDigest;
  askedAtMs: number;
}

/**
 * Answers a request for branches, on entries and agents alike.
 *
 * @param branches What is held.
 * @param request Which teams; none: all.
 * @returns The branches, deleted ones included.
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
