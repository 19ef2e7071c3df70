import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock, testFleet, testServer } from "./_kit.ts";
import { type Send, startProgress } from "./attempt.ts";
import type { AnswerStep } from "./channel.ts";
import { RequestKind } from "./model.ts";
import { isSilent } from "./run_timeouts.ts";
import { AnswerReader } from "./read_answer.ts";

const HEAD: AnswerStep = {
  kind: "head",
  head: {
    status: 200,
    headers: {
      "server-seal": "s",
      "attempt-id": "r-1",
      "transfer-encoding": "chunked",
    },
    isFramed: true,
    isFirst: true,
  },
};
const EVENT: AnswerStep = {
  kind: "data",
  bytes: Buffer.from("id: 1\ndata: x\n\n"),
};

function create(): { clock: TestClock; reader: AnswerReader } {
  const clock = new TestClock();
  const reader = AnswerReader.create({
    clock,
    fleet: testFleet(clock),
    onSilent: () => {},
    onGone: () => {},
  });
  return { clock, reader };
}

/** A resumable stream whose answer consists of these steps. */
function sendOf(clock: TestClock, steps: AnswerStep[]): Send {
  const server = testServer("i-1");
  const nowMs = clock.nowMs();
  return {
    request: {
      facts: { requestId: "r-1" },
      route: { kind: RequestKind.stream, resumable: true },
      arrivedAtMs: nowMs,
      answerByMs: nowMs + 30_000,
    },
    progress: startProgress(undefined),
    choice: { server, expectedMs: 100 },
    exchange: { take: () => steps.shift() },
    ticket: server.startRequest(0, false),
    sentAtMs: nowMs,
    idleSinceMs: nowMs,
    priority: 0,
  } as unknown as Send;
}

test("each part of an answer restarts the silence timeout", () => {
  const { clock, reader } = create();
  const steps: AnswerStep[] = [];
  const send = sendOf(clock, steps);
  // If the head came late and the first event after it as well, the stream was hedged at once.
  for (const [step, kind] of [[HEAD, "began"], [EVENT, "events"]] as const) {
    clock.advance(5000);
    assert.ok(isSilent(send, clock.nowMs()));
    steps.push(step);
    assert.equal(reader.read(send)?.kind, kind);
    assert.ok(!isSilent(send, clock.nowMs()));
  }
});

// The head has a longer timeout than an event. A head that arrived between the two timeouts made
// its stream count as silent at once.
test("stream whose head arrives in time is not silent", () => {
  const { clock, reader } = create();
  const steps: AnswerStep[] = [];
  const send = sendOf(clock, steps);
  clock.advance(1300);
  assert.equal(isSilent(send, clock.nowMs()), false);
  steps.push(HEAD);
  assert.equal(reader.read(send)?.kind, "began");
  assert.equal(isSilent(send, clock.nowMs()), false);
});

test("stream that may run only once is never silent for too long", () => {
  const { clock } = create();
  const send = sendOf(clock, []);
  send.request.route.resumable = false;
  clock.advance(29_000);
  assert.ok(!isSilent(send, clock.nowMs()));
});
