/** Limits of teams and workspaces that all entries enforce together. */
export { floorShare, type Limits } from "./_division.ts";
export { type RateLimit, SharedBucket } from "./shared_bucket.ts";
export {
  type BucketRow,
  type BucketState,
  type BucketVerdict,
  SharedBuckets,
} from "./shared_buckets.ts";
export {
  ShareExchange,
  type ShareFailure,
  type SharePorts,
} from "./share_exchange.ts";
export {
  type LedgerState,
  ShareLedger,
  type ShareLedgerOptions,
} from "./share_ledger.ts";
export {
  type Admission,
  type AdmitVerdict,
  type RefusalReason,
  TeamLimiter,
  type TeamLimiterOptions,
} from "./team_limiter.ts";
export { TokenBucket, type TokenBucketOptions } from "./token_bucket.ts";
