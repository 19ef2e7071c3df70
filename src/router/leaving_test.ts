import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
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

/*
 * Guards against sending requests to a leaving server during an outage of the store. The server can't
 * register then that it is leaving, and announces it only in its answers. Entries used to ignore that,
 * and sent it requests until the store was back.
 */

const ASK_COUNT = 20;
/** Longer than a change takes to reach the other entries by gossip. */
const GOSSIP_MS = 300;
/** Requests that the platform tolerates at a server that asked for a pause. */
const MAX_DURING_PAUSE = 2;

/** Opens a world with two servers; the first has just told the first entry that it is leaving. */
async function openLeaving(
  t: TestContext,
  entryCount: number,
): Promise<{ world: World; leaving: StandinBackendServer }> {
  const world = await openWorld(t, { entryCount });
  const leaving = await world.worker("i-1");
  await until(() =>
    world.entries.every((entry) => stateContains(entry, '"i-1"'))
  );
  await until(() =>
    world.entries.every((entry) =>
      stateContains(entry, `"entries":${entryCount}`)
    )
  );
  leaving.faults.leaving = true;
  assert.equal((await sendAdmitted(world, "/book/a")).status, 200);
  await world.worker("i-2");
  await until(() =>
    world.entries.every((entry) => stateContains(entry, '"i-2"'))
  );
  leaving.runs.length = 0;
  return { world, leaving };
}

async function askRepeatedly(entry: TestEntry): Promise<void> {
  for (let i = 0; i < ASK_COUNT; i++) {
    assert.equal((await sendAdmitted(entry, "/book/a")).status, 200);
  }
}

test("server that announces leaving in an answer gets no more requests", async (t) => {
  const { world, leaving } = await openLeaving(t, 1);
  await askRepeatedly(world);
  assert.equal(leaving.runs.length, 0);
});

test("leaving server gets no requests from other entries either", async (t) => {
  const { world, leaving } = await openLeaving(t, 2);
  await world.store.down();
  await sleep(GOSSIP_MS);
  await askRepeatedly(world.entries[1]!);
  assert.equal(leaving.runs.length, 0);
});

test("entry that starts while the store is down learns of leaving servers from peers", async (t) => {
  const { world, leaving } = await openLeaving(t, 2);
  await world.store.down();
  const [, second] = world.entries;
  await second!.router.stop();
  const again = await world.restart(second!);
  await until(() => stateContains(again, '"i-2"'));
  await sleep(GOSSIP_MS * 5);
  await askRepeatedly(again);
  assert.equal(leaving.runs.length, 0);
});

test("registration as ready does not override a server's own announcement", async (t) => {
  const { world, leaving } = await openLeaving(t, 1);
  await world.store.put("servers/i-1", leaving.entry("plain", { slots: 7 }));
  await world.worker("i-3");
  await askRepeatedly(world);
  assert.equal(leaving.runs.length, 0);
});

test("server that asks for a pause gets no requests until it is over", async (t) => {
  const world = await openWorld(t);
  const pausing = await world.worker("i-1");
  pausing.faults.pauseS = 60;
  await sendClientRequest(world, "/book/a");
  pausing.pauseRejections = 0;
  await sleep(GOSSIP_MS * 2);
  for (let i = 0; i < ASK_COUNT; i++) await sendClientRequest(world, "/book/a");
  assert.ok(pausing.pauseRejections <= MAX_DURING_PAUSE);
});

test("caller gets a time to retry at which a server accepts requests again", async (t) => {
  const world = await openWorld(t);
  const pausing = await world.worker("i-1");
  pausing.faults.pauseS = 60;
  await sendClientRequest(world, "/book/a");
  const { status, headers } = await sendClientRequest(world, "/book/a", {
    "deadline-ms": "600000",
  });
  assert.equal(status, 503);
  const retryAfterS = Number(headers["retry-after"]);
  assert.ok(retryAfterS > 30 && retryAfterS <= 60);
});
