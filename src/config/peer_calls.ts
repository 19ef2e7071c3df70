/** Configuration calls to other entries and to agents. */
import type { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  type CallFailure,
  callUnary,
  type ChannelLease,
  type ChannelPool,
  type UnaryMethod,
} from "../wire/mod.ts";
import type {
  Branch,
  FetchBranchesReply,
  VersionDigest,
} from "../wire/gen/cicadahitch.ts";

/** Transport of branches between processes; tests replace the gRPC implementation. */
export interface PeerCalls {
  /** Compares versions with another entry. */
  exchange(
    address: string,
    digest: VersionDigest,
  ): Promise<Result<VersionDigest, CallFailure>>;
  /** Reads branches of another entry; an empty list reads the branches of all teams. */
  fetchFromPeer(
    address: string,
    teams: string[],
  ): Promise<Result<FetchBranchesReply, CallFailure>>;
  /** Reads branches of an agent; an empty list reads the branches of all teams. */
  fetchFromAgent(
    address: string,
    teams: string[],
  ): Promise<Result<FetchBranchesReply, CallFailure>>;
  /** Sends branches to an agent. The answer lists its versions of at least these teams. */
  pushToAgent(
    address: string,
    branches: Branch[],
  ): Promise<Result<VersionDigest, CallFailure>>;
}

/** Settings of {@link GrpcPeerCalls}. */
export interface GrpcPeerCallsOptions {
  channels: ChannelPool;
  clock: Clock;
  /** Timeout of a call, in ms. */
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 1000;

/** Implements {@link PeerCalls} over gRPC. */
export class GrpcPeerCalls implements PeerCalls {
  readonly #channels: ChannelPool;
  readonly #timeoutMs: number;

  private constructor(options: GrpcPeerCallsOptions) {
    this.#channels = options.channels;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /**
   * @param options The channels and the timeout.
   * @returns Peer calls over these channels.
   */
  static create(options: GrpcPeerCallsOptions): GrpcPeerCalls {
    return new GrpcPeerCalls(options);
  }

  exchange(
    address: string,
    digest: VersionDigest,
  ): Promise<Result<VersionDigest, CallFailure>> {
    return this.#call(address, digest, ({ peer }) => peer.exchange.bind(peer));
  }

  fetchFromPeer(
    address: string,
    teams: string[],
  ): Promise<Result<FetchBranchesReply, CallFailure>> {
    return this.#call(
      address,
      { teams },
      ({ peer }) => peer.fetchBranches.bind(peer),
    );
  }

  fetchFromAgent(
    address: string,
    teams: string[],
  ): Promise<Result<FetchBranchesReply, CallFailure>> {
    return this.#call(
      address,
      { teams },
      ({ agent }) => agent.fetchBranches.bind(agent),
    );
  }

  pushToAgent(
    address: string,
    branches: Branch[],
  ): Promise<Result<VersionDigest, CallFailure>> {
    return this.#call(
      address,
      { branches },
      ({ agent }) => agent.pushBranches.bind(agent),
    );
  }

  /** Calls once, without retries. A timeout replaces the connection for later calls. */
  async #call<Q, A>(
    address: string,
    request: Q,
    method: (lease: ChannelLease) => UnaryMethod<Q, A>,
  ): Promise<Result<A, CallFailure>> {
    let lease = this.#channels.acquire(address);
    const options = { timeoutMs: this.#timeoutMs };
    const answer = await callUnary(method(lease), request, options);
    if (answer.isErr && answer.error.kind === "timeout") {
      lease = this.#channels.replace(lease);
    }
    lease.release();
    return answer;
  }
}
