import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { ask, CONFIG } from "../standin/mod.ts";
import {
  knows,
  openWorld,
  type TestEntry,
  until,
  useConfig,
  type World,
} from "./_world.ts";

/** Long enough for every registration to lapse. */
const OUTAGE_MS = 9000;
/** From the entry's regaining the store to a change that has nothing to do with the outage. */
const LATER_MS = 1500;

/** Parts of the time that an entry which has just started takes to be settled. */
const PART_MS = 1000;

/** A world whose first entry has been served by the store for a while. */
async function openSettledWorld(t: TestContext): Promise<World> {
  const world = await openWorld(t);
  for (const version of [2, 3]) {
    world.clock.aheadMs += PART_MS;
    await useConfig(world, { ...CONFIG, version });
  }
  return world;
}

/** The store answers the first entry nothing for a while; `meanwhile` happens at the store. */
async function outage(
  world: World,
  meanwhile: () => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  await lose(world);
  await meanwhile();
  await regain(world);
}

async function lose(entry: TestEntry): Promise<void> {
  entry.link.silent();
  entry.clock.aheadMs += OUTAGE_MS;
  await until(() => knows(entry, '"storeConnected":false'));
}

async function regain(entry: TestEntry): Promise<void> {
  entry.link.up();
  await until(() => knows(entry, '"storeConnected":true'));
}

/*
 * The store had answered nobody for nine seconds. A server left three seconds after it was back; the
 * store acknowledged that, and entries used the server for 2.5 s more. They took the deletion for a
 * registration that had lapsed in the outage, though it was made after it, and counted the time that
 * such a server is given to return from the deletion. An entry's log had these lines, and between
 * the last two a request to the server:
 *
 *   27.63 store_lost
 *   36.93 store_regained lostMs=9312
 *   37.31 config_in_force, written in the same moment as the deletion
 *   39.85 server_left reason=registration_lapsed
 */
test("server that leaves after an outage of the store gets nothing more", async (t) => {
  const world = await openSettledWorld(t);
  // The only one, so that every request is sent to it as long as it is used.
  const leaving = await world.worker("i-1");
  await outage(world);
  world.clock.aheadMs += LATER_MS;
  await world.store.delete("servers/i-1");
  // What is written after the deletion is in force, so the entry knows of both.
  await useConfig(world, { ...CONFIG, version: 4 });
  assert.equal((await ask(world, "/book/a")).status, 503);
  assert.equal(leaving.runs.length, 0);
});

test("server whose registration lapsed in an outage of the store is used until it had time to return", async (t) => {
  const world = await openSettledWorld(t);
  const returning = await world.worker("i-1");
  await world.worker("i-2");
  await outage(world, async () => {
    await world.store.delete("servers/i-1");
    await world.store.delete("servers/i-2");
  });
  await useConfig(world, { ...CONFIG, version: 4 });
  assert.equal((await ask(world, "/book/a")).status, 200);
  await world.store.put("servers/i-1", returning.entry("plain"));
  await useConfig(world, { ...CONFIG, version: 5 });
  world.clock.aheadMs += OUTAGE_MS;
  await until(() => !knows(world, "i-2"));
  assert.ok(knows(world, "i-1"));
  assert.equal((await ask(world, "/book/a")).status, 200);
});

test("entry that the store doesn't answer yet keeps a server whose lapse a peer tells", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [near, far] = world.entries;
  assert.ok(near && far);
  await world.worker("i-1");
  await until(() => knows(far, "i-1"));
  await Promise.all([lose(near), lose(far)]);
  await world.store.delete("servers/i-1");
  // What each said before it noticed the outage no longer counts.
  for (const { clock } of [near, far]) clock.aheadMs += OUTAGE_MS;
  await regain(near);
  // The peer has not been served for long, however long the rest takes.
  near.clock.stop();
  let version = 1;
  await until(async () => {
    // Each makes the peer tell how far it is.
    await world.store.configure({ ...CONFIG, version: ++version });
    return !knows(far, '"configVersion":1,');
  });
  assert.ok(knows(far, '"storeConnected":false'));
  assert.equal((await ask(far, "/book/a")).status, 200);
});
