import assert from "node:assert/strict";
import { test } from "node:test";
import {
  completeStreamBody,
  CONFIG,
  NO_FAULTS,
  sendClientRequest,
  type StandinBackendServer,
} from "../standin/mod.ts";
import { sendAdmitted } from "./_admitted_client.ts";
import {
  assertComplete,
  LONG_EVENTS,
  LONG_TIMEOUT_HEADERS,
  openLongTimeoutSetup,
  runsOf,
  startStreamPerEngine,
} from "./_long_timeout_kit.ts";
import { openWorld, until, useConfig, type World } from "./_world.ts";

/** Longer than a stream may pause while another engine could resume it. */
const PAUSE_MS = 1800;
const HANG_MS = 60_000;

/** Starts an engine whose streams all pause after an event. */
function startPausingEngine(
  world: World,
  id: string,
  afterEvent = 2,
): Promise<StandinBackendServer> {
  const stall = { afterEvent, pauseMs: PAUSE_MS };
  return world.worker(id, { model: "m", faults: { ...NO_FAULTS, stall } });
}

// A stream was closed after its engine was silent for 1.2 s, although no other engine could resume
// it.
test("stream of the only engine survives a pause at any event", async (t) => {
  for (const afterEvent of [0, 2, 3]) {
    const world = await openLongTimeoutSetup(t);
    await startPausingEngine(world, "i-1", afterEvent);
    assertComplete(
      await sendClientRequest(world, "/stream/a", LONG_TIMEOUT_HEADERS),
      `after ${afterEvent}`,
    );
    assert.equal(runsOf(world), 1);
    await world.router.stop();
  }
});

test("stream without attempts left survives a pause", async (t) => {
  const world = await openLongTimeoutSetup(t, { maxAttempts: 1 });
  await startPausingEngine(world, "i-1");
  await startPausingEngine(world, "i-2");
  assertComplete(
    await sendClientRequest(world, "/stream/a", LONG_TIMEOUT_HEADERS),
  );
  assert.equal(runsOf(world), 1);
});

test("stream that was sent four times survives a pause", async (t) => {
  const world = await openLongTimeoutSetup(t);
  // The first engines to get the request refuse it, whichever they are.
  const stall = { afterEvent: 2, pauseMs: PAUSE_MS };
  const faults = { ...NO_FAULTS, refuse: 3, stall };
  for (const id of ["i-1", "i-2", "i-3", "i-4", "i-5"]) {
    await world.worker(id, { model: "m", faults });
  }
  assertComplete(
    await sendAdmitted(world, "/stream/a", LONG_TIMEOUT_HEADERS),
  );
  assert.equal(runsOf(world), 1);
});

test("stream without a resend budget survives pauses", async (t) => {
  // Each entry's share of the budget is one resend at first.
  const world = await openLongTimeoutSetup(t, {
    entryCount: 16,
    maxAttempts: 9,
  });
  for (const id of ["i-1", "i-2", "i-3"]) await startPausingEngine(world, id);
  assertComplete(
    await sendClientRequest(world, "/stream/a", LONG_TIMEOUT_HEADERS),
  );
});

test("stream that broke and paused on its last engine is complete", async (t) => {
  const world = await openLongTimeoutSetup(t);
  // The first engine to get the request breaks the stream, whichever it is.
  const faults = {
    ...NO_FAULTS,
    cutAfterEvents: 1,
    stall: { afterEvent: 2, pauseMs: PAUSE_MS },
  };
  await world.worker("i-1", { model: "m", faults });
  await world.worker("i-2", { model: "m", faults });
  assertComplete(
    await sendClientRequest(world, "/stream/a", LONG_TIMEOUT_HEADERS),
  );
  assert.equal(runsOf(world), 2);
});

test("run whose copy was refused survives a later pause", async (t) => {
  const world = await openLongTimeoutSetup(t);
  const { engines, answers } = await startStreamPerEngine(world, {
    headers: LONG_TIMEOUT_HEADERS,
  });
  for (const { faults } of engines) {
    faults.refuse = 1;
    faults.stall = { afterEvent: 50, pauseMs: PAUSE_MS };
  }
  await world.store.put("op/version/m", { model: "m", version: 2 });
  for (const { body, isComplete } of await Promise.all(answers)) {
    assert.ok(isComplete);
    assert.equal(body, completeStreamBody(LONG_EVENTS));
  }
});

test("stream survives a pause during a configuration change", async (t) => {
  const world = await openLongTimeoutSetup(t);
  const engine = await startPausingEngine(world, "i-1");
  const answer = sendClientRequest(world, "/stream/a", LONG_TIMEOUT_HEADERS);
  await until(() => engine.runs.length > 0);
  await useConfig(world, { ...CONFIG, version: 3 });
  assertComplete(await answer);
});

test("stream of a hung engine resumes on another engine", async (t) => {
  for (const afterEvent of [0, 2]) {
    const world = await openLongTimeoutSetup(t);
    // The first engine to get the request goes silent, whichever it is.
    const stalls = [{ afterEvent, pauseMs: HANG_MS }];
    const faults = {
      ...NO_FAULTS,
      get stall() {
        return stalls.shift();
      },
    };
    await world.worker("i-1", { model: "m", faults });
    await world.worker("i-2", { model: "m", faults });
    assertComplete(
      await sendAdmitted(world, "/stream/a", LONG_TIMEOUT_HEADERS),
      `after ${afterEvent}`,
    );
    assert.equal(runsOf(world), 2);
    await world.router.stop();
  }
});

test("router waits for a call that only one server can take", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  worker.faults.lateMs = PAUSE_MS;
  const asked = await sendClientRequest(world, "/look/a", {
    "deadline-ms": "4000",
  });
  assert.equal(asked.status, 200);
  assert.equal(worker.runs.length, 1);
});

// The failure returned by the only server that answered was withheld while a silent run was open.
test("failure of a server is returned despite a silent run on another", async (t) => {
  const world = await openWorld(t);
  const hangs = { ...NO_FAULTS, hang: 1 };
  const first = await world.worker("i-1", { faults: hangs });
  const answer = sendClientRequest(world, "/look/a", { "deadline-ms": "4500" });
  await until(() => first.runs.length > 0);
  await world.worker("i-2", { faults: { ...NO_FAULTS, fail: 1 } });
  assert.equal((await answer).status, 500);
});
