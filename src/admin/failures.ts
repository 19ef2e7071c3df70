/** Failures of administration requests and their HTTP responses. */
import type { BranchProblem } from "../config/mod.ts";

/** The current version of a team, with which a write conflicts. */
export interface CurrentVersion {
  /** Store revision; 0 if the team never existed. */
  version: number;
  writer: string;
  writtenAtMs: number;
  deleted: boolean;
}

/** Reasons why an administration request fails. */
export type AdminFailure =
  | { kind: "unauthorized" }
  | { kind: "route_not_found" }
  | { kind: "team_not_found"; team: string; current?: CurrentVersion }
  | { kind: "version_not_found"; team: string; version: number }
  | { kind: "workspace_not_found"; team: string; workspace: string }
  | { kind: "invalid_request"; message: string; param: string }
  | { kind: "precondition_required" }
  | { kind: "invalid_branch"; problems: BranchProblem[] }
  | { kind: "too_large"; sizeBytes: number; maxBytes: number }
  /** The team is not at the version that the write expects. */
  | { kind: "conflict"; current: CurrentVersion }
  /** A newer process wrote the branch in a format that this process can't change safely. */
  | { kind: "newer_format"; team: string; version: number }
  /** The write did not take effect and never will. */
  | { kind: "store_unavailable" }
  /** The write may have taken effect, or may still take effect. */
  | { kind: "outcome_unknown"; team: string; writeId: string }
  | { kind: "internal" };

/** Whether a failed request had an effect. */
export type AdminExecution = "not_run" | "unknown";

/** Body of an error response. */
export interface AdminErrorBody {
  error: {
    message: string;
    type: string;
    code: AdminFailure["kind"];
    param: string | null;
    execution: AdminExecution;
    /** All problems found in an invalid branch. */
    problems?: BranchProblem[];
    /** The current version of the team. */
    current?: CurrentVersion;
    /** Id of a write of unknown outcome; it is in the history if the write took effect. */
    writeId?: string;
  };
}

/** Status, body and retry delay of an error response. */
export interface AdminErrorResponse {
  status: number;
  body: AdminErrorBody;
  retryAfterMs?: number;
}

/** Retry delay sent to callers while the store is unavailable, in ms. */
export const RETRY_AFTER_MS = 2000;

const STATUS_AND_TYPE: Record<AdminFailure["kind"], [number, string]> = {
  unauthorized: [401, "authentication_error"],
  route_not_found: [404, "invalid_request_error"],
  team_not_found: [404, "invalid_request_error"],
  version_not_found: [404, "invalid_request_error"],
  workspace_not_found: [404, "invalid_request_error"],
  invalid_request: [400, "invalid_request_error"],
  precondition_required: [428, "invalid_request_error"],
  invalid_branch: [422, "invalid_request_error"],
  too_large: [413, "invalid_request_error"],
  conflict: [409, "conflict_error"],
  newer_format: [409, "conflict_error"],
  store_unavailable: [503, "server_error"],
  outcome_unknown: [503, "server_error"],
  internal: [500, "server_error"],
};

/**
 * @param failure Why the request failed.
 * @returns The error response to send.
 */
export function toErrorResponse(failure: AdminFailure): AdminErrorResponse {
  const [status, type] = STATUS_AND_TYPE[failure.kind];
  const response: AdminErrorResponse = {
    status,
    body: {
      error: {
        message: formatMessage(failure),
        type,
        code: failure.kind,
        param: getParam(failure),
        execution: getExecution(failure),
      },
    },
  };
  const { error } = response.body;
  if ("problems" in failure) error.problems = failure.problems;
  if ("current" in failure) error.current = failure.current;
  if ("writeId" in failure) error.writeId = failure.writeId;
  if (failure.kind === "store_unavailable") {
    response.retryAfterMs = RETRY_AFTER_MS;
  }
  return response;
}

function getExecution(failure: AdminFailure): AdminExecution {
  switch (failure.kind) {
    case "outcome_unknown":
    case "internal":
      return "unknown";
    default:
      return "not_run";
  }
}

function getParam(failure: AdminFailure): string | null {
  switch (failure.kind) {
    case "invalid_request":
      return failure.param;
    case "precondition_required":
      return "If-Match";
    case "team_not_found":
      return "team";
    case "version_not_found":
      return "version";
    case "workspace_not_found":
      return "workspace";
    default:
      return null;
  }
}

function formatMessage(failure: AdminFailure): string {
  switch (failure.kind) {
    case "unauthorized":
      return "The bearer key is missing or wrong";
    case "route_not_found":
      return "There is no such path or method";
    case "team_not_found":
      return `There is no team ${failure.team}`;
    case "version_not_found":
      return `Version ${failure.version} of team ${failure.team} is not kept`;
    case "workspace_not_found":
      return `Team ${failure.team} has no workspace ${failure.workspace}`;
    case "invalid_request":
      return failure.message;
    case "precondition_required":
      return "The version that is replaced must be given in If-Match";
    case "invalid_branch":
      return describeProblems(failure.problems);
    case "too_large":
      return `The branch takes ${failure.sizeBytes} bytes; ` +
        `${failure.maxBytes} are allowed`;
    case "conflict":
      return describeConflict(failure.current);
    case "newer_format":
      return `Version ${failure.version} of team ${failure.team} was written ` +
        "by a newer process; change it through one";
    case "store_unavailable":
      return "The key-value service can't be reached; nothing was changed";
    case "outcome_unknown":
      return "The answer of the key-value service was lost. The write took " +
        `effect if the history of team ${failure.team} shows the write id ` +
        failure.writeId;
    case "internal":
      return "The request failed inside this process";
  }
}

function describeProblems(problems: BranchProblem[]): string {
  const lines = problems.map(({ path, message, value }) =>
    `${path || "(branch)"}: ${message}, found ${value}`
  );
  return `The branch is not valid: ${lines.join("; ")}`;
}

function describeConflict(
  { version, writer, deleted }: CurrentVersion,
): string {
  if (version === 0) return "There is no such team";
  const state = deleted ? "was deleted" : "is at another version";
  return `The team ${state}: version ${version}, written by ${writer}`;
}
