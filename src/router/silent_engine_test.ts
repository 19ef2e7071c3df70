import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ask,
  CONFIG,
  NO_FAULTS,
  type StandinPlatformWorker,
  streamOf,
} from "../standin/mod.ts";
import {
  ASKED,
  assertWhole,
  LONG_EVENTS,
  openPatientWorld,
  runsOf,
  streamAtEach,
} from "./_patient_world.ts";
import { openWorld, until, useConfig, type World } from "./_world.ts";

/** Longer than a stream may pause while another engine can go on with it. */
const PAUSE_MS = 1800;
const GONE_MS = 60_000;

/** An engine whose streams all pause behind an event. */
function pausing(
  world: World,
  id: string,
  afterEvent = 2,
): Promise<StandinPlatformWorker> {
  const stall = { afterEvent, pauseMs: PAUSE_MS };
  return world.worker(id, { model: "m", faults: { ...NO_FAULTS, stall } });
}

// A stream was cut after 1.2 s of its engine's silence though nobody could go on with it.
test("stream of the only engine outlasts a pause, wherever it is", async (t) => {
  for (const afterEvent of [0, 2, 3]) {
    const world = await openPatientWorld(t);
    await pausing(world, "i-1", afterEvent);
    assertWhole(await ask(world, "/stream/a", ASKED), `after ${afterEvent}`);
    assert.equal(runsOf(world), 1);
    await world.router.stop();
  }
});

test("stream that has no attempt left outlasts a pause", async (t) => {
  const world = await openPatientWorld(t, { maxAttempts: 1 });
  await pausing(world, "i-1");
  await pausing(world, "i-2");
  assertWhole(await ask(world, "/stream/a", ASKED));
  assert.equal(runsOf(world), 1);
});

test("stream that was sent four times outlasts a pause", async (t) => {
  const world = await openPatientWorld(t);
  // Whichever engines come first refuse.
  const stall = { afterEvent: 2, pauseMs: PAUSE_MS };
  const faults = { ...NO_FAULTS, refuse: 3, stall };
  for (const id of ["i-1", "i-2", "i-3", "i-4", "i-5"]) {
    await world.worker(id, { model: "m", faults });
  }
  assertWhole(await ask(world, "/stream/a", ASKED));
  assert.equal(runsOf(world), 1);
});

test("stream without a budget to resend outlasts pauses", async (t) => {
  // Each entry's part of the budget is one resend at first.
  const world = await openPatientWorld(t, { entryCount: 16, maxAttempts: 9 });
  for (const id of ["i-1", "i-2", "i-3"]) await pausing(world, id);
  assertWhole(await ask(world, "/stream/a", ASKED));
});

test("stream that broke and paused at its last engine is whole", async (t) => {
  const world = await openPatientWorld(t);
  // Whichever engine is first breaks off.
  const faults = {
    ...NO_FAULTS,
    cutAfterEvents: 1,
    stall: { afterEvent: 2, pauseMs: PAUSE_MS },
  };
  await world.worker("i-1", { model: "m", faults });
  await world.worker("i-2", { model: "m", faults });
  assertWhole(await ask(world, "/stream/a", ASKED));
  assert.equal(runsOf(world), 2);
});

test("run whose copy was refused outlasts a pause where it goes on", async (t) => {
  const world = await openPatientWorld(t);
  const { engines, answers } = await streamAtEach(world, { headers: ASKED });
  for (const { faults } of engines) {
    faults.refuse = 1;
    faults.stall = { afterEvent: 50, pauseMs: PAUSE_MS };
  }
  await world.store.put("op/version/m", { model: "m", version: 2 });
  for (const { body, isWhole } of await Promise.all(answers)) {
    assert.ok(isWhole);
    assert.equal(body, streamOf(LONG_EVENTS));
  }
});

test("stream outlasts a pause while a configuration comes", async (t) => {
  const world = await openPatientWorld(t);
  const engine = await pausing(world, "i-1");
  const answer = ask(world, "/stream/a", ASKED);
  await until(() => engine.runs.length > 0);
  await useConfig(world, { ...CONFIG, version: 3 });
  assertWhole(await answer);
});

test("stream of an engine that is gone goes on elsewhere", async (t) => {
  for (const afterEvent of [0, 2]) {
    const world = await openPatientWorld(t);
    // Whichever engine is first says nothing more.
    const stalls = [{ afterEvent, pauseMs: GONE_MS }];
    const faults = {
      ...NO_FAULTS,
      get stall() {
        return stalls.shift();
      },
    };
    await world.worker("i-1", { model: "m", faults });
    await world.worker("i-2", { model: "m", faults });
    assertWhole(await ask(world, "/stream/a", ASKED), `after ${afterEvent}`);
    assert.equal(runsOf(world), 2);
    await world.router.stop();
  }
});

test("call that only one server can take is waited for", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.lateMs = PAUSE_MS;
  const asked = await ask(world, "/look/a", { "deadline-ms": "4000" });
  assert.equal(asked.status, 200);
  assert.equal(worker.runs.length, 1);
});

// The failure of the only server that had answered was kept back for one that said nothing.
test("server's own failure is passed on beside a silent run", async (t) => {
  const world = await openWorld(t);
  const hangs = { ...NO_FAULTS, hang: 1 };
  const first = await world.worker("i-1", { faults: hangs });
  const answer = ask(world, "/look/a", { "deadline-ms": "4500" });
  await until(() => first.runs.length > 0);
  await world.worker("i-2", { faults: { ...NO_FAULTS, fail: 1 } });
  assert.equal((await answer).status, 500);
});
