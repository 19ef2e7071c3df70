/** Streams that clients take up after all entries have ended and started again. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  fetchReadinessStatus,
  StandinBackendServer,
  type StreamAttempt,
  writersOf,
} from "../standin/mod.ts";
import {
  brokenOff,
  EVENTS,
  openStreams,
  openVersionsSetup,
  readOriginRecords,
  takeUp,
  type VersionsSetup,
} from "./_software_versions_kit.ts";
import { SOFTWARE_RECORD_PREFIX } from "./software_record.ts";
import {
  openBareWorld,
  stateContains,
  type TestEntry,
  until,
} from "./_world.ts";

const ENTRIES = 3;
const READ_EVENTS = 3;
/** Bounds the wait for records, many times the interval at which they are written. */
const RECORD_MS = 5000;

type Broken = { id: string; events: StreamAttempt["events"] };

/** Some streams at each entry, which their clients break off. */
async function breakOff({ entries }: VersionsSetup): Promise<Broken[]> {
  const streams = [];
  for (const entry of entries) {
    streams.push(
      ...await openStreams(entry, {
        prefix: entry.name,
        breakAfterEvents: READ_EVENTS,
      }),
    );
  }
  return await brokenOff(streams);
}

/** Ends all entries at once, plays what happens meanwhile, and starts them again. */
async function restartAll(
  { entries, restart }: VersionsSetup,
  meanwhile: () => Promise<void> = () => Promise.resolve(),
): Promise<TestEntry[]> {
  const ended = entries.slice(0, ENTRIES);
  await Promise.all(ended.map(({ router }) => router.stop()));
  await meanwhile();
  const started = [];
  for (const entry of ended) started.push(await restart(entry));
  for (const { ipAddress, readinessPort } of started) {
    // A kept-alive connection of the entry that ended may fail.
    const status = () =>
      fetchReadinessStatus(readinessPort, ipAddress).catch(() => 0);
    await until(async () => await status() === 200);
  }
  return started;
}

/** Registers engines of another version, which no entry need know yet. */
async function registerV2(t: TestContext, { store }: VersionsSetup) {
  for (const id of ["i-3", "i-4"]) {
    const softwareVersion = "v2";
    const options = { id, model: "m", events: EVENTS, softwareVersion };
    const engine = await StandinBackendServer.create(options);
    t.after(() => engine.close());
    await store.put(`servers/${id}`, engine.entry("engines"));
  }
}

async function unregister({ store }: VersionsSetup, ids: string[]) {
  for (const id of ids) await store.delete(`servers/${id}`);
}

/** Takes up the streams of each entry at the next one. */
async function takeUpElsewhere(
  entries: TestEntry[],
  broken: Broken[],
): Promise<{ before: Broken; after: StreamAttempt }[]> {
  const pairs = [];
  for (const [i, { name }] of entries.entries()) {
    const before = broken.filter(({ id }) => id.startsWith(`${name}-`));
    const attempts = await takeUp(entries[(i + 1) % ENTRIES]!, before);
    pairs.push(
      ...before.map((one, k) => ({ before: one, after: attempts[k]! })),
    );
  }
  assert.equal(pairs.length, broken.length);
  return pairs;
}

async function assertRefused(entries: TestEntry[], broken: Broken[]) {
  for (const { after } of await takeUpElsewhere(entries, broken)) {
    assert.equal(after.status, 503);
  }
}

// Guards against taking the only version that is left for that of all streams.
test("stream isn't joined if its version was replaced while no entry ran", async (t) => {
  const setup = await openVersionsSetup(t, { entryCount: ENTRIES });
  await setup.startEngines("v1", ["i-1", "i-2"]);
  await untilVersionRecorded(setup);
  const broken = await breakOff(setup);
  const started = await restartAll(setup, async () => {
    await unregister(setup, ["i-1", "i-2"]);
    await registerV2(t, setup);
  });
  for (const entry of started) await until(() => stateContains(entry, "i-4"));
  await assertRefused(started, broken);
});

