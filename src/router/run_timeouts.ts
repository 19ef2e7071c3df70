/** Timeouts for runs without progress: when to suspect their server, hedge or cancel them. */
import { isIdempotent } from "./answer_rules.ts";
import type { Send } from "./attempt.ts";
import { RequestKind } from "./model.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/**
 * A server is suspected if it sends nothing to any request for the longer of this minimum (prompts,
 * plain calls) and this multiple of the expected time.
 */
const SUSPECT_PROMPT_MS = 400;
const SUSPECT_CALL_MS = 700;
const SUSPECT_FACTOR = 4;
/** Share of an idempotent call's time after which it is hedged on another server. */
const CALL_HEDGE_RATIO = 0.4;
/**
 * A resumable stream is hedged if its first event takes longer than this minimum and this multiple
 * of the expected time.
 */
const FIRST_EVENT_HEDGE_MS = 1500;
const FIRST_EVENT_HEDGE_FACTOR = 4;
/** A resumable stream is hedged after this long without an event. */
const STREAM_HEDGE_MS = 1200;
/** A server that has sent nothing to any request for this long may not be processing its queue. */
const QUEUE_STALL_MS = 1200;
/** A copied run stops before its copy is complete; the engine closes the stream soon after. */
const MOVED_CLOSE_TIMEOUT_MS = 200;

/** The current time and the ages of weights. */
export interface TimeAndWeights {
  wanted: WantedVersions;
  nowMs: number;
}

/**
 * Checks whether a run should be hedged on another server.
 *
 * @param send An open run of a request.
 * @param nowMs Current time.
 * @returns Whether it has been without progress for too long.
 */
export function isSilent(send: Send, nowMs: number): boolean {
  if (nowMs < hedgeAtMs(send)) return false;
  if (send.answer) return true;
  // While the server processes its queue, a hedged request would only queue again at another
  // server.
  const { order, lastByteAtMs } = send.choice.server;
  return !order.isQueued(send) || nowMs - lastByteAtMs >= QUEUE_STALL_MS;
}

/**
 * Returns when to suspect the server of a send if it answers no request until then.
 *
 * @param send A send without an answer.
 * @returns The time.
 */
export function suspectAtMs({ choice, sentAtMs }: Send): number {
  const minMs = choice.chain ? SUSPECT_PROMPT_MS : SUSPECT_CALL_MS;
  return sentAtMs + Math.max(minMs, SUSPECT_FACTOR * choice.expectedMs);
}

/**
 * Returns when to cancel a run that has not started to answer, because its replaced weights may
 * then start no more answers.
 *
 * @param send An open run.
 * @param now Current time and ages of weights.
 * @returns The time; infinite if the run's weights do not limit it.
 */
export function startDeadlineMs(
  { choice, answer, request }: Send,
  { wanted, nowMs }: TimeAndWeights,
): number {
  const { prompt } = request.facts;
  const { weightsVersion } = choice;
  if (answer || !prompt || weightsVersion === undefined) return Infinity;
  const ageMs = wanted.replacedForMs(prompt.model, weightsVersion);
  return ageMs > 0 ? nowMs + wanted.limits.beginUntilMs - ageMs : Infinity;
}

/**
 * Returns when a copied run counts as stopped even if its stream is still open.
 *
 * @param send An open run that its engine has copied and is stopping.
 * @returns The time.
 */
export function movedCloseDeadlineMs(
  { idleSinceMs }: Send,
): number {
  return idleSinceMs + MOVED_CLOSE_TIMEOUT_MS;
}

/**
 * Returns the next time at which a run must be checked.
 *
 * @param send An open run.
 * @param now Current time and ages of weights.
 * @returns The earliest timeout that has not passed.
 */
export function nextCheckAtMs(send: Send, now: TimeAndWeights): number {
  if (send.move?.kind === "copied") return movedCloseDeadlineMs(send);
  const times = [hedgeAtMs(send), startDeadlineMs(send, now)];
  if (!send.isSuspected && !send.answer) times.push(suspectAtMs(send));
  const { nowMs } = now;
  return Math.min(...times.filter((atMs) => atMs > nowMs));
}

/** Time at which to hedge the run without further progress; infinite if it may not run twice. */
function hedgeAtMs(send: Send): number {
  const { request, answer, idleSinceMs } = send;
  if (!isIdempotent(request.route)) return Infinity;
  if (answer?.body.kind === "stream") return idleSinceMs + STREAM_HEDGE_MS;
  return firstByteHedgeAtMs(send);
}

function firstByteHedgeAtMs({ request, choice, sentAtMs }: Send): number {
  const { route, answerByMs } = request;
  const waitMs = route.kind === RequestKind.stream
    ? Math.max(
      FIRST_EVENT_HEDGE_MS,
      FIRST_EVENT_HEDGE_FACTOR * choice.expectedMs,
    )
    : (answerByMs - sentAtMs) * CALL_HEDGE_RATIO;
  return sentAtMs + waitMs;
}
