/** Configuration: the schema of team branches, the set of known branches, and synchronization. */
export {
  BRANCH_FORMAT,
  type BranchProblem,
  type InvalidBranch,
  parseBranch,
  type PriorityName,
  TEAM_BRANCH,
  TEAM_NAME,
  type TeamBranch,
} from "./branch.ts";
export {
  type ApplyFailure,
  type BranchListener,
  type BranchRecord,
  BranchSet,
  type UnappliedBranch,
} from "./branch_set.ts";
export { selectBranches } from "./gossip.ts";
export { type PeerRecord, PeerTable as PeerBook } from "./peer_table.ts";
export {
  GrpcPeerCalls,
  type GrpcPeerCallsOptions,
  type PeerCalls,
} from "./peer_calls.ts";
export { createPeerService, type PeerServiceOptions } from "./peer_service.ts";
export {
  decodeStored,
  encodeBranch,
  encodeStored,
  headKey,
  historyKey,
  historyPrefix,
  isHeadKey,
  MAX_STORED_BYTES,
  type StoredBranch,
  teamKey,
  teamOfKey,
  TEAMS_PREFIX,
  type UnreadableValue,
  type WriteMetadata,
} from "./stored_branch.ts";
export { ConfigSync, type ReadyOutcome } from "./sync.ts";
export type { ConfigSyncOptions } from "./sync_options.ts";
export type { ConfigSyncState, PeerState } from "./sync_state.ts";
