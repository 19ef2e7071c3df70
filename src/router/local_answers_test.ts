import assert from "node:assert/strict";
import { test } from "node:test";
import type { Routed } from "./arrival.ts";
import { LocalAnswers } from "./local_answers.ts";
import type { RequestFacts, Route } from "./model.ts";
import type { AnswerSink, LocalAnswer } from "./request.ts";

function rejectUnknownRoute(routed: Routed, knowledgeAgeMs: number) {
  const sent: number[] = [];
  const logged: LocalAnswer[] = [];
  const answers = LocalAnswers.create({
    random: () => 0,
    knowledgeAgeMs: () => knowledgeAgeMs,
    onLocalAnswer: (_facts, answer) => logged.push(answer),
  });
  const sink = {
    send: ({ status }: { status: number }) => sent.push(status),
  } as unknown as AnswerSink;
  const facts = { deadlineMs: 1000 } as RequestFacts;
  const arrival = { kind: "unknown_route" } as const;
  answers.reject(facts, sink, { arrival, routed });
  return { sent, logged };
}

const UNKNOWN = { kind: "refused", why: "unknown_route" } as const;

// Guards against 404 for a route that was added while the body, which was dropped, arrived.
test("request whose route has become known is refused as not run", () => {
  const routed = { kind: "routed", route: {} as Route } as const;
  const { sent, logged } = rejectUnknownRoute(routed, 0);
  assert.deepEqual([sent, logged], [[503], ["unsure"]]);
});

test("request whose route stays unknown gets 404 by a fresh configuration alone", () => {
  assert.deepEqual(rejectUnknownRoute(UNKNOWN, 0).sent, [404]);
  assert.deepEqual(rejectUnknownRoute(UNKNOWN, 5000).sent, [503]);
});
