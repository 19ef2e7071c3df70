import assert from "node:assert/strict";
import { test } from "node:test";
import { CONFIG, sendClientRequest } from "../standin/mod.ts";
import { openBareWorld, openWorld, stateContains, until } from "./_world.ts";
import { LAST_ROLL_KEY, ROLL_LEASE_KEY } from "./roll_lease.ts";

/*
 * Guards against an item whose value is not a string and makes the entry discard the whole list or
 * watch response. The entry then retried forever, met the same item each time and missed all updates:
 * servers that joined later were never used.
 */
test("unreadable item stops neither the watch nor a list", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [, other] = world.entries;
  const spoilt = { value: 7 };
  for (const key of ["servers/i-x", "elsewhere"]) {
    world.store.fieldOverrides.set(key, spoilt);
    await world.store.put(key, {});
  }
  await world.worker("i-1");
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  await other!.router.stop();
  const again = await world.restart(other!);
  await until(() => stateContains(again, "i-1"));
  assert.ok(stateContains(again, '"storeConnected":true'));
});

test("server with an unreadable registration gets no requests until it is repaired", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  const [first, second] = workers;
  world.store.fieldOverrides.set("servers/i-1", { value: "%%%%" });
  await world.store.put("servers/i-1", first!.entry("plain"));
  await until(() => !stateContains(world, "i-1"));
  for (let i = 0; i < 4; i++) {
    assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  }
  assert.equal(first!.runs.length, 0);
  assert.equal(second!.runs.length, 4);
  world.store.fieldOverrides.clear();
  await world.store.put("servers/i-1", first!.entry("plain"));
  await until(() => stateContains(world, "i-1"));
});

/*
 * Guards against reading the roll lease and its last holder from any key with the same prefix: a key
 * of another writer then kept every entry from acquiring the lease.
 */
test("keys with the prefix of the lease's keys neither hold the lease nor name its holder", async (t) => {
  const world = await openBareWorld(t);
  for (const key of [ROLL_LEASE_KEY, LAST_ROLL_KEY]) {
    await world.store.put(`${key}.other`, {});
  }
  await world.store.putConfig(CONFIG);
  const worker = await world.engine("i-1");
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => worker.version === 2);
});
