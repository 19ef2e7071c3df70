/** Planned size of the system, from the users' two-year plan, and the resource budgets. */

import { DEFAULT_TUNING } from "../entry/tuning.ts";

/** Counts and rates from the users' plan. */
export const PLAN = {
  entries: 360,
  workers: 12_000,
  accelerators: 24_000,
  requestsPerSecond: 9_800,
  tokensPerSecond: 4_200_000,
  cachedBlocks: 1_100_000_000,
  cacheEventsPerSecond: 1_100_000,
  workspaces: 2_600,
  models: 38,
  regions: 5,
  zones: 17,
  configChangesPerDay: 7_300,
  failuresPerDay: 110,
  restartsPerDay: 2_600,
} as const;

/** Limits for the control processes of a node and for calls to the platform's key-value service. */
export const BUDGET = {
  controlCorePercent: 1,
  controlMemoryMb: 64,
  controlBytesPerSecond: 23_000,
  configInForceMs: 4_000,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2_000,
} as const;

/**
 * Assumptions about values that the plan does not give. docs/CAPACITY.md lists them all, so that
 * readers can challenge them.
 */
export const ASSUMPTIONS = {
  /** `Ask` calls per request. */
  asksPerRequest: 3,
  /** Share of requests with an idempotency key or with a call that must not be repeated. */
  atMostOnceShare: 0.05,
  /** Mean prompt size, in KB of UTF-8. */
  promptKb: 16,
  /** Mean stored size of a team's configuration branch, in KB. */
  branchKb: 6,
  /** Mean workspaces per team: the planned 2,600 workspaces give 325 branches. */
  workspacesPerTeam: 8,
  /** Members in an entry's list of instances: the workers of its own region. */
  membersPerEntry: 12_000 / 5,
  /** Idle timeout of a connection to an agent, in s. */
  connectionIdleS: DEFAULT_TUNING.channelIdleMs / 1000,
  /** Maximum number of open connections from an entry to agents. */
  connectionLimit: DEFAULT_TUNING.maxChannels,
  /** Maximum number of hints in an entry's table. */
  hintLimit: 8_192,
  /** Digest exchanges per second that a node starts with its peers; it answers as many. */
  exchangesPerSecond: 2,
  /** Size of one row of the list of instances, in bytes. */
  instanceRowBytes: 150,
  /** Agents of plain services whose calls must not be repeated; each owns journal shards. */
  journalOwners: 200,
  /** Maximum commits per second of one owner's journal, from `journal_commits`. */
  commitsPerOwner: 39,
  /** Number of teams that send requests to one agent. */
  teamsPerAgent: 20,
  /** Journal shards per owner. */
  shardsPerOwner: 2,
  /** Pools with a model planner, each elected by a lease. */
  pools: 60,
  /** Renewals of one lease per minute. */
  leaseRenewalsPerMinute: 12,
} as const;

const DAY_S = 86_400;

/** @returns Configuration changes per second. */
export function configChangesPerSecond(): number {
  return PLAN.configChangesPerDay / DAY_S;
}

/** @returns Instances that start or stop per second. */
export function instanceChangesPerSecond(): number {
  return (PLAN.failuresPerDay + PLAN.restartsPerDay) * 2 / DAY_S;
}
