/**
 * Schema of a team's branch of the settings tree. Validation covers the whole branch and reports
 * all errors at once.
 */
import { Result } from "true-myth";
import { z } from "zod";

/** Branch format that this version of the software reads and writes. */
export const BRANCH_FORMAT = 1;

const NAME = z.string().regex(/^[a-z0-9][a-z0-9_-]{0,62}$/, {
  error:
    "Expected 1 to 63 of a-z, 0-9, - and _, starting with a letter or digit",
});
/** Syntax of team names; names within a branch, such as pools and workspaces, share it. */
export const TEAM_NAME = NAME;
const MODEL_NAME = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$/, {
  error: "Expected a model name of 1 to 127 letters, digits and . _ : / -",
});
const PRIORITY = z.enum(["urgent", "normal", "batch"]);
const DURATION_MS = z.int().min(1).max(3_600_000);

const MODEL = z.strictObject({
  pool: NAME,
  weightsVersion: z.string().min(1).max(64),
  adapters: z.record(
    NAME,
    z.strictObject({ weightsVersion: z.string().min(1).max(64) }),
  )
    .default({}),
  minReplicas: z.int().min(0).max(10_000).default(1),
});

const POOL = z.strictObject({
  kind: z.enum(["engine", "service"]),
  /**
   * `enforced`: the backend servers reject old fencing numbers. `ignored`: they don't check them,
   * so only the agent rejects stale calls.
   */
  fencing: z.enum(["enforced", "ignored"]),
});

const SERVICE = z.strictObject({
  pool: NAME,
  timeoutMs: DURATION_MS.default(10_000),
  /** Calls that are safe to repeat; all other calls run at most once. */
  repeatable: z.array(z.strictObject({
    method: z.enum([
      "GET",
      "HEAD",
      "PUT",
      "DELETE",
      "POST",
      "PATCH",
      "OPTIONS",
    ]),
    pathPrefix: z.string().startsWith("/"),
  })).default([]),
  /**
   * How at-most-once calls are handled while the claims journal can't be written: `refuse` rejects
   * them, `memory` records their claims in memory only.
   */
  whenStoreDown: z.enum(["refuse", "memory"]).default("refuse"),
  /** How long a repeated idempotency key is recognised as a duplicate. */
  retryWindowMs: DURATION_MS.default(600_000),
});

const CLASS = z.strictObject({
  priority: PRIORITY,
  deadlineMs: DURATION_MS,
  /**
   * Cost of recomputing one token, expressed in ms of queueing delay. At 0, unnecessary prefill
   * increases tail latency.
   */
  recomputePriceMs: z.number().min(0).max(1000).default(0.3),
});

const WORKSPACE = z.strictObject({
  keys: z.array(z.strictObject({
    id: NAME,
    /** SHA-256 of the complete bearer key, in hex. */
    sha256: z.string().regex(/^[0-9a-f]{64}$/, {
      error: "Expected 64 hex digits",
    }),
  })).default([]),
  defaultClass: NAME,
});

const LIMITS = z.strictObject({
  maxInFlight: z.int().min(1).max(1_000_000).default(1000),
  tokensPerSecond: z.int().min(1).max(100_000_000).default(1_000_000),
  maxBodyBytes: z.int().min(1024).max(64 * 1024 * 1024).default(
    4 * 1024 * 1024,
  ),
  /** Retry budget: retries allowed, as a fraction of first attempts. */
  retryShare: z.number().min(0).max(1).default(0.1),
});

/** Schema of a complete branch; unknown fields are rejected. */
export const TEAM_BRANCH = z.strictObject({
  format: z.literal(BRANCH_FORMAT),
  models: z.record(MODEL_NAME, MODEL).default({}),
  pools: z.record(NAME, POOL).default({}),
  services: z.record(NAME, SERVICE).default({}),
  classes: z.record(NAME, CLASS),
  workspaces: z.record(NAME, WORKSPACE),
  limits: LIMITS.prefault({}),
}).check((context) => checkReferences(context));

/** A validated branch with all defaults filled in. */
export type TeamBranch = z.infer<typeof TEAM_BRANCH>;
/** Request priority, as named by clients and in settings. */
export type PriorityName = z.infer<typeof PRIORITY>;

/** A validation error in a branch. */
export interface BranchProblem {
  /** Path of the invalid field within the branch, joined by dots. */
  path: string;
  /** Describes the error and the allowed values. */
  message: string;
  /** The invalid value as JSON, truncated to 80 characters; `nothing` if it is absent. */
  value: string;
}

/** All validation errors of a branch. */
export interface InvalidBranch {
  kind: "invalid_branch";
  problems: BranchProblem[];
}

/**
 * Validates a complete branch.
 *
 * @param input The parsed JSON.
 * @returns The branch with defaults filled in, or all validation errors.
 */
export function parseBranch(input: unknown): Result<TeamBranch, InvalidBranch> {
  const parsed = TEAM_BRANCH.safeParse(input);
  if (parsed.success) return Result.ok(parsed.data);
  const problems = parsed.error.issues.map((issue) => ({
    path: issue.path.join("."),
    message: issue.message,
    value: formatValueAt(input, issue.path),
  }));
  return Result.err({ kind: "invalid_branch", problems });
}

type RefinementContext = z.core.ParsePayload<{
  models: Record<string, { pool: string }>;
  pools: Record<string, { kind: string }>;
  services: Record<string, { pool: string }>;
  classes: Record<string, unknown>;
  workspaces: Record<string, { defaultClass: string }>;
}>;

/** Checks that every pool and class that the branch refers to is defined in it. */
function checkReferences({ value, issues }: RefinementContext): void {
  const addIssue = (path: string[], message: string, input: unknown) =>
    issues.push({ code: "custom", path, message, input });
  for (const [name, model] of Object.entries(value.models)) {
    if (value.pools[model.pool]?.kind === "engine") continue;
    addIssue(
      ["models", name, "pool"],
      "Expected a pool of kind engine in this branch",
      model.pool,
    );
  }
  for (const [name, service] of Object.entries(value.services)) {
    if (value.pools[service.pool]?.kind === "service") continue;
    addIssue(
      ["services", name, "pool"],
      "Expected a pool of kind service in this branch",
      service.pool,
    );
  }
  for (const [name, workspace] of Object.entries(value.workspaces)) {
    if (value.classes[workspace.defaultClass]) continue;
    addIssue(
      ["workspaces", name, "defaultClass"],
      "Expected a class of this branch",
      workspace.defaultClass,
    );
  }
}

/** Returns the value at a path as truncated JSON, or `nothing` if there is none. */
function formatValueAt(input: unknown, path: PropertyKey[]): string {
  let current: unknown = input;
  for (const key of path) {
    if (typeof current !== "object" || current === null) return "nothing";
    current = (current as Record<PropertyKey, unknown>)[key];
  }
  return current === undefined
    ? "nothing"
    : JSON.stringify(current).slice(0, 80);
}
