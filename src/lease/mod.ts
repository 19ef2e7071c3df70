/** Leases with fencing numbers. */
export type { AcquireFailure } from "./_claim.ts";
export {
  FencedLease,
  type FencedLeaseOptions,
  type LeaseCalls,
  type LeaseState,
} from "./fenced_lease.ts";
export {
  encodeNextHolder,
  type LastHolder,
  type LastHolderOptions,
  readJson,
  readLastHolder,
} from "./last_holder.ts";
export { rankProcesses } from "./candidates.ts";
export {
  FencingGate,
  type FloorReader,
  type FloorUnavailable,
} from "./fencing_gate.ts";
