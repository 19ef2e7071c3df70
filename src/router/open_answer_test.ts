/**
 * Open answers of an engine that pauses: the router must not abandon the run because of the momentary
 * state of other engines.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  NO_FAULTS,
  sendClientRequest,
  toRequestHeaders,
} from "../standin/mod.ts";
import {
  askOtherRequest,
  askUntilAccepted,
  assertAllComplete,
  createClosedGate,
  LONG_TIMEOUT_HEADERS,
  openLongTimeoutSetup,
  refuseFor,
  runsOf,
} from "./_long_timeout_kit.ts";
import {
  assertSurvivesPause,
  EVERY_TIME,
  GONE_MS,
  PAUSE_MS,
  pausedStream,
} from "./_paused_stream.ts";
import { until } from "./_world.ts";

// Guards against using up the request's sends on early refusals, with a longer refusal and less time.
test("engine stops, the only other one refuses for two seconds", async (t) => {
  const { world, others, answer } = await pausedStream(
    t,
    [{ refuse: Infinity }],
    { stall: { afterEvent: 2, pauseMs: GONE_MS }, timeMs: 10_000 },
  );
  const [other] = others;
  await until(() => other!.refused > 0);
  refuseFor(other!, 2000);
  assertAllComplete(world, [await answer]);
});

// Guards against ending the run when the other engine refuses because of its weights version.
test("pause while the other engine refuses because of its weights", async (t) => {
  await assertSurvivesPause(t, [{ refuseWeights: EVERY_TIME }]);
});

// Guards against ending the run when the other engine asks for a pause and can't be used.
test("pause while the other engine asks for a pause", async (t) => {
  await assertSurvivesPause(t, [{ pauseS: 20 }]);
});

// Guards against ending the run for a send whose connection was refused.
test("pause while the other engine's port is closed", async (t) => {
  const { world, others, answer } = await pausedStream(t, [{}]);
  await others[0]!.down();
  assertAllComplete(world, [await answer]);
  assert.equal(runsOf(world), 1);
});

// Guards against ending the run for an engine that accepts the request and then hangs.
test("engine resumes while the other one hangs", async (t) => {
  const { world, answer } = await pausedStream(t, [{ hang: 1 }], {
    timeMs: 10_000,
  });
  assertAllComplete(world, [await answer]);
  assert.ok(runsOf(world) <= 2);
});

// The same before the first event: the answer comes from the engine that responds first.
test("engine starts its answer while the other one hangs", async (t) => {
  const stall = { afterEvent: 0, pauseMs: PAUSE_MS };
  const { world, answer } = await pausedStream(t, [{ hang: 1 }], {
    timeMs: 10_000,
    stall,
  });
  assertAllComplete(world, [await answer]);
  assert.ok(runsOf(world) <= 2);
});

// Guards against closing the silent run for another run that sends its head and no event.
test("engine resumes while the other one stops after its head", async (t) => {
  for (const afterEvent of [0, 2]) {
    const { world, answer } = await pausedStream(
      t,
      [{ stall: { afterEvent, pauseMs: GONE_MS, isAfterHeaders: true } }],
      {
        stall: { afterEvent, pauseMs: PAUSE_MS },
        timeMs: 9000,
        maxAttempts: 2,
      },
    );
    assertAllComplete(world, [await answer]);
    await world.router.stop();
  }
});

// Guards against keeping a stream only at a hung engine because it seems to be queued there behind
// another request.
test("engine hangs after another answer while a free one is available", async (t) => {
  const world = await openLongTimeoutSetup(t);
  const gate = createClosedGate();
  const faults = {
    ...NO_FAULTS,
    stall: { afterEvent: 0, pauseMs: 0, opened: gate.opened },
  };
  const first = await world.worker("i-1", { model: "m", faults });
  const before = askOtherRequest(world, 1);
  await until(() => first.runs.length === 1);
  faults.hang = 1;
  const headers = {
    ...LONG_TIMEOUT_HEADERS,
    ...toRequestHeaders({ timeMs: 9000 }),
  };
  const answer = askUntilAccepted(world, "/stream/a", { headers });
  await until(() => first.runs.length === 2);
  gate.open();
  await before;
  await world.engine("i-2");
  assertAllComplete(world, [await answer], { requests: 2 });
});

// Guards against two engines running the same stream to its end: wasted work and duplicate events.
test("silent run is closed once the other engine has answered", async (t) => {
  for (const afterEvent of [0, 2]) {
    const stall = { afterEvent, pauseMs: GONE_MS };
    const { world, pausing, answer } = await pausedStream(t, [{}], { stall });
    assertAllComplete(world, [await answer]);
    assert.equal(runsOf(world), 2);
    await until(() => pausing.streams === 0);
    await world.router.stop();
  }
});

// Guards against merging the events of both engines if the silent one resumes when the other answers.
test("two engines that answer at the same time deliver each event once", async (t) => {
  for (const afterEvent of [0, 2]) {
    const gate = createClosedGate();
    const stall = { afterEvent, pauseMs: 0, opened: gate.opened };
    const { world, pausing, others, answer } = await pausedStream(
      t,
      [{ stall: { ...stall, isAfterHeaders: true } }],
      { stall },
    );
    await until(() => others[0]!.runs.length > 0);
    gate.open();
    assertAllComplete(world, [await answer]);
    await until(() => pausing.streams + others[0]!.streams === 0);
    await world.router.stop();
  }
});

// Guards against running a request elsewhere during a pause if it may run only once.
test("stream that may run once stays at its engine during pauses", async (t) => {
  for (
    const [path, maxAttempts] of [["/stream/a", 1], ["/once/a", 2]] as const
  ) {
    for (const afterEvent of [0, 2]) {
      const { world, answer } = await pausedStream(t, [{}], {
        path,
        maxAttempts,
        stall: { afterEvent, pauseMs: PAUSE_MS },
      });
      assertAllComplete(world, [await answer]);
      assert.equal(runsOf(world), 1);
      await world.router.stop();
    }
  }
});

// Guards against keeping a request waiting, as for an open answer, that no engine has accepted.
test("request that no engine takes is refused as not run", async (t) => {
  const world = await openLongTimeoutSetup(t);
  for (const id of ["i-1", "i-2"]) {
    const faults = { ...NO_FAULTS, refuse: Infinity };
    await world.worker(id, { model: "m", faults });
  }
  const { status, headers } = await sendClientRequest(
    world,
    "/stream/a",
    LONG_TIMEOUT_HEADERS,
  );
  assert.equal(status, 503);
  assert.ok(Number(headers["retry-after"]) > 0);
  assert.equal(runsOf(world), 0);
});
