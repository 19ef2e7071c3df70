/** Streams that are moved while the weights of their engines change. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ClientResponse, completeStreamBody } from "../standin/mod.ts";
import { LONG_EVENTS, startStreamPerEngine } from "./_long_timeout_kit.ts";
import { openWorld, until, type World } from "./_world.ts";

test("long runs continue at another engine when their engine's weights change", async (t) => {
  for (const moveFull of [0, 9]) {
    const world = await openWorld(t);
    const { engines, answers } = await startStreamPerEngine(world);
    for (const { faults } of engines) faults.moveFull = moveFull;
    await world.store.put("op/version/m", { model: "m", version: 2 });
    for (const answer of answers) {
      const { isComplete, body } = await answer;
      assert.equal(body, completeStreamBody(LONG_EVENTS));
      assert.ok(isComplete);
    }
    const runs = engines.flatMap(({ runs }) => runs);
    const resumed = runs.filter((run) => run.headers["last-event-id"]);
    assert.equal(resumed.length, 1);
    const copied = resumed.filter((run) => run.headers["kv-from"]);
    assert.equal(copied.length, moveFull ? 0 : 1);
    await until(() => engines.every(({ version }) => version === 2));
    await world.router.stop();
  }
});

// Guards against moving a run if the resend budget allows the move but no further send: if the target
// then refuses the run, the stream is cut although it has time left (13.3 s in the case seen).
test("run is moved only if the budget allows one more resend", async (t) => {
  // With this many entries, the initial share of each is one resend.
  const world = await openWorld(t, { entryCount: 16 });
  const answers = await answersOfMovedRuns(world);
  for (const { isComplete, body } of answers) {
    assert.ok(isComplete);
    assert.equal(body, completeStreamBody(LONG_EVENTS));
  }
});

test("copy that the target engine refuses is freed, and the run is resumed", async (t) => {
  const world = await openWorld(t);
  const answers = await answersOfMovedRuns(world);
  for (const { isComplete, body } of answers) {
    assert.ok(isComplete);
    assert.equal(body, completeStreamBody(LONG_EVENTS));
  }
  const freed = world.workers.flatMap(({ freedCopyIds }) => freedCopyIds);
  assert.equal(freed.length, 1);
});

test("run that may not be repeated is not moved", async (t) => {
  const world = await openWorld(t);
  const { engines, answers } = await startStreamPerEngine(world, {
    route: "once",
  });
  await world.store.put("op/version/m", { model: "m", version: 2 });
  for (const answer of answers) {
    assert.equal((await answer).body, completeStreamBody(LONG_EVENTS));
  }
  assert.equal(engines.flatMap(({ runs }) => runs).length, 2);
});

/** Runs two streams while their weights change; each engine refuses its next run. */
async function answersOfMovedRuns(world: World): Promise<ClientResponse[]> {
  const { engines, answers } = await startStreamPerEngine(world);
  for (const { faults } of engines) faults.refuse = 1;
  await world.store.put("op/version/m", { model: "m", version: 2 });
  return Promise.all(answers);
}
