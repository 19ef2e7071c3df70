import assert from "node:assert/strict";
import { test } from "node:test";
import { event, moverOf, play, type Played } from "./_answering_kit.ts";
import { type AnswerEnd, Answering } from "./answering.ts";
import type { AnswerPart } from "./read_answer.ts";

const REFUSED: AnswerPart = {
  kind: "over",
  end: { kind: "not_run", reason: "refused_503" },
};
const BROKEN: AnswerPart = {
  kind: "over",
  end: { kind: "unknown", reason: "ECONNRESET", isBroken: true },
};
/** A stream without an event for this long is asked for elsewhere. */
const GAP_MS = 1200;
/** A copied run is taken for stopped after less than this. */
const COPY_MS = 300;

/** A stream whose first event has come. */
async function begin(played: Played): Promise<{ ended: Promise<AnswerEnd> }> {
  const ended = Answering.create(played.parts, played.task).run();
  await played.pass(0);
  played.comes(0, event(1));
  await played.pass(0);
  return { ended };
}

// Its run went on at the engine that it had been copied to, though nobody was there to read it.
test("run whose client goes while it is copied is not sent on", async (t) => {
  const played = play(t);
  const { clock, choice } = played;
  played.parts.mover = moverOf({
    isDue: ({ move, progress }) => progress.begun && move === undefined,
    move: () => {
      clock.advance(COPY_MS);
      played.leave();
      return Promise.resolve({ kind: "copied", choice });
    },
  });
  const { ended } = await begin(played);
  assert.equal(played.sends.length, 1);
  assert.deepEqual(await ended, { kind: "client_gone" });
});

// What had come during the call was left until the next look at the run.
test("event that comes during a call to move is passed on before any wait", async (t) => {
  const played = play(t);
  let calls = 0;
  played.parts.mover = moverOf({
    isDue: ({ move, progress }) => progress.begun && move === undefined,
    move: () => {
      calls++;
      played.comes(0, event(2));
      played.comes(0, { kind: "stream_end" });
      return Promise.resolve({ kind: "not_moved" });
    },
  });
  // Timers stand still: a wait would not end.
  const { ended } = await begin(played);
  assert.equal(calls, 1);
  assert.deepEqual(played.written, ["id: 1\n\n", "id: 2\n\n"]);
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});

// The pause after refusals, up to a second, went on though nobody ran the stream any more.
test("stream whose run breaks is sent on at once, however long the pause is", async (t) => {
  const played = play(t);
  const { ended } = await begin(played);
  assert.equal(played.written.length, 1);
  await played.pass(GAP_MS);
  // Asked beside the silent run, others refuse; the pauses grow.
  for (const [nth, pauseMs] of [[1, 250], [2, 500], [3, 0]] as const) {
    assert.equal(played.sends.length, nth + 1);
    played.comes(nth, REFUSED);
    await played.pass(pauseMs);
  }
  await played.pass(50);
  assert.equal(played.sends.length, 4);
  played.comes(0, BROKEN);
  await played.pass(0);
  assert.equal(played.sends.length, 5);
  played.comes(4, { kind: "stream_end" });
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});

// The pauses between looks for a server grew, and one that had come was seen late.
test("stream that nobody runs is sent soon after a server comes, however late", async (t) => {
  const played = play(t);
  const { ended } = await begin(played);
  assert.equal(played.written.length, 1);
  await played.pass(50);
  played.isServerReady = false;
  played.comes(0, BROKEN);
  await played.pass(1650);
  assert.equal(played.sends.length, 1);
  played.isServerReady = true;
  await played.pass(150);
  assert.equal(played.sends.length, 2);
  played.comes(1, { kind: "stream_end" });
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});
