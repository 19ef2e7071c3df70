// An engine's weights had been replaced for 16.3 s, and requests still began on them; 10 s are
// allowed. All came from one entry, which had been killed and had started again: it logged
// "listening" at 14.38 s and "weights_wanted" at 14.47 s, took the version that it found named, at
// 3.03 s, for one named just now, and would have used the old weights until 23.5 s. Its requests at
// 19.25 s were sent while every other entry had left the engine alone for 7 s.
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ask, PROMPT, streamOf } from "../standin/mod.ts";
import {
  knows,
  openWorld,
  type TestEntry,
  until,
  type World,
} from "./_world.ts";

/** Replaced weights are not used any more when they are this old. */
const RETIRED_MS = 9500;

/** Names version 2 of an engine's weights, which it does not load. */
async function replaceWeights(world: World) {
  const engine = await world.engine("i-1");
  engine.faults.refuseOrder = Infinity;
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => world.entries.every(knowsNewVersion));
  return engine;
}

function knowsNewVersion(entry: TestEntry): boolean {
  return knows(entry, '"wanted":[{"model":"m","version":2');
}

test("entry that has started again does not take replaced weights for new", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [first, second] = world.entries;
  const engine = await replaceWeights(world);
  for (const { clock } of world.entries) clock.aheadMs = RETIRED_MS;
  await second!.router.stop();
  const again = await world.restart(second!);
  await until(() =>
    knowsNewVersion(again) && knows(again, "i-1") && knows(again, `"entries":2`)
  );
  for (const entry of [first!, again]) {
    const asked = await ask(entry, "/stream/a", PROMPT);
    assert.equal(asked.status, 503, entry.name);
    assert.ok(Number(asked.headers["retry-after"]) > 0);
  }
  assert.equal(engine.runs.length, 0);
});

test("entry whom nobody tells the age takes replaced weights for old", async (t) => {
  const world = await openWorld(t);
  const engine = await replaceWeights(world);
  await world.router.stop();
  const again = await world.restart(world.entries[0]!);
  await until(() => knowsNewVersion(again) && knows(again, "i-1"));
  // Long before an entry that had heard it named would give the engine up.
  again.clock.aheadMs = RETIRED_MS / 3;
  assert.equal((await ask(again, "/stream/a", PROMPT)).status, 503);
  assert.equal(engine.runs.length, 0);
});

test("entry that thaws learns from its peer for how long weights are replaced", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [awake, frozen] = world.entries;
  await replaceWeights(world);
  // The monotonic clock of a machine that is suspended stands still.
  awake!.clock.aheadMs = RETIRED_MS;
  let status = 200;
  // Far below the time after which it would give the engine up by itself.
  for (let i = 0; i < 40 && status === 200; i++) {
    await sleep(100);
    status = (await ask(frozen!, "/stream/a", PROMPT)).status;
  }
  assert.equal(status, 503);
});

test("entry that hears late of new weights counts their age from its last contact", async (t) => {
  const world = await openWorld(t);
  const engine = await world.engine("i-1");
  engine.faults.refuseOrder = Infinity;
  world.link.down();
  await until(() => knows(world, '"storeConnected":false'));
  await world.store.put("op/version/m", { model: "m", version: 2 });
  world.entries[0]!.clock.aheadMs = RETIRED_MS;
  world.link.up();
  await until(() => knowsNewVersion(world));
  // As old as it can be, the version leaves its former one as long as one of unknown age.
  world.entries[0]!.clock.aheadMs += RETIRED_MS / 3;
  assert.equal((await ask(world, "/stream/a", PROMPT)).status, 503);
  assert.equal(engine.runs.length, 0);
});

// Two requests reached an engine 7.5 s after its weights had been replaced, when that was still
// allowed, waited 2.6 s in its queue ("expectedMs" 456, "ttftMs" 2508) and began at 10.05 s and
// 10.16 s, when it was not. Nothing took them back.
test("request that has not begun on replaced weights in time is taken back", async (t) => {
  const world = await openWorld(t, { weightsBoundMs: 1500 });
  const engine = await world.engine("i-1");
  engine.faults.refuseOrder = Infinity;
  engine.faults.hang = 1;
  const asked = ask(world, "/once/a", PROMPT);
  await until(() => engine.runs.length === 1);
  await world.store.put("op/version/m", { model: "m", version: 2 });
  // At the client's deadline it would be 504.
  assert.equal((await asked).status, 502);
});

// All entries lost power 0.65 s after a request had been sent, 5.7 s after its engine's weights had
// been replaced; nobody was left to take it back, and the engine began it 4.4 s later, at 10.07 s.
test("engine itself gives up what waits on replaced weights beyond the bound", async (t) => {
  const boundMs = 10_000;
  const ageMs = 5700;
  const world = await openWorld(t, { weightsBoundMs: boundMs });
  const engine = await replaceWeights(world);
  world.entries[0]!.clock.aheadMs = ageMs;
  const headers = { ...PROMPT, "deadline-ms": "15000" };
  assert.equal((await ask(world, "/stream/a", headers)).status, 200);
  const [run] = engine.runs;
  assert.ok(Number(run?.headers["deadline-ms"]) < boundMs - ageMs);
});

// A stream's engine was told to end it when its weights had to begin nothing more; the run was cut
// there (at 15.754 s, 1.26 s after it had begun), and the caller's connection closed in the middle.
test("stream that its engine ends with the old weights' time goes on at another", async (t) => {
  const world = await openWorld(t, { weightsBoundMs: 1500 });
  const slow = { model: "m", events: 40, eventMs: 50 };
  const engines = [
    await world.worker("i-1", slow),
    await world.worker("i-2", slow),
  ];
  for (const engine of engines) engine.faults.refuseOrder = Infinity;
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => world.entries.every(knowsNewVersion));
  const asked = ask(world, "/stream/a", {
    ...PROMPT,
    "token-usage": "1200,20",
  });
  await until(() => engines.some(({ runs }) => runs.length > 0));
  const other = engines.find(({ runs }) => runs.length === 0)!;
  // The other engine takes the new weights, and is not behind any more.
  other.faults.refuseOrder = 0;
  const answer = await asked;
  assert.equal(answer.status, 200);
  assert.equal(answer.body, streamOf(40));
  assert.equal(other.runs.length, 1);
});

// An engine that refused a request for its weights, and did not say which it has, counted as one
// with the newest, and was never ordered them.
test("engine that does not say which weights it has is still ordered the new ones", async (t) => {
  const world = await openWorld(t);
  const engine = await replaceWeights(world);
  engine.faults.refuseWeights = 1;
  await ask(world, "/stream/a", PROMPT);
  assert.equal(engine.faults.refuseWeights, 0);
  engine.faults.refuseOrder = 0;
  await until(() => engine.version === 2);
});
