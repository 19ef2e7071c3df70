/** What callers are told when a request fails: stable codes, and whether the request was run. */

/** Whether a failed request was executed. */
export const Execution = {
  /** It was not run and never will be. */
  NotRun: "not_run",
  /** It ran, and failed or its answer is gone. */
  Ran: "ran",
  /** It may have run, or may still be running. */
  Unknown: "unknown",
} as const;
/** One of {@link Execution}. */
export type Execution = (typeof Execution)[keyof typeof Execution];

/** Status and type of each code; codes are part of the interface and don't change. */
export const ERROR_CODES = {
  bad_json: [400, "invalid_request_error"],
  invalid_body: [400, "invalid_request_error"],
  invalid_header: [400, "invalid_request_error"],
  invalid_api_key: [401, "authentication_error"],
  not_found: [404, "invalid_request_error"],
  model_not_found: [404, "invalid_request_error"],
  service_not_found: [404, "invalid_request_error"],
  method_not_allowed: [405, "invalid_request_error"],
  request_timeout: [408, "invalid_request_error"],
  answer_gone: [409, "conflict_error"],
  body_too_large: [413, "invalid_request_error"],
  idempotency_key_reused: [422, "invalid_request_error"],
  idempotency_key_expired: [422, "invalid_request_error"],
  team_limit: [429, "rate_limit_error"],
  client_gone: [499, "client_error"],
  internal: [500, "server_error"],
  run_failed: [502, "server_error"],
  run_lost: [502, "server_error"],
  stream_broken: [502, "server_error"],
  overloaded: [503, "overloaded_error"],
  no_servers: [503, "overloaded_error"],
  store_unavailable: [503, "server_error"],
  quarantined: [503, "server_error"],
  not_ready: [503, "server_error"],
  deadline_exceeded: [504, "timeout_error"],
} as const;

/** A stable error code. */
export type ErrorCode = keyof typeof ERROR_CODES;

/** A failed request, as its caller sees it. */
export interface RequestFailure {
  code: ErrorCode;
  /** A sentence for people; carries no prompt and no key. */
  message: string;
  execution: Execution;
  /** Field or header at fault. */
  param?: string;
  /** When to try again; only where that makes sense. */
  retryAfterMs?: number;
}

/** The body of an error answer. */
export interface ErrorBody {
  error: {
    message: string;
    type: string;
    code: ErrorCode;
    param: string | null;
    execution: Execution;
  };
}

/** What else a refusal says besides its code. */
export interface RejectionOptions {
  param?: string;
  retryAfterMs?: number;
}

/**
 * @param code The code.
 * @param message A sentence for people.
 * @param options Field at fault and time to wait.
 * @returns A failure of a request that was not run.
 */
export function notRun(
  code: ErrorCode,
  message: string,
  options: RejectionOptions = {},
): RequestFailure {
  return { code, message, execution: Execution.NotRun, ...options };
}

/**
 * @param failure The failure.
 * @returns Its HTTP status.
 */
export function statusOf(failure: RequestFailure): number {
  return ERROR_CODES[failure.code][0];
}

/**
 * @param failure The failure.
 * @returns The JSON body of its answer.
 */
export function errorBody(failure: RequestFailure): ErrorBody {
  return {
    error: {
      message: failure.message,
      type: ERROR_CODES[failure.code][1],
      code: failure.code,
      param: failure.param ?? null,
      execution: failure.execution,
    },
  };
}

/**
 * @param failure The failure.
 * @returns Headers of its answer. Clients that retry by themselves are told not to where the
 * request may have run.
 */
export function errorHeaders(failure: RequestFailure): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json; charset=utf-8",
    "x-cicadahitch-execution": failure.execution,
  };
  if (failure.execution !== Execution.NotRun) {
    headers["x-should-retry"] = "false";
  }
  if (failure.retryAfterMs !== undefined) {
    const retryAfterMs = Math.ceil(failure.retryAfterMs);
    headers["retry-after"] = String(Math.ceil(retryAfterMs / 1000));
    headers["retry-after-ms"] = String(retryAfterMs);
  }
  return headers;
}
