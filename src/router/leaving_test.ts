import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ask, type StandinPlatformWorker } from "../standin/mod.ts";
import {
  knows,
  openWorld,
  type TestEntry,
  until,
  type World,
} from "./_world.ts";

/*
 * While the platform's store was away a server could not register that it was leaving, but said so in
 * its answers. Nobody read that, and entries went on sending to it for as long as the store was away.
 */

const ASKS = 20;
/** More than the entries take to tell each other. */
const NEWS_MS = 300;
/** Of a server that wants a pause the platform lets two requests pass. */
const MOST_IN_PAUSE = 2;

/** Two servers, the first of which has just told the first entry that it leaves. */
async function openLeaving(
  t: TestContext,
  entryCount: number,
): Promise<{ world: World; leaving: StandinPlatformWorker }> {
  const world = await openWorld(t, { entryCount });
  const leaving = await world.worker("i-1");
  await until(() => world.entries.every((entry) => knows(entry, '"i-1"')));
  await until(() =>
    world.entries.every((entry) => knows(entry, `"entries":${entryCount}`))
  );
  leaving.faults.leaving = true;
  assert.equal((await ask(world, "/book/a")).status, 200);
  await world.worker("i-2");
  await until(() => world.entries.every((entry) => knows(entry, '"i-2"')));
  leaving.runs.length = 0;
  return { world, leaving };
}

async function askOften(entry: TestEntry): Promise<void> {
  for (let i = 0; i < ASKS; i++) {
    assert.equal((await ask(entry, "/book/a")).status, 200);
  }
}

test("server whose answer says that it leaves gets no more requests", async (t) => {
  const { world, leaving } = await openLeaving(t, 1);
  await askOften(world);
  assert.equal(leaving.runs.length, 0);
});

test("server that leaves gets none from entries that did not hear it either", async (t) => {
  const { world, leaving } = await openLeaving(t, 2);
  await world.store.down();
  await sleep(NEWS_MS);
  await askOften(world.entries[1]!);
  assert.equal(leaving.runs.length, 0);
});

test("entry that starts while the store is down learns from its peers who leaves", async (t) => {
  const { world, leaving } = await openLeaving(t, 2);
  await world.store.down();
  const [, second] = world.entries;
  await second!.router.stop();
  const again = await world.restart(second!);
  await until(() => knows(again, '"i-2"'));
  await sleep(NEWS_MS * 5);
  await askOften(again);
  assert.equal(leaving.runs.length, 0);
});

test("registration that still says ready does not undo a server's own word", async (t) => {
  const { world, leaving } = await openLeaving(t, 1);
  await world.store.put("servers/i-1", leaving.entry("plain", { slots: 7 }));
  await world.worker("i-3");
  await askOften(world);
  assert.equal(leaving.runs.length, 0);
});

test("server that wants a pause gets nothing until it is over", async (t) => {
  const world = await openWorld(t);
  const tired = await world.worker("i-1");
  tired.faults.pauseS = 60;
  await ask(world, "/book/a");
  tired.turnedAway = 0;
  await sleep(NEWS_MS * 2);
  for (let i = 0; i < ASKS; i++) await ask(world, "/book/a");
  assert.ok(tired.turnedAway <= MOST_IN_PAUSE);
});

test("caller is told when the first of the servers takes requests again", async (t) => {
  const world = await openWorld(t);
  const tired = await world.worker("i-1");
  tired.faults.pauseS = 60;
  await ask(world, "/book/a");
  const { status, headers } = await ask(world, "/book/a", {
    "deadline-ms": "600000",
  });
  assert.equal(status, 503);
  const retryAfterS = Number(headers["retry-after"]);
  assert.ok(retryAfterS > 30 && retryAfterS <= 60);
});
