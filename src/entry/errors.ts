/** Error answers to callers: a stable code, and whether the request was executed. */

/** Whether a failed request was executed. */
export const Execution = {
  /** The request was not executed and never will be. */
  NotRun: "not_run",
  /** The request was executed, but it failed or its answer was lost. */
  Ran: "ran",
  /** The request may have been executed, or may still be running. */
  Unknown: "unknown",
} as const;
/** One of {@link Execution}. */
export type Execution = (typeof Execution)[keyof typeof Execution];

/** HTTP status and error type of each code. The codes are part of the API and must not change. */
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

/** A failed request as reported to its caller. */
export interface RequestFailure {
  code: ErrorCode;
  /** A sentence for people; contains no prompt and no API key. */
  message: string;
  execution: Execution;
  /** Body field or header that caused the failure. */
  param?: string;
  /** Delay before a retry; undefined if a retry is not expected to help. */
  retryAfterMs?: number;
}

/** JSON body of an error response, in the format of the OpenAI API. */
export interface ErrorBody {
  error: {
    message: string;
    type: string;
    code: ErrorCode;
    param: string | null;
    execution: Execution;
  };
}

/** Optional details of a rejected request. */
export interface RejectionOptions {
  param?: string;
  retryAfterMs?: number;
}

/**
 * @param code Error code.
 * @param message A sentence for people.
 * @param options Body field or header at fault, and the delay before a retry.
 * @returns The failure of a request that was not executed.
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
 * @returns HTTP status of the error response.
 */
export function statusOf(failure: RequestFailure): number {
  return ERROR_CODES[failure.code][0];
}

/**
 * @param failure The failure.
 * @returns Body of the error response.
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
 * @returns Headers of the error response. They tell clients that retry automatically not to do so if
 * the request may have been executed.
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
