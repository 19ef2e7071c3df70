// Guards against an entry that restarts and treats replaced weights as new. The restarted entry
// took a version published 11 s before for one published just now, and sent requests to the old
// weights 16.3 s after they had been replaced (10 s are allowed), 7 s after all other entries had
// stopped.
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  completeStreamBody,
  MODEL_REQUEST_HEADERS,
  sendClientRequest,
} from "../standin/mod.ts";
import {
  openWorld,
  stateContains,
  type TestEntry,
  until,
  type World,
} from "./_world.ts";

/** Age from which replaced weights get no new requests. */
const RETIRED_MS = 9500;

/** Publishes version 2 of an engine's weights, which the engine does not load. */
async function replaceWeights(world: World) {
  const engine = await world.engine("i-1");
  engine.faults.refuseOrder = Infinity;
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => world.entries.every(knowsNewVersion));
  return engine;
}

function knowsNewVersion(entry: TestEntry): boolean {
  return stateContains(entry, '"wanted":[{"model":"m","version":2');
}

test("restarted entry does not treat replaced weights as new", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [first, second] = world.entries;
  const engine = await replaceWeights(world);
  for (const { clock } of world.entries) clock.aheadMs = RETIRED_MS;
  await second!.router.stop();
  const again = await world.restart(second!);
  await until(() =>
    knowsNewVersion(again) && stateContains(again, "i-1") &&
    stateContains(again, `"entries":2`)
  );
  for (const entry of [first!, again]) {
    const asked = await sendClientRequest(
      entry,
      "/stream/a",
      MODEL_REQUEST_HEADERS,
    );
    assert.equal(asked.status, 503, entry.name);
    assert.ok(Number(asked.headers["retry-after"]) > 0);
  }
  assert.equal(engine.runs.length, 0);
});

test("restarted entry without peers assumes that replaced weights are old", async (t) => {
  const world = await openWorld(t);
  const engine = await replaceWeights(world);
  await world.router.stop();
  const again = await world.restart(world.entries[0]!);
  await until(() => knowsNewVersion(again) && stateContains(again, "i-1"));
  // An entry that had observed the publication would use the engine for much longer.
  again.clock.aheadMs = RETIRED_MS / 3;
  assert.equal(
    (await sendClientRequest(again, "/stream/a", MODEL_REQUEST_HEADERS)).status,
    503,
  );
  assert.equal(engine.runs.length, 0);
});

test("resumed entry learns the age of replaced weights from its peer", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [running, suspended] = world.entries;
  await replaceWeights(world);
  // The monotonic clock of a suspended instance does not advance.
  running!.clock.aheadMs = RETIRED_MS;
  let status = 200;
  // Much less than the time after which the entry itself would stop using the engine.
  for (let i = 0; i < 40 && status === 200; i++) {
    await sleep(100);
    status =
      (await sendClientRequest(suspended!, "/stream/a", MODEL_REQUEST_HEADERS))
        .status;
  }
  assert.equal(status, 503);
});

test("entry that sees new weights late counts their age from its last store contact", async (t) => {
  const world = await openWorld(t);
  const engine = await world.engine("i-1");
  engine.faults.refuseOrder = Infinity;
  world.link.down();
  await until(() => stateContains(world, '"storeConnected":false'));
  await world.store.put("op/version/m", { model: "m", version: 2 });
  world.entries[0]!.clock.aheadMs = RETIRED_MS;
  world.link.up();
  await until(() => knowsNewVersion(world));
  // The version gets its maximum age, so that the replaced one is used as long as one of unknown
  // age.
  world.entries[0]!.clock.aheadMs += RETIRED_MS / 3;
  assert.equal(
    (await sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS)).status,
    503,
  );
  assert.equal(engine.runs.length, 0);
});

// Guards against queued requests that start too late: two requests were sent 7.5 s after the
// weights had been replaced, waited 2.6 s in the engine's queue and started after 10.05 s and
// 10.16 s.
test("request that has not started on replaced weights in time is cancelled", async (t) => {
  const world = await openWorld(t, { weightsBoundMs: 1500 });
  const engine = await world.engine("i-1");
  engine.faults.refuseOrder = Infinity;
  engine.faults.hang = 1;
  const asked = sendClientRequest(world, "/once/a", MODEL_REQUEST_HEADERS);
  await until(() => engine.runs.length === 1);
  await world.store.put("op/version/m", { model: "m", version: 2 });
  // If the request waited until the client's deadline, the status would be 504.
  assert.equal((await asked).status, 502);
});

// Guards against late starts when no entry is left to cancel a request: all entries lost power
// 0.65 s after a request had been sent, 5.7 s after the weights had been replaced, and the engine
// started it 4.4 s later, at 10.07 s.
test("engine gets a deadline for requests that wait on replaced weights", async (t) => {
  const boundMs = 10_000;
  const ageMs = 5700;
  const world = await openWorld(t, { weightsBoundMs: boundMs });
  const engine = await replaceWeights(world);
  world.entries[0]!.clock.aheadMs = ageMs;
  const headers = { ...MODEL_REQUEST_HEADERS, "deadline-ms": "15000" };
  assert.equal(
    (await sendClientRequest(world, "/stream/a", headers)).status,
    200,
  );
  const [run] = engine.runs;
  assert.ok(Number(run?.headers["deadline-ms"]) < boundMs - ageMs);
});

// Guards against truncated streams: an engine ended a run 1.26 s after its start, at the deadline
// for its replaced weights, and the client's connection was closed in the middle of the answer.
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
  const asked = sendClientRequest(world, "/stream/a", {
    ...MODEL_REQUEST_HEADERS,
    "token-usage": "1200,20",
  });
  await until(() => engines.some(({ runs }) => runs.length > 0));
  const other = engines.find(({ runs }) => runs.length === 0)!;
  // The other engine loads the new weights, so that its weights are current.
  other.faults.refuseOrder = 0;
  const answer = await asked;
  assert.equal(answer.status, 200);
  assert.equal(answer.body, completeStreamBody(40));
  assert.equal(other.runs.length, 1);
});

// Guards against engines that are never ordered: an engine that refused a request because of its
// weights, without reporting its version, was assumed to have the newest version.
test("engine that refuses a request without its weights version is still ordered", async (t) => {
  const world = await openWorld(t);
  const engine = await replaceWeights(world);
  engine.faults.refuseWeights = 1;
  await sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS);
  assert.equal(engine.faults.refuseWeights, 0);
  engine.faults.refuseOrder = 0;
  await until(() => engine.version === 2);
});
