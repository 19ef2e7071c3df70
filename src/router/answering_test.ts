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
async function begin(setup: Played): Promise<{ ended: Promise<AnswerEnd> }> {
  const ended = Answering.create(setup.parts, setup.task).run();
  await setup.pass(0);
  setup.comes(0, event(1));
  await setup.pass(0);
  return { ended };
}

// Guards against a run that continues on the target of its copy after the client has disconnected.
test("run whose client disconnects while it is copied is not resumed", async (t) => {
  const setup = play(t);
  const { clock, choice } = setup;
  setup.parts.mover = moverOf({
    isDue: ({ move, progress }) => progress.begun && move === undefined,
    move: () => {
      clock.advance(COPY_MS);
      setup.leave();
      return Promise.resolve({ kind: "copied", choice });
    },
  });
  const { ended } = await begin(setup);
  assert.equal(setup.sends.length, 1);
  assert.deepEqual(await ended, { kind: "client_gone" });
});

// Guards against parts that arrive during the call but are not read before the next wait ends.
test("event that arrives during a move call is forwarded without a wait", async (t) => {
  const setup = play(t);
  let calls = 0;
  setup.parts.mover = moverOf({
    isDue: ({ move, progress }) => progress.begun && move === undefined,
    move: () => {
      calls++;
      setup.comes(0, event(2));
      setup.comes(0, { kind: "stream_end" });
      return Promise.resolve({ kind: "not_moved" });
    },
  });
  // Timers are mocked and not advanced, so a wait would never end.
  const { ended } = await begin(setup);
  assert.equal(calls, 1);
  assert.deepEqual(setup.written, ["id: 1\n\n", "id: 2\n\n"]);
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});

// Guards against a backoff after refusals, up to 1 s, that continues once the last open run has broken.
test("stream whose last run breaks is resent at once despite a backoff", async (t) => {
  const setup = play(t);
  const { ended } = await begin(setup);
  assert.equal(setup.written.length, 1);
  await setup.pass(GAP_MS);
  // Other servers refuse the sends beside the silent run, and the backoff grows.
  for (const [nth, pauseMs] of [[1, 250], [2, 500], [3, 0]] as const) {
    assert.equal(setup.sends.length, nth + 1);
    setup.comes(nth, REFUSED);
    await setup.pass(pauseMs);
  }
  await setup.pass(50);
  assert.equal(setup.sends.length, 4);
  setup.comes(0, BROKEN);
  await setup.pass(0);
  assert.equal(setup.sends.length, 5);
  setup.comes(4, { kind: "stream_end" });
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});

// Guards against growing poll intervals, with which a new server is noticed late.
test("stream without a run is resent soon after a server becomes available", async (t) => {
  const setup = play(t);
  const { ended } = await begin(setup);
  assert.equal(setup.written.length, 1);
  await setup.pass(50);
  setup.isServerReady = false;
  setup.comes(0, BROKEN);
  await setup.pass(1650);
  assert.equal(setup.sends.length, 1);
  setup.isServerReady = true;
  await setup.pass(150);
  assert.equal(setup.sends.length, 2);
  setup.comes(1, { kind: "stream_end" });
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});
