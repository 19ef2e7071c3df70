import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../base/mod.ts";
import { startProgress } from "./attempt.ts";
import { RequestKind } from "./model.ts";
import { ResendRefusal, type RoutedRequest } from "./request.ts";
import { Resends } from "./resends.ts";

const NO_RUN = { count: 0, isAnyUp: false };

/** A resumable stream that ran at one server, which lives, and was refused at another one. */
function refusalAfter({ streamStarted }: { streamStarted: boolean }) {
  const resends = Resends.create({
    clock: systemClock,
    fleet: { has: () => true },
    resendLimits: { ratio: 1, slack: 10, windowMs: 10_000 },
    entryCount: () => 1,
    hasUntriedServer: () => true,
    isVersionGone: () => false,
  });
  const request = {
    service: "s",
    route: { kind: RequestKind.stream, resumable: true, maxAttempts: 2 },
    answerByMs: Infinity,
  } as RoutedRequest;
  const progress = {
    ...startProgress(undefined),
    sends: 2,
    runs: 1,
    unprovenRefusals: 1,
    streamStarted,
  };
  return resends.refusalOf(request, progress, NO_RUN);
}

// Guards against runs at more servers than the route allows.
test("refusal that nothing ties to the request counts as a run", () => {
  const refusal = refusalAfter({ streamStarted: false });
  assert.equal(refusal, ResendRefusal.attemptsUsed);
});

// Guards against a stream that is cut although a server may go on with it.
test("refusal that nothing ties to the request doesn't end a started stream", () => {
  assert.equal(refusalAfter({ streamStarted: true }), undefined);
});
