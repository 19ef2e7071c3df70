/** Flows: the requests of one service with the same priority and workspace. */

/** Identifies a flow within its service. */
export interface FlowId {
  /** Rank of the requests, 0 first. */
  priority: number;
  /** Name of the workspace; empty for requests without one, and for a sum of several workspaces. */
  workspace: string;
}

/** Work of a flow, in units of room. */
export interface FlowDemand extends FlowId {
  units: number;
}

/**
 * @param flow A flow.
 * @returns Key of the flow within its service.
 */
export function flowKey({ priority, workspace }: FlowId): string {
  return `${priority}/${workspace}`;
}
