/** Scheduling of requests by priority and workspace where demand exceeds the room of a service. */
export { type HeldRequests, type PriorityCounts } from "./admission_queue.ts";
export {
  AdmissionQueue,
  type AdmissionQueueOptions,
} from "./admission_queue.ts";
export {
  DEMAND_TTL_MS,
  type DemandRow,
  demandRows,
  DemandTable,
  MAX_FLOW_ROWS,
} from "./demand_table.ts";
export {
  divideRoom,
  type Division,
  type FlowShare,
  type RoomDemand,
} from "./divide_room.ts";
export { type FlowDemand, type FlowId, flowKey } from "./flow.ts";
export {
  ServiceScheduler,
  type ServiceSchedulerOptions,
  type ServiceScheduleState,
} from "./service_scheduler.ts";
export {
  type Offer,
  type OfferedRequest,
  type Permit,
  RefusedBecause,
  type Settlement,
  Ticket,
} from "./ticket.ts";
