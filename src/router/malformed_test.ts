import assert from "node:assert/strict";
import { test } from "node:test";
import { ask, CONFIG } from "../standin/mod.ts";
import { knows, openBareWorld, openWorld, until } from "./_world.ts";
import { LAST_ROLL_KEY, ROLL_LEASE_KEY } from "./roll_lease.ts";

/*
 * One item whose value was no text made the whole list or watch that it came in count as lost. The
 * entry asked again and again, met the same item each time, and heard of nothing more: a server that
 * joined later was never used.
 */
test("item that can't be read stops neither the watch nor a list", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [, other] = world.entries;
  const spoilt = { value: 7 };
  for (const key of ["servers/i-x", "elsewhere"]) {
    world.store.spoilt.set(key, spoilt);
    await world.store.put(key, {});
  }
  await world.worker("i-1");
  assert.equal((await ask(world, "/book/a")).status, 200);
  await other!.router.stop();
  const again = await world.restart(other!);
  await until(() => knows(again, "i-1"));
  assert.ok(knows(again, '"storeConnected":true'));
});

test("server whose stored value can't be read gets nothing until it is proper", async (t) => {
  const world = await openWorld(t);
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  const [first, second] = workers;
  world.store.spoilt.set("servers/i-1", { value: "%%%%" });
  await world.store.put("servers/i-1", first!.entry("plain"));
  await until(() => !knows(world, "i-1"));
  for (let i = 0; i < 4; i++) {
    assert.equal((await ask(world, "/book/a")).status, 200);
  }
  assert.equal(first!.runs.length, 0);
  assert.equal(second!.runs.length, 4);
  world.store.spoilt.clear();
  await world.store.put("servers/i-1", first!.entry("plain"));
  await until(() => knows(world, "i-1"));
});

/*
 * Whether the lease of the roll is held, and who held it last, was read from whatever keys begin
 * with theirs. One that another writer had left there kept every entry from taking the lease.
 */
test("keys that begin as the lease's do neither hold it nor name its holder", async (t) => {
  const world = await openBareWorld(t);
  for (const key of [ROLL_LEASE_KEY, LAST_ROLL_KEY]) {
    await world.store.put(`${key}.other`, {});
  }
  await world.store.configure(CONFIG);
  const worker = await world.engine("i-1");
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => worker.version === 2);
});
