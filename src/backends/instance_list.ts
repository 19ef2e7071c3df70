/** Interface of the platform's instance list, which may be stale; see `http_instance_list.ts`. */
import type { Result } from "true-myth/result";

/** Roles of instances. */
export const InstanceRole = { Entry: "entry", Agent: "agent" } as const;
/** One of {@link InstanceRole}. */
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** States of instances. */
export const InstanceState = {
  Live: "live",
  Leaving: "leaving",
  Gone: "gone",
} as const;
/** One of {@link InstanceState}. */
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** An instance in the list. */
export interface Instance {
  id: string;
  role: InstanceRole;
  zone: string;
  /** `ip:port` of the process's gRPC listener. */
  address: string;
  /** Pool of the agent's backend server; empty for entries. */
  pool: string;
  state: InstanceState;
}

/** The whole list, or the instances that changed since the requested revision. */
export interface InstanceChanges {
  revision: number;
  /** True if `instances` is the whole list. */
  full: boolean;
  instances: Instance[];
}

/** Reason why the list could not be read. */
export type InstanceListFailure = { kind: "unavailable"; message: string };

/** The platform's instance list. */
export interface InstanceList {
  /**
   * Returns the changes after `sinceRevision`, or the whole list for 0. If there are none, waits up
   * to `waitMs` for a change.
   */
  changes(
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<InstanceChanges, InstanceListFailure>>;
  close(): void;
}
