import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { CONFIG, sendClientRequest } from "../standin/mod.ts";
import {
  openWorld,
  stateContains,
  type TestEntry,
  until,
  useConfig,
  type World,
} from "./_world.ts";

/** Long enough for every registration to lapse. */
const OUTAGE_MS = 9000;
/** Time from the end of the outage to a change that is unrelated to it. */
const UNRELATED_CHANGE_MS = 1500;

/** Step by which the clock advances while an entry that has just started gets stable. */
const STEP_MS = 1000;

/** Opens a world whose first entry has had stable contact with the store. */
async function openSettledWorld(t: TestContext): Promise<World> {
  const world = await openWorld(t);
  for (const version of [2, 3]) {
    world.clock.aheadMs += STEP_MS;
    await useConfig(world, { ...CONFIG, version });
  }
  return world;
}

/** Cuts the first entry off from the store for a while, and runs `meanwhile` during that time. */
async function outage(
  world: World,
  meanwhile: () => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  await loseStore(world);
  await meanwhile();
  await regainStore(world);
}

async function loseStore(entry: TestEntry): Promise<void> {
  entry.link.silent();
  entry.clock.aheadMs += OUTAGE_MS;
  await until(() => stateContains(entry, '"storeConnected":false'));
}

async function regainStore(entry: TestEntry): Promise<void> {
  entry.link.up();
  await until(() => stateContains(entry, '"storeConnected":true'));
}

/*
 * Guards against using a server for too long that left after an outage. The store had been down for
 * 9 s, and the server left 3 s after the recovery, which the store acknowledged. Entries used the
 * server for 2.5 s more: they took the deletion for a lapse in the outage, and started the grace
 * period for registering again at the deletion. An entry logged these lines, and sent a request to the
 * server between the last two:
 *
 *   27.63 store_lost
 *   36.93 store_regained lostMs=9312
 *   37.31 config_in_force, written at the same moment as the deletion
 *   39.85 server_left reason=registration_lapsed
 */
test("server that leaves after an outage of the store gets no more requests", async (t) => {
  const world = await openSettledWorld(t);
  // The only server, so that every request goes to it as long as it is in use.
  const leaving = await world.worker("i-1");
  await outage(world);
  world.clock.aheadMs += UNRELATED_CHANGE_MS;
  await world.store.delete("servers/i-1");
  // The configuration written after the deletion is applied, so the entry has received both.
  await useConfig(world, { ...CONFIG, version: 4 });
  assert.equal((await sendClientRequest(world, "/book/a")).status, 503);
  assert.equal(leaving.runs.length, 0);
});

test("server whose registration lapsed in an outage stays in use until the grace period is over", async (t) => {
  const world = await openSettledWorld(t);
  const returning = await world.worker("i-1");
  await world.worker("i-2");
  await outage(world, async () => {
    await world.store.delete("servers/i-1");
    await world.store.delete("servers/i-2");
  });
  await useConfig(world, { ...CONFIG, version: 4 });
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
  await world.store.put("servers/i-1", returning.entry("plain"));
  await useConfig(world, { ...CONFIG, version: 5 });
  world.clock.aheadMs += OUTAGE_MS;
  await until(() => !stateContains(world, "i-2"));
  assert.ok(stateContains(world, "i-1"));
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
});

test("entry that is still without the store keeps a server whose lapse a peer relays", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [near, far] = world.entries;
  assert.ok(near && far);
  await world.worker("i-1");
  await until(() => stateContains(far, "i-1"));
  await Promise.all([loseStore(near), loseStore(far)]);
  await world.store.delete("servers/i-1");
  // Reports of store contact from before the outage was detected no longer count.
  for (const { clock } of [near, far]) clock.aheadMs += OUTAGE_MS;
  await regainStore(near);
  // Stops the peer's clock, so that its contact with the store never counts as stable.
  near.clock.stop();
  let version = 1;
  await until(async () => {
    // Each change makes the peer report its revision.
    await world.store.putConfig({ ...CONFIG, version: ++version });
    return !stateContains(far, '"configVersion":1,');
  });
  assert.ok(stateContains(far, '"storeConnected":false'));
  assert.equal((await sendClientRequest(far, "/book/a")).status, 200);
});
