/** Types of the capacity model: a line of the page and the table of measured slopes. */
/** Component that consumes a resource. */
export const Role = {
  Entry: "entry",
  Agent: "agent",
  Store: "key-value service",
} as const;
/** One of {@link Role}. */
export type Role = (typeof Role)[keyof typeof Role];

/** Resource, written as its unit. */
export const Resource = {
  Processor: "% of a core",
  Memory: "MB",
  Network: "KB/s",
  Writes: "writes/s",
  Reads: "reads/s",
} as const;
/** One of {@link Resource}. */
export type Resource = (typeof Resource)[keyof typeof Resource];

/** Estimated use of one resource by one part of a role. */
export interface CapacityLine {
  role: Role;
  resource: Resource;
  what: string;
  mechanism: string;
  amount: number;
  /** Names of the slopes that the amount is computed from. */
  slopes: string[];
}

/** Computes costs from measured slopes, looked up by name. */
export interface SlopeTable {
  /** Cost of `x` units: slope times `x`, without the intercept. */
  cost(name: string, x: number): number;
  /** Cost of `x` units: intercept plus slope times `x`. */
  costWithIntercept(name: string, x: number): number;
  /** Measured value at `x`. */
  valueAt(name: string, x: number): number;
}
