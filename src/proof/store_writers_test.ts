/** Writers of the soak, against the stand-in for the store. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { StandinPlatformStore } from "../standin/mod.ts";
import { type StoreAck, StoreWriters } from "./_store_writers.ts";

const POLL_MS = 20;
const RESTORE = { copyAgeMs: 0, lostWrites: 0, awayMs: 50 };

async function start(t: TestContext, isAlive: (key: string) => boolean) {
  const store = await StandinPlatformStore.create();
  const acks: StoreAck[] = [];
  const writers = StoreWriters.create({
    store,
    random: () => 0.1,
    isAlive,
    onAck: (ack) => acks.push(ack),
  });
  t.after(async () => {
    writers.close();
    await store.close();
  });
  const has = (key: string) => store.store.table.get(key) !== undefined;
  return { store, writers, acks, has };
}

// Guards against a soak in which the fleet itself forgets what the store has lost.
test("writers write and delete again what the store has lost", async (t) => {
  const { writers, acks, has, store } = await start(t, () => true);
  await writers.write("op/config", { version: 1 });
  await writers.write("servers/gone", { state: "ready" });
  const restored = writers.restore({ ...RESTORE, copyAgeMs: 50 }, (body) => {
    assert.ok(has("servers/new"));
    return body();
  });
  await writers.write("servers/new", { state: "ready" });
  await writers.write("servers/gone", undefined);
  await restored;
  assert.ok(!has("servers/new") && has("servers/gone"));
  while (!has("servers/new") || has("servers/gone")) await sleep(POLL_MS);
  assert.ok(has("op/config"));
  const eras = (key: string) =>
    acks.filter((ack) => ack.key === key).map(({ era }) => era);
  assert.deepEqual(eras("servers/new"), [1, 2]);
  assert.deepEqual(eras("servers/gone"), [1, 1, 2]);
  assert.deepEqual(eras("op/config"), [1]);
  assert.equal(store.store.era, 2);
});

test("server that is gone writes nothing again", async (t) => {
  const { writers, has } = await start(t, (key) => key !== "servers/dead");
  const restored = writers.restore({ ...RESTORE, copyAgeMs: 50 }, (b) => b());
  await writers.write("servers/dead", { state: "ready" });
  await writers.write("servers/lives", { state: "ready" });
  await restored;
  while (!has("servers/lives")) await sleep(POLL_MS);
  await sleep(POLL_MS);
  assert.ok(!has("servers/dead"));
});

test("write to a store that is away reaches the store that comes back", async (t) => {
  const { writers, acks, has } = await start(t, () => true);
  let written = Promise.resolve();
  await writers.restore(RESTORE, (body) => {
    written = writers.write("servers/a", { state: "draining" });
    return body();
  });
  await written;
  assert.ok(has("servers/a"));
  assert.deepEqual(acks.map(({ era }) => era), [2]);
});
