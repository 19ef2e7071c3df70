import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ask, NO_FAULTS, PROMPT } from "../standin/mod.ts";
import {
  knows,
  openWorld,
  type TestEntry,
  until,
  type World,
} from "./_world.ts";

/*
 * A request ended each engine that began to run it. Each attempt of its client was a new one to the
 * entries, so it was sent to one engine after the other: 14 of them had ended in 14 s, and most of
 * the 101 requests that broke off were others that ran beside it.
 */

/** A request that the platform allows to reach three servers more once three have ended under it. */
const MOST_RUNS = 6;
const ENGINES = 10;
/** More than the entries take to tell each other, and the store to keep what they learn. */
const NEWS_MS = 300;
/** Streams that may not be begun again; each attempt runs at one engine. */
const ONCE = "/once/poison";
/** Streams that go on at another engine when one ends. */
const RESUMED = "/stream/poison";

async function openEngines(
  t: TestContext,
  { entryCount, poison }: { entryCount: number; poison: string },
): Promise<World> {
  const world = await openWorld(t, { entryCount });
  const faults = { ...NO_FAULTS, endOnTarget: poison };
  for (let i = 0; i < ENGINES; i++) {
    await world.worker(`i-${i}`, { model: "m", faults });
  }
  await until(() =>
    world.entries.every((entry) => knows(entry, `"i-${ENGINES - 1}"`))
  );
  await until(() =>
    world.entries.every((entry) => knows(entry, `"entries":${entryCount}`))
  );
  return world;
}

/** Asks each in turn, as a client does that comes again at any entry. */
async function askInTurn(
  entries: TestEntry[],
  { path, times }: { path: string; times: number },
): Promise<void> {
  for (let i = 0; i < times; i++) {
    await ask(entries[i % entries.length]!, path, {
      ...PROMPT,
      "attempt-id": `attempt-${i}`,
    });
    await sleep(NEWS_MS);
  }
}

function runsOf({ workers }: World, path: string): number {
  return workers.flatMap(({ runs }) => runs)
    .filter(({ target }) => target === path).length;
}

test("request under which three servers ended reaches no more than three others", async (t) => {
  const world = await openEngines(t, { entryCount: 2, poison: ONCE });
  await askInTurn(world.entries, { path: ONCE, times: ENGINES });
  assert.ok(runsOf(world, ONCE) <= MOST_RUNS);
});

test("request under which three servers ended stays refused when all entries start again", async (t) => {
  const world = await openEngines(t, { entryCount: 2, poison: ONCE });
  await askInTurn(world.entries, { path: ONCE, times: 3 });
  await Promise.all(world.entries.map(({ router }) => router.stop()));
  const again: TestEntry[] = [];
  for (const entry of world.entries.slice()) {
    again.push(await world.restart(entry));
  }
  await until(() => again.every((entry) => knows(entry, '"configVersion":1')));
  await askInTurn(again, { path: ONCE, times: ENGINES - 3 });
  assert.ok(runsOf(world, ONCE) <= MOST_RUNS);
});

test("entry that starts while the store is down learns of such a request from its peers", async (t) => {
  const world = await openEngines(t, { entryCount: 2, poison: ONCE });
  await world.store.down();
  await askInTurn(world.entries, { path: ONCE, times: 3 });
  const [, second] = world.entries;
  await second!.router.stop();
  const again = await world.restart(second!);
  await until(() => knows(again, '"configVersion":1'));
  await sleep(NEWS_MS * 5);
  await askInTurn([again], { path: ONCE, times: ENGINES - 3 });
  assert.ok(runsOf(world, ONCE) <= MOST_RUNS);
});

test("stream that goes on elsewhere ends no more than six servers", async (t) => {
  const world = await openEngines(t, { entryCount: 1, poison: RESUMED });
  await askInTurn(world.entries, { path: RESUMED, times: ENGINES });
  assert.ok(runsOf(world, RESUMED) <= MOST_RUNS);
});
