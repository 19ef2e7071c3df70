/** The claims journal, which ensures that calls that may not be repeated run at most once. */
export {
  type ClaimAnswer,
  type Claimant,
  type ClaimEnd,
  type ClaimRef,
  type ClaimRefusal,
  type ClaimRequest,
  type ClaimSettings,
  type ClaimsJournal,
  type ClaimStatus,
  type ClaimTicket,
  type JournalState,
  NOT_RUN_CAUSES,
  type NotRunCause,
  type ShardState,
} from "./claims_journal.ts";
export {
  digestKey,
  type KeyScope,
  SHARD_COUNT,
  shardOf,
} from "./shard_hash.ts";
export type { StoreClaimsJournalOptions } from "./_options.ts";
export { StoreClaimsJournal } from "./store_claims_journal.ts";
