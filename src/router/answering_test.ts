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
/** After this time without an event, a stream is also sent to another server. */
const GAP_MS = 1200;
/** Longer than the time after which a copied run counts as stopped. */
const COPY_MS = 300;

/** Starts a stream and delivers its first event. */
async function begin(played: Played): Promise<{ ended: Promise<AnswerEnd> }> {
  const ended = Answering.create(played.parts, played.task).run();
  await played.pass(0);
  played.comes(0, event(1));
  await played.pass(0);
  return { ended };
}

// Guards against a run that continues on the target of its copy after the client has disconnected.
test("run whose client disconnects while it is copied is not resumed", async (t) => {
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

// Guards against parts that arrive during the call but are not read before the next wait ends.
test("event that arrives during a move call is forwarded without a wait", async (t) => {
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
  // Timers are mocked and not advanced, so a wait would never end.
  const { ended } = await begin(played);
  assert.equal(calls, 1);
  assert.deepEqual(played.written, ["id: 1\n\n", "id: 2\n\n"]);
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});

// Guards against a backoff after refusals, up to 1 s, that continues once the last open run has broken.
test("stream whose last run breaks is resent at once despite a backoff", async (t) => {
  const played = play(t);
  const { ended } = await begin(played);
  assert.equal(played.written.length, 1);
  await played.pass(GAP_MS);
  // Other servers refuse the sends beside the silent run, and the backoff grows.
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

// Guards against growing poll intervals, with which a new server is noticed late.
test("stream without a run is resent soon after a server becomes available", async (t) => {
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