// Guards against a second version that no record names, as it came just before the entries ended.
test("stream isn't joined if the new version registered just before all entries ended", async (t) => {
  const setup = await openVersionsSetup(t, { entryCount: ENTRIES });
  await setup.startEngines("v1", ["i-1", "i-2"]);
  await untilVersionRecorded(setup);
  const broken = await breakOff(setup);
  await registerV2(t, setup);
  const started = await restartAll(
    setup,
    () => unregister(setup, ["i-1", "i-2"]),
  );
  for (const entry of started) await until(() => stateContains(entry, "i-4"));
  await assertRefused(started, broken);
});

// Guards against refusing all streams because the entries that knew their versions are gone.
test("streams go on at their versions after all entries have ended", async (t) => {
  const setup = await openVersionsSetup(t, { entryCount: ENTRIES });
  await setup.startEngines("v1", ["i-1", "i-2"]);
  await setup.startEngines("v2", ["i-3", "i-4"]);
  const broken = await breakOff(setup);
  assert.equal(
    new Set(broken.map(({ events }) => writersOf(events)[0])).size,
    2,
  );
  await untilOriginsRecorded(setup, broken);
  const started = await restartAll(setup);
  for (const { before, after } of await takeUpElsewhere(started, broken)) {
    assert.equal(after.status, 200);
    const all = [...before.events, ...after.events];
    assert.equal(writersOf(all).length, 1);
    assert.equal(all.length, EVENTS);
    assert.ok(after.isComplete);
  }
});

// Guards against a record that an entry replaces after its start, before the others have read it.
test("streams go on after all entries have ended twice", async (t) => {
  const setup = await openVersionsSetup(t, { entryCount: ENTRIES });
  await setup.startEngines("v1", ["i-1", "i-2"]);
  await setup.startEngines("v2", ["i-3", "i-4"]);
  const broken = await breakOff(setup);
  await untilOriginsRecorded(setup, broken);
  const once = await restartAll(setup);
  const later = await brokenOff(
    await openStreams(once[0]!, { prefix: "later", breakAfterEvents: 3 }),
  );
  await untilOriginsRecorded(setup, later);
  const twice = await restartAll({ ...setup, entries: once });
  for (const streams of [broken, later]) {
    const attempts = await takeUp(twice[1]!, streams);
    for (const { status } of attempts) assert.equal(status, 200);
  }
});

/** Waits for a record of the software versions, or for {@link RECORD_MS}. */
async function untilVersionRecorded({ lines }: VersionsSetup): Promise<void> {
  const endMs = performance.now() + RECORD_MS;
  await until(() =>
    performance.now() > endMs ||
    lines.some(({ event }) => event === "software_versions_recorded")
  );
}

/** Waits until all streams are in the entries' records, or for {@link RECORD_MS}. */
async function untilOriginsRecorded(
  { store }: VersionsSetup,
  broken: Broken[],
): Promise<void> {
  const endMs = performance.now() + RECORD_MS;
  await until(async () => {
    const text = await readOriginRecords(store);
    return performance.now() > endMs ||
      broken.every(({ id }) => text.includes(`"${id}"`));
  });
}

// Guards against deleting a record that looks obsolete to an entry that knows no route yet.
test("record of versions is kept while the entry has no configuration", async (t) => {
  const world = await openBareWorld(t);
  const key = `${SOFTWARE_RECORD_PREFIX}engines`;
  await world.store.put(key, { versions: ["v1"] });
  await world.worker("i-1", { model: "m", softwareVersion: "v1" });
  // Several checks of the records.
  await sleep(1500);
  const records = () => world.store.store.list(SOFTWARE_RECORD_PREFIX);
  assert.equal((await records()).unwrapOr(undefined)?.entries.length, 1);
});
