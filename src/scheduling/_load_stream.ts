/** Load of a simulated service, and what became of it. */

/** Requests of one kind. */
export interface LoadStream {
  priority: number;
  workspace: string;
  /** Rate, as a share of the service's capacity. */
  load: number;
  /** Time that its callers have; absent: that of the service's route. */
  deadlineMs?: number;
}

/** What became of the requests of a stream. */
export interface StreamResult {
  requests: number;
  served: number;
  inTime: number;
  refusals: number;
  /** Refusals after a wait. */
  waitedRefusals: number;
  /** Refusals with less time left than an answer takes. */
  lateRefusals: number;
}

/** Result of a stream without requests. */
export const NO_REQUESTS: StreamResult = {
  requests: 0,
  served: 0,
  inTime: 0,
  refusals: 0,
  waitedRefusals: 0,
  lateRefusals: 0,
};

/** Shares of the servers' time. */
export interface SpentShares {
  /** Spent on answers before their deadlines. */
  servedShare: number;
  /** Spent on answers within their target. */
  inTimeShare: number;
}
