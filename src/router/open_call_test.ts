/** Safe calls at a server that is slow: another one is to be had before this one is given up. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ask, NO_FAULTS, PLAIN_BODY } from "../standin/mod.ts";
import { runsOf } from "./_patient_world.ts";
import { openWorld, until } from "./_world.ts";

/** Longer than a call waits at one server while another may be tried. */
const LATE_MS = 2600;
const GONE_MS = 60_000;
const OFTEN = 99;
const ASKED = { "deadline-ms": "4500" };

for (const refuse of [1, 3, OFTEN]) {
  // The call left the server that worked on it for one that refused, and got a failure.
  test(`call at a slow server, other server refuses ${refuse} times`, async (t) => {
    const world = await openWorld(t);
    const slow = await world.worker("i-1", {
      faults: { ...NO_FAULTS, lateMs: LATE_MS },
    });
    const answer = ask(world, "/look/a", ASKED);
    await until(() => slow.runs.length > 0);
    await world.worker("i-2", { faults: { ...NO_FAULTS, refuse } });
    const { status, body } = await answer;
    assert.equal(status, 200);
    assert.equal(body, PLAIN_BODY);
    assert.ok(runsOf(world) <= 2);
  });
}

// The same where the other server takes the call and says nothing.
test("call at a slow server, other server hangs", async (t) => {
  const world = await openWorld(t);
  const slow = await world.worker("i-1", {
    faults: { ...NO_FAULTS, lateMs: LATE_MS },
  });
  const answer = ask(world, "/look/a", ASKED);
  await until(() => slow.runs.length > 0);
  await world.worker("i-2", { faults: { ...NO_FAULTS, hang: 1 } });
  assert.equal((await answer).status, 200);
  assert.ok(runsOf(world) <= 2);
});

// Behind the head there was no wait but the deadline, whoever else could have answered.
test("server stops behind the head of a call's answer, another one answers", async (t) => {
  const world = await openWorld(t);
  const stopped = await world.worker("i-1", {
    faults: { ...NO_FAULTS, bodyLateMs: GONE_MS },
  });
  const answer = ask(world, "/look/a", ASKED);
  await until(() => stopped.runs.length > 0);
  const other = await world.worker("i-2");
  const { status, body } = await answer;
  assert.equal(status, 200);
  assert.equal(body, PLAIN_BODY);
  assert.equal(other.runs.length, 1);
});

// A server whose body is late must not be left where nobody else can answer.
test("body of a call's answer is late at the only server", async (t) => {
  for (const others of [0, 1]) {
    const world = await openWorld(t);
    const late = await world.worker("i-1", {
      faults: { ...NO_FAULTS, bodyLateMs: LATE_MS },
    });
    const answer = ask(world, "/look/a", ASKED);
    await until(() => late.runs.length > 0);
    if (others > 0) {
      await world.worker("i-2", { faults: { ...NO_FAULTS, refuse: OFTEN } });
    }
    const { status, body } = await answer;
    assert.equal(status, 200);
    assert.equal(body, PLAIN_BODY);
    await world.router.stop();
  }
});

// A call that may run once stays where it is, slow or stopped.
test("call that may run once is not run elsewhere", async (t) => {
  for (const fault of [{ lateMs: LATE_MS }, { bodyLateMs: LATE_MS }]) {
    const world = await openWorld(t);
    const late = await world.worker("i-1", {
      faults: { ...NO_FAULTS, ...fault },
    });
    const answer = ask(world, "/book/a", ASKED);
    await until(() => late.runs.length > 0);
    await world.worker("i-2");
    assert.equal((await answer).status, 200);
    assert.equal(runsOf(world), 1);
    await world.router.stop();
  }
});
