import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createForwarderSetup,
  event,
  fakeMover,
  type ForwarderSetup,
} from "./_request_forwarder_kit.ts";
import type { ForwardEnd } from "./forward_end.ts";
import { RequestForwarder } from "./request_forwarder.ts";
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
async function begin(
  setup: ForwarderSetup,
): Promise<{ ended: Promise<ForwardEnd> }> {
  const ended = RequestForwarder.create(setup.parts, setup.task).run();
  await setup.advance(0);
  setup.deliver(0, event(1));
  await setup.advance(0);
  return { ended };
}

// Guards against a run that continues on the target of its copy after the client has disconnected.
test("run whose client disconnects while it is copied is not resumed", async (t) => {
  const setup = createForwarderSetup(t);
  const { clock, choice } = setup;
  setup.parts.mover = fakeMover({
    isDue: ({ move, progress }) => progress.streamStarted && move === undefined,
    move: () => {
      clock.advance(COPY_MS);
      setup.disconnect();
      return Promise.resolve({ kind: "copied", choice });
    },
  });
  const { ended } = await begin(setup);
  assert.equal(setup.sends.length, 1);
  assert.deepEqual(await ended, { kind: "client_gone" });
});

// Guards against parts that arrive during the call but are not read before the next wait ends.
test("event that arrives during a move call is forwarded without a wait", async (t) => {
  const setup = createForwarderSetup(t);
  let calls = 0;
  setup.parts.mover = fakeMover({
    isDue: ({ move, progress }) => progress.streamStarted && move === undefined,
    move: () => {
      calls++;
      setup.deliver(0, event(2));
      setup.deliver(0, { kind: "stream_end" });
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
  const setup = createForwarderSetup(t);
  const { ended } = await begin(setup);
  assert.equal(setup.written.length, 1);
  await setup.advance(GAP_MS);
  // Other servers refuse the sends beside the silent run, and the backoff grows.
  for (const [nth, pauseMs] of [[1, 250], [2, 500], [3, 0]] as const) {
    assert.equal(setup.sends.length, nth + 1);
    setup.deliver(nth, REFUSED);
    await setup.advance(pauseMs);
  }
  await setup.advance(50);
  assert.equal(setup.sends.length, 4);
  setup.deliver(0, BROKEN);
  await setup.advance(0);
  assert.equal(setup.sends.length, 5);
  setup.deliver(4, { kind: "stream_end" });
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});

// Guards against growing poll intervals, with which a new server is noticed late.
test("stream without a run is resent soon after a server becomes available", async (t) => {
  const setup = createForwarderSetup(t);
  const { ended } = await begin(setup);
  assert.equal(setup.written.length, 1);
  await setup.advance(50);
  setup.isServerReady = false;
  setup.deliver(0, BROKEN);
  await setup.advance(1650);
  assert.equal(setup.sends.length, 1);
  setup.isServerReady = true;
  await setup.advance(150);
  assert.equal(setup.sends.length, 2);
  setup.deliver(1, { kind: "stream_end" });
  assert.deepEqual(await ended, { kind: "answered", status: 200 });
});

// Guards against sends whose answers can't start before the entry stops.
test("request whose answer is expected after the grace time is not sent", async (t) => {
  const setup = createForwarderSetup(t);
  setup.drainEndMs = setup.clock.nowMs() + setup.choice.expectedMs;
  const ended = await RequestForwarder.create(setup.parts, setup.task).run();
  assert.equal(setup.sends.length, 0);
  assert.ok(ended.kind === "given_up");
  assert.equal(ended.reason, "shutdown");
});

// Guards against noticing an end that passes within a step at the next poll only, when connections are closed.
test("request gets its answer at once if the grace time ends during a step", async (t) => {
  const setup = createForwarderSetup(t);
  setup.parts.mover = fakeMover({
    isDue: () => {
      setup.drainEndMs = setup.clock.nowMs();
      return false;
    },
  });
  let end: ForwardEnd | undefined;
  void RequestForwarder.create(setup.parts, setup.task).run().then((ended) => {
    end = ended;
  });
  await setup.advance(0);
  setup.deliver(0, { kind: "began" });
  await setup.advance(2);
  assert.ok(end?.kind === "given_up");
  assert.equal(end.reason, "shutdown");
});

// Guards against counting a run that a shutdown closes as a failure of its server.
test("run that a shutdown closes is no failure of its server", async (t) => {
  const setup = createForwarderSetup(t);
  const { ended } = await begin(setup);
  setup.isServerReady = false;
  setup.drainEndMs = setup.clock.nowMs() + 500;
  await setup.advance(750);
  const end = await ended;
  assert.ok(end.kind === "given_up");
  assert.equal(end.reason, "shutdown");
  assert.deepEqual(setup.task.progress.ends.map((text) => text.split("@")[0]), [
    "shutdown",
  ]);
  const { clock, choice } = setup;
  assert.equal(choice.server.health.failures(clock.nowMs()), 0);
});
