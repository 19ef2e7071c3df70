/** Servers that start again under their id with other software, before their registration is read. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { writersOf } from "../standin/mod.ts";
import {
  brokenOff,
  openStream,
  openStreams,
  openVersionsSetup,
  takeUp,
  type VersionsSetup,
} from "./_software_versions_kit.ts";
import { stateContains, until } from "./_world.ts";

/** Starts a service of two versions whose only server, `i-1`, is registered as `v1` and runs `v1.1`. */
async function openRestarted({ startEngines, store, entries }: VersionsSetup) {
  const [restarted] = await startEngines("v1", ["i-1"]);
  await startEngines("v1.1", ["i-2"]);
  await store.delete("servers/i-2");
  for (const entry of entries) {
    await until(() => !stateContains(entry, "i-2"));
  }
  restarted!.softwareVersion = "v1.1";
  await restarted!.restart();
  return restarted!;
}

// The entry took the version from a registration that was older than the process.
test("stream begun at an unregistered process does not go on at the registered version", async (t) => {
  const setup = await openVersionsSetup(t);
  const restarted = await openRestarted(setup);
  const streams = await openStreams(setup.entries[0]!);
  await setup.startEngines("v1", ["i-3"]);
  await restarted.down();
  for (const { ended } of streams) {
    const { events, isComplete } = await ended;
    assert.deepEqual(writersOf(events), ["v1.1"]);
    assert.ok(!isComplete);
  }
});

// The same when the client takes its stream up, at the entry that began it or at another one.
test("stream begun at an unregistered process is not taken up", async (t) => {
  const setup = await openVersionsSetup(t, { entryCount: 2 });
  await openRestarted(setup);
  const breakAfterEvents = 3;
  const streams = await openStreams(setup.entries[0]!, { breakAfterEvents });
  const broken = await brokenOff(streams);
  await setup.startEngines("v1", ["i-3"]);
  for (const entry of setup.entries) {
    for (const { status } of await takeUp(entry, broken)) {
      assert.equal(status, 503);
    }
  }
});

// The registration of a server that was to go on with a stream was older than the process.
test("stream does not go on at an unregistered process of another version", async (t) => {
  const setup = await openVersionsSetup(t);
  const [changed] = await setup.startEngines("v1", ["i-1"]);
  await setup.startEngines("v1.1", ["i-2"]);
  const [entry] = setup.entries;
  await setup.store.delete("servers/i-2");
  await until(() => !stateContains(entry!, "i-2"));
  const broken = await brokenOff([
    openStream(entry!, "s", { breakAfterEvents: 3 }),
  ]);
  assert.deepEqual(writersOf(broken[0]!.events), ["v1"]);
  changed!.softwareVersion = "v1.1";
  await changed!.restart();
  const [again] = await takeUp(entry!, broken);
  assert.deepEqual(again!.events, []);
});
