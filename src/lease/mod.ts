/** Leases with fencing numbers. */
export {
  type AcquireFailure,
  FencedLease,
  type FencedLeaseOptions,
  type LastHolder,
  type LeaseCalls,
  type LeaseState,
  readHolderId,
} from "./fenced_lease.ts";
export { rankProcesses } from "./candidates.ts";
export {
  FencingGate,
  type FloorReader,
  type UnknownNumber,
} from "./fencing_gate.ts";
