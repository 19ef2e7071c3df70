/** Handlers of the gRPC service `Peer`, which entries call on each other. */
import type { PeerServer, VersionDigest } from "../wire/gen/cicadahitch.ts";
import type { BranchSet } from "./branch_set.ts";
import { selectBranches } from "./gossip.ts";
import type { ConfigSync } from "./sync.ts";

/** Dependencies of the handlers. */
export interface PeerServiceOptions {
  sync: ConfigSync;
  branches: BranchSet;
  /** Returns the complete state of the process as JSON. */
  dumpState: () => string;
  /** Adds the data of other components to the answer of an exchange. */
  extendAnswer?: (
    request: VersionDigest,
    answer: VersionDigest,
  ) => VersionDigest;
}

/**
 * @param options The components that answer the calls.
 * @returns Handlers for `GrpcListener.addService(PeerService, …)`.
 */
export function createPeerService(options: PeerServiceOptions): PeerServer {
  const { sync, branches, dumpState } = options;
  const extendReply = options.extendAnswer ?? ((_request, answer) => answer);
  return {
    exchange: ({ request }, reply) => {
      reply(null, extendReply(request, sync.answer(request)));
    },
    fetchBranches: ({ request }, reply) => {
      reply(null, selectBranches(branches, request));
    },
    dumpState: (_call, reply) => {
      reply(null, { json: dumpState() });
    },
  };
}
