/** The platform's lagging list of instances. The adapter is `http_instance_list.ts`. */
import type { Result } from "true-myth/result";

/** Roles an instance can have in the list. */
export const InstanceRole = { Entry: "entry", Agent: "agent" } as const;
/** One of {@link InstanceRole}. */
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];

/** States an instance can have in the list. */
export const InstanceState = {
  Live: "live",
  Leaving: "leaving",
  Gone: "gone",
} as const;
/** One of {@link InstanceState}. */
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** One row of the list. */
export interface Instance {
  id: string;
  role: InstanceRole;
  zone: string;
  /** `ip:port` of the process's gRPC listener. */
  address: string;
  /** Pool that the backend server belongs to; empty for entries. */
  pool: string;
  state: InstanceState;
}

/** The list, or what changed in it since the revision that was asked for. */
export interface InstanceChanges {
  revision: number;
  /** True: `instances` is the whole list. */
  full: boolean;
  instances: Instance[];
}

/** Why the list could not be read. */
export type InstanceListFailure = { kind: "unavailable"; message: string };

/** Query of the list of instances. */
export interface InstanceList {
  /** Changes after `sinceRevision` (0: the whole list); waits up to `waitMs` when there are none. */
  changes(
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<InstanceChanges, InstanceListFailure>>;
  close(): void;
}
