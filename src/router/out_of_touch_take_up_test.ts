// Guards against streams that go on at another software version at an entry which can't know of theirs.
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { writersOf } from "../standin/mod.ts";
import { cutOff, type Partition } from "./_partition.ts";
import {
  brokenOff,
  openStreams,
  openVersionsSetup,
  takeUp,
  type VersionsSetup,
} from "./_software_versions_kit.ts";
import { stateContains, type TestEntry, until } from "./_world.ts";

/** Events that a client reads before it breaks off. */
const READ_EVENTS = 2;

/** Begins streams at engines of a version that only the given entries learn of, and breaks them off. */
async function beginAtNewVersion(
  { worker, entries, store, workers }: VersionsSetup,
  informed: TestEntry[],
) {
  const older = workers.map((one) => ({ id: one.id, one }));
  for (const id of ["i-3", "i-4"]) {
    await worker(id, {
      model: "m",
      events: 12,
      eventMs: 40,
      softwareVersion: "v1.1",
    });
    for (const entry of informed) await until(() => stateContains(entry, id));
  }
  for (const { id, one } of older) {
    const leaving = one.entry("engines", { state: "draining" });
    await store.put(`servers/${id}`, leaving);
  }
  for (const entry of informed) {
    await until(() =>
      JSON.stringify(entry.router.state()).split('"leaving":true').length === 3
    );
  }
  const streams = await openStreams(entries[0]!, {
    breakAfterEvents: READ_EVENTS,
  });
  const broken = await brokenOff(streams);
  for (const { events } of broken) {
    assert.deepEqual(writersOf(events), ["v1.1"]);
  }
  return broken;
}

/** Takes streams up at an entry, and returns the status of each that wasn't joined with another version. */
async function statusesOfTakeUps(
  entry: TestEntry,
  broken: Awaited<ReturnType<typeof beginAtNewVersion>>,
): Promise<number[]> {
  const attempts = await takeUp(entry, broken);
  const joined = attempts.filter(({ events }) =>
    writersOf(events).some((version) => version !== "v1.1")
  );
  assert.equal(joined.length, 0);
  return attempts.map(({ status }) => status);
}

async function setUp(t: TestContext, entryCount: number) {
  const setup = await openVersionsSetup(t, { entryCount });
  await setup.startEngines("v1", ["i-1", "i-2"]);
  return setup;
}

for (const cutForMs of [0, 600, 1600, 3500]) {
  test(`stream is not joined at an entry that was cut off ${cutForMs} ms before`, async (t) => {
    const setup = await setUp(t, 3);
    const [first, second, isolated] = setup.entries as [
      TestEntry,
      TestEntry,
      TestEntry,
    ];
    cutOff(t, [isolated]);
    const cutAtMs = performance.now();
    const broken = await beginAtNewVersion(setup, [first, second]);
    await sleep(Math.max(0, cutAtMs + cutForMs - performance.now()));
    const statuses = await statusesOfTakeUps(isolated, broken);
    assert.deepEqual(new Set(statuses), new Set([503]));
  });
}

const PARTITIONS: Record<string, Partition> = {
  "from the store": { entries: false },
  "from the other entries": { store: false },
};

for (const [which, partition] of Object.entries(PARTITIONS)) {
  test(`stream is not joined at an entry that is cut off ${which} alone`, async (t) => {
    const setup = await setUp(t, 3);
    const [first, second, isolated] = setup.entries as [
      TestEntry,
      TestEntry,
      TestEntry,
    ];
    cutOff(t, [isolated], partition);
    const broken = await beginAtNewVersion(setup, [first, second]);
    await statusesOfTakeUps(isolated, broken);
  });
}

test("stream is not joined at one of two entries that are cut off from the store together", async (t) => {
  const setup = await setUp(t, 3);
  const [first, second, third] = setup.entries as [
    TestEntry,
    TestEntry,
    TestEntry,
  ];
  cutOff(t, [second, third], { entries: false });
  cutOff(t, [first], { store: false });
  const broken = await beginAtNewVersion(setup, [first]);
  await statusesOfTakeUps(second, broken);
});
