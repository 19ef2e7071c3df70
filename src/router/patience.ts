/** When something is to be done about a run of which nothing is heard. */
import { isIdempotent } from "./answer_rules.ts";
import type { Send } from "./attempt.ts";
import { RequestKind } from "./model.ts";
import type { WantedVersions } from "./wanted_weights.ts";

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
/** A server that has said nothing for this long, to anyone, is not known to work off its queue. */
const QUEUE_GAP_MS = 1200;
/** A run that was copied stops before the copy is complete; its stream is closed soon after. */
const MOVED_CLOSE_MS = 200;

/** The time, and how old weights are. */
export interface WeightsNow {
  wanted: WantedVersions;
  nowMs: number;
}

/**
 * @param send An open run of a request.
 * @param nowMs The time.
 * @returns Whether its server has been silent for too long.
 */
export function isSilent(send: Send, nowMs: number): boolean {
  if (nowMs < patienceEndsAtMs(send)) return false;
  if (send.answer) return true;
  // At the end of another server's queue it would wait anew.
  const { order, heardAtMs } = send.choice.server;
  return !order.isQueued(send) || nowMs - heardAtMs >= QUEUE_GAP_MS;
}

/**
 * @param send A send without an answer.
 * @returns When its server is suspected to be gone, if it says nothing to anyone.
 */
export function suspectAtMs({ choice, sentAtMs }: Send): number {
  const minMs = choice.chain ? SUSPECT_MIN_MS : SUSPECT_CALL_MS;
  return sentAtMs + Math.max(minMs, SUSPECT_FACTOR * choice.expectedMs);
}

/**
 * @param send An open run.
 * @param now The time, and how old weights are.
 * @returns When it is taken back unless it has begun: its weights, which were replaced, may then begin
 * no answer any more. Infinite if that does not come.
 */
export function beginUntilMs(
  { choice, answer, request }: Send,
  { wanted, nowMs }: WeightsNow,
): number {
  const { prompt } = request.facts;
  const { weightsVersion } = choice;
  if (answer || !prompt || weightsVersion === undefined) return Infinity;
  const ageMs = wanted.replacedForMs(prompt.model, weightsVersion);
  return ageMs > 0 ? nowMs + wanted.limits.beginUntilMs - ageMs : Infinity;
}

/**
 * @param send An open run whose engine has copied it and stops it.
 * @returns When it is taken for stopped, if its stream is not closed.
 */
export function movedAtMs({ quietSinceMs }: Send): number {
  return quietSinceMs + MOVED_CLOSE_MS;
}

/**
 * @param send An open run.
 * @param now The time, and how old weights are.
 * @returns When something is to be done about it next.
 */
export function nextLookAtMs(send: Send, now: WeightsNow): number {
  if (send.move?.kind === "copied") return movedAtMs(send);
  const times = [patienceEndsAtMs(send), beginUntilMs(send, now)];
  if (!send.isSuspected && !send.answer) times.push(suspectAtMs(send));
  const { nowMs } = now;
  return Math.min(...times.filter((atMs) => atMs > nowMs));
}

/** When another server is asked as well if nothing comes; infinite where it may not run twice. */
function patienceEndsAtMs(send: Send): number {
  const { request, answer, quietSinceMs } = send;
  if (!isIdempotent(request.route)) return Infinity;
  if (answer?.body.kind === "stream") return quietSinceMs + STREAM_GAP_MS;
  return headTimeOf(send);
}

function headTimeOf({ request, choice, sentAtMs }: Send): number {
  const { route, answerByMs } = request;
  const waitMs = route.kind === RequestKind.stream
    ? Math.max(FIRST_EVENT_MIN_MS, FIRST_EVENT_FACTOR * choice.expectedMs)
    : (answerByMs - sentAtMs) * CALL_SHARE;
  return sentAtMs + waitMs;
}
