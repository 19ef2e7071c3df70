/** What may be done with a request again, and which answers of servers may be passed on. */
import { type AnswerFacts, RequestKind, type Route } from "./model.ts";

/**
 * @param route A route.
 * @returns Whether its requests may run more than once.
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
 * @param facts Head of a server's answer.
 * @returns Why it can't be passed on as the server's own; nothing if it can.
 */
export function problemOf(facts: AnswerFacts): string | undefined {
  if (facts.encoded) return "encoded_answer";
  const isSuccess = facts.status >= 200 && facts.status < 300;
  if (isSuccess && !facts.signed) return "unsigned_answer";
  if (isSuccess && !facts.framed) return "unframed_answer";
  // These would promise that the request did not run, which the server has not said.
  if ([408, 421, 429, 503].includes(facts.status)) {
    return `status_${facts.status}`;
  }
  return undefined;
}

/**
 * @param ids Ids of events, which are numbers that rise.
 * @param lastEventId The event before them, if there is one.
 * @returns Whether each comes behind the one before.
 */
export function follows(
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
