/** State dump of an entry for operators. It contains no prompt, no answer and no API key. */
import type { PlannerState } from "../planner/mod.ts";
import type { EntryParts } from "./entry_parts.ts";
import type { RequestRecord } from "./exchange.ts";

/** State of an entry that is not in its {@link EntryParts}. */
export interface EntryDumpOptions {
  httpAddress: string;
  adminAddress: string;
  /** Requests in flight. */
  records: ReadonlySet<RequestRecord>;
}

const MAX_REQUESTS_SHOWN = 200;

/**
 * @param parts Parts of the entry.
 * @param shown Addresses and requests in flight.
 * @returns The state; can be passed to `JSON.stringify`.
 */
export function describeEntry(parts: EntryParts, shown: EntryDumpOptions) {
  const { options, members, follower, shares } = parts;
  return {
    role: "entry",
    instanceId: options.instanceId,
    zone: options.zone,
    httpAddress: shown.httpAddress,
    peerAddress: parts.listener.address,
    adminAddress: shown.adminAddress,
    list: { revision: members.revision, failure: follower.lastFailure },
    instances: members.instances,
    leaving: members.leavingIds,
    channels: parts.channels.counts,
    placement: parts.policy.dump(),
    config: parts.sync.state(),
    limits: { teams: shares.limiter.state(), divided: shares.ledger.state() },
    planners: parts.planners?.state().map(describePlanner) ?? [],
    requests: describeRequests(shown.records, options.clock.nowMs()),
  };
}

/** Converts the fencing number to a string: it is a bigint, which JSON can't represent. */
function describePlanner({ lease, ...state }: PlannerState) {
  if (!lease) return { ...state, lease };
  const fencingNumber = String(lease.fencingNumber);
  return { ...state, lease: { ...lease, fencingNumber } };
}

function describeRequests(records: ReadonlySet<RequestRecord>, nowMs: number) {
  const shown = [...records].slice(0, MAX_REQUESTS_SHOWN)
    .map(({ arrivedMs, startedMs, firstPieceMs, ...known }) => ({
      ...known,
      ageMs: Math.round(nowMs - arrivedMs),
      isStarted: startedMs !== undefined,
      hasPieces: firstPieceMs !== undefined,
    }));
  return { inFlight: records.size, shown };
}
