/** Maps agents' refusals, run ends and lost runs to the failures that are reported to the caller. */
import {
  type Refusal,
  RefusalCode,
  type RunEnd,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import { AbortCause } from "./caller.ts";
import {
  type ErrorCode,
  Execution,
  notRun,
  type RequestFailure,
} from "./errors.ts";
import type { RunLoss } from "./run_events.ts";

/** Retry delay if no agent gave one, in ms. */
const DEFAULT_RETRY_MS = 1000;
/** Maximum jitter as a share of the retry delay; spreads the retries of refused callers over time. */
const JITTER_SHARE = 0.5;

/**
 * @param refusal An agent's refusal.
 * @param hasKey Whether the caller gave an idempotency key.
 * @returns Whether every other agent would refuse for the same reason, so that a retry is useless.
 */
export function isFinalRefusal(refusal: Refusal, hasKey: boolean): boolean {
  switch (refusal.code) {
    case RefusalCode.INVALID:
    case RefusalCode.KEY_REUSED:
    case RefusalCode.STORE_DOWN:
      return true;
    case RefusalCode.EXPIRED:
      return hasKey;
    default:
      return false;
  }
}

/**
 * @param refusals All refusals received; may be empty.
 * @param random Uniform in [0, 1).
 * @returns The failure to report: the team's own limit first, then overload, then no server; with
 * the smallest retry delay that an agent gave.
 */
export function overloadFailure(
  refusals: Refusal[],
  random: () => number,
): RequestFailure {
  const code = overloadCode(refusals);
  const waits = refusals.map(({ retryAfterMs }) => retryAfterMs)
    .filter((ms) => ms > 0);
  const waitMs = waits.length > 0 ? Math.min(...waits) : DEFAULT_RETRY_MS;
  return notRun(code, OVERLOAD_MESSAGES[code], {
    retryAfterMs: withJitter(waitMs, random),
  });
}

/**
 * @param refusal A refusal that {@link isFinalRefusal} holds for.
 * @param random Uniform in [0, 1).
 * @returns The failure to report to the caller.
 */
export function finalRefusalFailure(
  refusal: Refusal,
  random: () => number,
): RequestFailure {
  const code = FINAL_CODES.get(refusal.code) ?? "invalid_body";
  if (refusal.code !== RefusalCode.STORE_DOWN) {
    return notRun(code, messageOf(refusal));
  }
  const waitMs = refusal.retryAfterMs || DEFAULT_RETRY_MS;
  return notRun(code, messageOf(refusal), {
    retryAfterMs: withJitter(waitMs, random),
  });
}

/**
 * @param end A run's end.
 * @returns The failure to report to the caller; undefined if the run succeeded.
 */
export function endFailure(end: RunEnd): RequestFailure | undefined {
  const message = end.message;
  switch (end.outcome) {
    case RunOutcome.DONE:
      return undefined;
    case RunOutcome.ANSWER_GONE:
      return {
        code: "answer_gone",
        message: message || "It was run; its answer is no longer kept",
        execution: Execution.Ran,
      };
    case RunOutcome.FAILED:
    case RunOutcome.CANCELLED:
      return {
        code: "run_failed",
        message: message || "The server failed while it ran the request",
        execution: Execution.Ran,
      };
    case RunOutcome.UNKNOWN:
    case RunOutcome.UNSPECIFIED:
      return {
        code: "run_lost",
        message: message || "Nobody can tell whether the request was run",
        execution: Execution.Unknown,
      };
  }
}

/**
 * @param loss A run whose answer can't be obtained.
 * @param cause Why the caller's signal was aborted; undefined if it was not.
 * @returns The failure to report to the caller.
 */
export function lossFailure(
  loss: RunLoss,
  cause: AbortCause | undefined,
): RequestFailure {
  const { execution } = loss;
  switch (cause) {
    case AbortCause.Deadline:
      return {
        code: "deadline_exceeded",
        message: "The deadline passed before the answer was complete",
        execution,
      };
    case AbortCause.ClientGone:
      return { code: "client_gone", message: "The caller is gone", execution };
    case undefined:
      return { code: "run_lost", message: loss.message, execution };
  }
}

/**
 * @param ms A delay.
 * @param random Uniform in [0, 1).
 * @returns The delay plus random jitter of up to {@link JITTER_SHARE} of it.
 */
export function withJitter(ms: number, random: () => number): number {
  return ms * (1 + JITTER_SHARE * random());
}

type OverloadCode = "team_limit" | "no_servers" | "overloaded";

const OVERLOAD_MESSAGES: Record<OverloadCode, string> = {
  team_limit: "The team's limit is reached",
  no_servers: "No server can take the request now",
  overloaded: "The servers are overloaded",
};

function overloadCode(refusals: Refusal[]): OverloadCode {
  const codes = new Set(refusals.map(({ code }) => code));
  if (codes.has(RefusalCode.TEAM_LIMIT)) return "team_limit";
  const isBusy = codes.has(RefusalCode.OVERLOADED) ||
    codes.has(RefusalCode.DEADLINE);
  return isBusy ? "overloaded" : "no_servers";
}

const FINAL_CODES = new Map<RefusalCode, ErrorCode>([
  [RefusalCode.INVALID, "invalid_body"],
  [RefusalCode.KEY_REUSED, "idempotency_key_reused"],
  [RefusalCode.EXPIRED, "idempotency_key_expired"],
  [RefusalCode.STORE_DOWN, "store_unavailable"],
]);

/** Extracts the message from a refusal, which may contain an engine's JSON error body. */
function messageOf(refusal: Refusal): string {
  try {
    const body = JSON.parse(refusal.message);
    const message = body?.error?.message ?? body?.message;
    return typeof message === "string" ? message : refusal.message;
  } catch {
    return refusal.message;
  }
}
