import assert from "node:assert/strict";
import { test } from "node:test";
import {
  completeStreamBody,
  MODEL_REQUEST_HEADERS,
  sendClientRequest,
  type StandinBackendServer,
} from "../standin/mod.ts";
import { sendAdmitted } from "./_admitted_client.ts";
import {
  openWorld,
  stateContains,
  type TestEntry,
  until,
  type World,
} from "./_world.ts";

/** An address that no other server of a test uses. */
const OTHER_ADDRESS = "127.0.0.8:0";

/** Restarts a server and waits until all entries know the new start. */
async function restart(
  world: World,
  worker: StandinBackendServer,
  { service, listenAddress }: { service: string; listenAddress?: string },
): Promise<void> {
  await worker.restart(listenAddress);
  await world.store.put(`servers/${worker.id}`, worker.entry(service));
  for (const entry of world.entries) {
    await until(() => stateContains(entry, `"bornAtMs":${worker.bornAtMs}`));
  }
}

/** Ids of the servers and stores in whose cache an entry expects something. */
async function expectedCaches(entry: TestEntry): Promise<string[]> {
  const { ipAddress, controlPort } = entry;
  const response = await fetch(`http://${ipAddress}:${controlPort}/cached`);
  const { lessons } = await response.json() as {
    lessons: { id: string; parts: unknown[] }[];
  };
  return lessons.filter(({ parts }) => parts.length > 0).map(({ id }) => id);
}

/*
 * A server crashed and restarted under its id. The entries treated it as the same server: they
 * expected prompts sent to the earlier start in its cache, and made other servers copy them from
 * it.
 */
test("prompts are not expected in the cache of a restarted server", async (t) => {
  for (const listenAddress of [undefined, OTHER_ADDRESS]) {
    const world = await openWorld(t, { entryCount: 2 });
    const [, peer] = world.entries;
    const worker = await world.engine("i-1");
    await until(() => stateContains(peer!, "i-1"));
    const { address } = worker;
    assert.equal(
      (await sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS))
        .status,
      200,
    );
    for (const entry of world.entries) {
      await until(async () => (await expectedCaches(entry)).includes("i-1"));
    }
    await restart(world, worker, { service: "engines", listenAddress });
    for (const entry of world.entries) {
      assert.deepEqual(await expectedCaches(entry), []);
    }
    assert.equal(worker.address === address, listenAddress === undefined);
    const asked = await sendClientRequest(
      world,
      "/stream/a",
      MODEL_REQUEST_HEADERS,
    );
    assert.equal(asked.body, completeStreamBody(4));
    assert.equal(worker.runs.length, 2);
    for (const { router } of world.entries) await router.stop();
  }
});

test("order lost in an engine restart is given again", async (t) => {
  for (const listenAddress of [undefined, OTHER_ADDRESS]) {
    const world = await openWorld(t);
    const engine = { model: "m", loadMs: 400 };
    const worker = await world.worker("i-1", engine);
    const other = await world.worker("i-2", engine);
    await world.store.put("op/version/m", { model: "m", version: 2 });
    await until(() => worker.orders.length === 1);
    await restart(world, worker, { service: "engines", listenAddress });
    assert.equal(worker.version, 1);
    await until(() => worker.version === 2 && other.version === 2);
    assert.equal(worker.orders.length, 2);
    await world.router.stop();
  }
});

/*
 * An engine restarted while it could not reach the store, so its registration stayed that of the
 * earlier start. Its report named the new start, but orders named the earlier one.
 */
test("engine that restarted without registering gets its orders by its report", async (t) => {
  const world = await openWorld(t);
  const worker = await world.engine("i-1");
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => worker.version === 2);
  const former = worker.entry("engines");
  await world.store.put("servers/i-1", former);
  await until(async () => {
    await sendAdmitted(world, "/stream/a", MODEL_REQUEST_HEADERS);
    return (await expectedCaches(world)).includes("i-1");
  });
  await worker.restart();
  await world.store.put("op/version/m", { model: "m", version: 3 });
  await until(() => worker.version === 3);
  assert.ok(stateContains(world, `"bornAtMs":${worker.bornAtMs}`));
  assert.deepEqual(await expectedCaches(world), []);
  // A registration of the earlier start is outdated and must be ignored.
  await world.store.put("servers/i-1", { ...former, state: "draining" });
  await world.worker("i-2");
  assert.equal(
    (await sendAdmitted(world, "/stream/a", MODEL_REQUEST_HEADERS)).status,
    200,
  );
});

test("requests that may not be repeated run once despite server restarts", async (t) => {
  const world = await openWorld(t);
  const plain = await world.worker("i-1");
  const slow = { model: "m", events: 60, eventMs: 20 };
  const engine = await world.worker("i-2", slow);
  plain.faults.hang = 1;
  const call = sendClientRequest(world, "/book/a");
  const stream = sendClientRequest(world, "/once/a", {
    ...MODEL_REQUEST_HEADERS,
    "attempt-id": "once",
  });
  await until(() => plain.runs.length === 1 && engine.runs.length === 1);
  await Promise.all([
    restart(world, plain, { service: "plain" }),
    restart(world, engine, { service: "engines" }),
  ]);
  assert.equal((await call).status, 502);
  assert.equal((await stream).isComplete, false);
  assert.equal(plain.runs.length, 1);
  assert.equal(engine.runs.length, 1);
  assert.equal((await sendClientRequest(world, "/book/b")).status, 200);
});

test("resumable stream resumes on another server when its server restarts", async (t) => {
  const world = await openWorld(t);
  const slow = { model: "m", events: 40, eventMs: 20 };
  const workers = [
    await world.worker("i-1", slow),
    await world.worker("i-2", slow),
  ];
  const answer = sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS);
  await until(() => workers.some(({ runs }) => runs.length > 0));
  const ran = workers.find(({ runs }) => runs.length > 0)!;
  await restart(world, ran, { service: "engines" });
  const { body, isComplete } = await answer;
  assert.ok(isComplete);
  assert.equal(body, completeStreamBody(40));
  assert.equal(workers.flatMap(({ runs }) => runs).length, 2);
});
