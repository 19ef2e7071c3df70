/** Rules on which requests may be repeated and which responses may be forwarded to clients. */
import { type AnswerFacts, RequestKind, type Route } from "./model.ts";

/**
 * @param route Route of a request.
 * @returns Whether requests of this route may run more than once.
 */
export function isIdempotent(route: Route): boolean {
  switch (route.kind) {
    case RequestKind.safe:
      return true;
    case RequestKind.unsafe:
      return false;
    case RequestKind.stream:
      return route.resumable;
  }
}

/**
 * A refusal that names no request may be a late copy of another one's, unless it is the first answer
 * on its connection.
 *
 * @param route Route of a request.
 * @param options Whether the request may have run already.
 * @returns Whether its next refusal must be known to be its own, as the request may run no more than
 *   once more.
 */
export function needsProvenRefusal(
  route: Route,
  { mayHaveRun }: { mayHaveRun: boolean },
): boolean {
  return mayHaveRun || !isIdempotent(route) || route.maxAttempts === 1;
}

/**
 * @param facts Head of a server's response.
 * @returns Why the response can't be forwarded as the server's own; undefined if it can.
 */
export function rejectionReason(facts: AnswerFacts): string | undefined {
  if (facts.encoded) return "encoded_answer";
  const isSuccess = facts.status >= 200 && facts.status < 300;
  if (isSuccess && !facts.signed) return "unsigned_answer";
  // These statuses tell a client that the request did not run, which the server has not confirmed.
  if ([408, 421, 429, 503].includes(facts.status)) {
    return `status_${facts.status}`;
  }
  return undefined;
}

/**
 * @param ids Ids of consecutive events; numeric ids must be ascending.
 * @param lastEventId Id of the preceding event, if there is one.
 * @returns Whether every numeric id is higher than the one before it.
 */
export function areIdsAscending(
  ids: string[],
  lastEventId: string | undefined,
): boolean {
  let last = lastEventId === undefined ? -Infinity : Number(lastEventId);
  for (const id of ids) {
    const number = Number(id);
    if (Number.isFinite(number) && number <= last) return false;
    last = number;
  }
  return true;
}
