/** Streams that run while the weights of their engines change. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Asked, streamOf } from "../standin/mod.ts";
import { LONG_EVENTS, streamAtEach } from "./_patient_world.ts";
import { openWorld, until, type World } from "./_world.ts";

test("long runs go on elsewhere when their engine's weights are to change", async (t) => {
  for (const moveFull of [0, 9]) {
    const world = await openWorld(t);
    const { engines, answers } = await streamAtEach(world);
    for (const { faults } of engines) faults.moveFull = moveFull;
    await world.store.put("op/version/m", { model: "m", version: 2 });
    for (const answer of answers) {
      const { isWhole, body } = await answer;
      assert.equal(body, streamOf(LONG_EVENTS));
      assert.ok(isWhole);
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

// A run was moved, the engine refused it, and the budget of resends had room for the move only: the
// answer ended in the middle ("broken_off", "refused_503", servers 2, 13.3 s left).
test("run is moved only if it can be sent on once more", async (t) => {
  // Each entry's part of the budget is one resend at first.
  const world = await openWorld(t, { entryCount: 16 });
  const answers = await answersOfMovedRuns(world);
  for (const { isWhole, body } of answers) {
    assert.ok(isWhole);
    assert.equal(body, streamOf(LONG_EVENTS));
  }
});

test("copy that its engine does not take is freed, and the run resumed", async (t) => {
  const world = await openWorld(t);
  const answers = await answersOfMovedRuns(world);
  for (const { isWhole, body } of answers) {
    assert.ok(isWhole);
    assert.equal(body, streamOf(LONG_EVENTS));
  }
  const freed = world.workers.flatMap(({ freedCopies }) => freedCopies);
  assert.equal(freed.length, 1);
});

test("run that may not be repeated ends where it began", async (t) => {
  const world = await openWorld(t);
  const { engines, answers } = await streamAtEach(world, { route: "once" });
  await world.store.put("op/version/m", { model: "m", version: 2 });
  for (const answer of answers) {
    assert.equal((await answer).body, streamOf(LONG_EVENTS));
  }
  assert.equal(engines.flatMap(({ runs }) => runs).length, 2);
});

/** Two streams whose weights change while they run; the engines refuse the next run each. */
async function answersOfMovedRuns(world: World): Promise<Asked[]> {
  const { engines, answers } = await streamAtEach(world);
  for (const { faults } of engines) faults.refuse = 1;
  await world.store.put("op/version/m", { model: "m", version: 2 });
  return Promise.all(answers);
}
