/** How long a server may be silent until another one is asked as well, and until it is avoided. */
import { isIdempotent } from "./answer_rules.ts";
import type { Send } from "./attempt.ts";
import { RequestKind } from "./model.ts";

/** A server that says nothing to anyone for this long, or longer than expected, is avoided. */
const SUSPECT_MIN_MS = 400;
const SUSPECT_CALL_MS = 700;
const SUSPECT_FACTOR = 4;
/** After this share of an idempotent call's time another server is asked as well. */
const CALL_SHARE = 0.4;
/** A resumable stream whose first event is this late, and later than expected, is asked for elsewhere. */
const FIRST_EVENT_MIN_MS = 1500;
const FIRST_EVENT_FACTOR = 4;
/** A resumable stream without an event for this long is asked for elsewhere. */
const STREAM_GAP_MS = 1200;

/**
 * @param send An open run of a request.
 * @returns When another server is asked as well if nothing comes; infinite where it may not run twice.
 */
export function patienceEndsAtMs(send: Send): number {
  const { request, answer, quietSinceMs } = send;
  if (!isIdempotent(request.route)) return Infinity;
  if (answer?.body.kind === "stream") return quietSinceMs + STREAM_GAP_MS;
  return headTimeOf(send);
}

/**
 * @param send An open run of a request.
 * @param nowMs The time.
 * @returns Whether its server has been silent for too long.
 */
export function isSilent(send: Send, nowMs: number): boolean {
  if (nowMs < patienceEndsAtMs(send)) return false;
  // At the end of another server's queue it would wait anew.
  return send.answer !== undefined || !send.choice.server.order.isQueued(send);
}

/**
 * @param send A send without an answer.
 * @returns When its server is suspected to be gone, if it says nothing to anyone.
 */
export function suspectAtMs({ choice, sentAtMs }: Send): number {
  const minMs = choice.chain ? SUSPECT_MIN_MS : SUSPECT_CALL_MS;
  return sentAtMs + Math.max(minMs, SUSPECT_FACTOR * choice.expectedMs);
}

function headTimeOf({ request, choice, sentAtMs }: Send): number {
  const { route, answerByMs } = request;
  const waitMs = route.kind === RequestKind.stream
    ? Math.max(FIRST_EVENT_MIN_MS, FIRST_EVENT_FACTOR * choice.expectedMs)
    : (answerByMs - sentAtMs) * CALL_SHARE;
  return sentAtMs + waitMs;
}
