import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock, testFleet, testServer } from "./_kit.ts";
import { createForwarderSetup, event } from "./_request_forwarder_kit.ts";
import { AnswerBuffers } from "./answer_buffers.ts";
import { bufferedBytes, type Send, startProgress } from "./attempt.ts";
import type { AnswerStep } from "./channel.ts";
import { RequestKind } from "./model.ts";
import { AnswerReader } from "./read_answer.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import type { Server } from "./server.ts";

const HEAD: AnswerStep = {
  kind: "head",
  head: {
    status: 200,
    headers: {
      "server-seal": "s",
      "attempt-id": "r-1",
      "content-length": "16000000",
    },
    isFramed: true,
    isFirst: true,
  },
};
const PIECE: AnswerStep = { kind: "data", bytes: Buffer.alloc(1_000_000) };
const PIECES = 15;
const CALLS = 20;
const STREAMS = 100;
/** Pieces of an incomplete event; larger events are too large alone. */
const EVENT_PIECES = 4;
/** Most bytes that an entry buffers for all incomplete answers. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** A request whose answer consists of a head and pieces without an end. */
function sendTo(server: Server, kind: RequestKind, pieces: number): Send {
  const steps = [HEAD, ...Array.from({ length: pieces }, () => PIECE)];
  return {
    request: {
      facts: { requestId: "r-1" },
      route: { kind, resumable: true },
      arrivedAtMs: 0,
    },
    progress: startProgress(undefined),
    choice: { server, expectedMs: 100 },
    exchange: {
      take: () => steps.shift(),
      abort: () => steps.splice(0, steps.length, { kind: "end" }),
    },
    ticket: server.startRequest(0, false),
    sentAtMs: 0,
  } as unknown as Send;
}

function createReader(): AnswerReader {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  const onSilent = () => {};
  return AnswerReader.create({ clock, fleet, onSilent, onGone: () => {} });
}

function sumOfBytes(sends: Send[]): number {
  return sends.reduce(
    (sum, { answer }) => sum + (answer ? bufferedBytes(answer.body) : 0),
    0,
  );
}

const ANSWERS = {
  calls: { kind: RequestKind.unsafe, count: CALLS, pieces: PIECES },
  streams: { kind: RequestKind.stream, count: STREAMS, pieces: EVENT_PIECES },
};

for (const [name, { kind, count, pieces }] of Object.entries(ANSWERS)) {
  // Guards against as much buffered memory as there are open requests: it ended the process.
  test(`${name} whose answers never end are bounded together, others go on`, () => {
    const reader = createReader();
    const other = sendTo(testServer("i-2"), kind, pieces);
    const sends = Array.from(
      { length: count },
      () => sendTo(testServer("i-1"), kind, pieces),
    );
    const readAll = (send: Send) => {
      let part = reader.read(send);
      while (part?.kind === "began") part = reader.read(send);
      return part;
    };
    assert.equal(readAll(other), undefined);
    for (const send of sends) readAll(send);
    const bytes = sumOfBytes([other, ...sends]);
    assert.ok(bytes <= MAX_BUFFERED_BYTES, `${bytes} bytes`);
    const ends = [other, ...sends].map((send) => readAll(send));
    const tooLarge = ends.filter((part) =>
      part?.kind === "over" && part.end.kind === "unknown" &&
      part.end.reason === "answer_too_large"
    );
    assert.equal(ends[0], undefined);
    assert.ok(tooLarge.length > 0 && tooLarge.length < count);
  });
}

// Guards against answers whose requests have ended, which would use up the limit for ever.
test("answer of a closed run is no longer buffered", async (t) => {
  const setup = createForwarderSetup(t);
  const ended = RequestForwarder.create(setup.parts, setup.task).run();
  await setup.advance(0);
  const buffers = AnswerBuffers.create();
  const [send] = setup.sends;
  send!.buffer = buffers.open({ serverId: "i-1", onDropped: () => {} });
  send!.buffer.resize(100);
  setup.deliver(0, event(1));
  await setup.advance(0);
  setup.disconnect();
  await ended;
  assert.equal(buffers.totalBytes, 0);
});
