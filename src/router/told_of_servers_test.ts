import assert from "node:assert/strict";
import { test } from "node:test";
import { ask, StandinPlatformWorker } from "../standin/mod.ts";
import { knows, openWorld, until } from "./_world.ts";

/*
 * 12 of 40 engines crashed and others came up at their addresses. Nothing was under way at the
 * former ones, so each of 31 entries sent them requests until it had met the refusal itself: of
 * those that were refused in the end 540 had last been sent to a wrong server and 324 to one that
 * refused connections, while 28 engines lived.
 */
test("server whose address another one has is dropped by all entries", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [near, far] = world.entries;
  const other = await StandinPlatformWorker.create({ id: "i-2" });
  t.after(() => other.close());
  await world.store.put("servers/i-1", other.entry("plain"));
  await until(() => world.entries.every((entry) => knows(entry, '"i-1"')));
  await until(() => knows(near!, '"entries":2'));
  assert.equal((await ask(near!, "/look/a")).status, 503);
  await until(() => !knows(far!, '"i-1"'));
  assert.equal(other.runs.length, 0);
});

test("server that refuses connections is avoided by all entries", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [near, far] = world.entries;
  const dead = await world.worker("i-1");
  await until(() => world.entries.every((entry) => knows(entry, '"i-1"')));
  await until(() => knows(near!, '"entries":2'));
  await dead.down();
  assert.equal((await ask(near!, "/look/a")).status, 503);
  await until(() => knows(far!, '"isDown":true'));
});
