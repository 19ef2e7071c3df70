/** Streams within one answer, while engines of several software versions serve side by side. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { writersOf } from "../standin/mod.ts";
import {
  EVENTS,
  openStream,
  openStreams,
  openVersionsSetup,
} from "./_software_versions_kit.ts";
import { until } from "./_world.ts";

/** Longer than the first backoff of connections to a server that broke them. */
const REGISTRATION_DELAY_MS = 1000;

test("stream whose engine ends goes on at an engine of its software version", async (t) => {
  const { startEngines, entries: [entry] } = await openVersionsSetup(t);
  const [ending] = await startEngines("v1", ["i-1"]);
  const streams = await openStreams(entry!);
  await startEngines("v1.1", ["i-2", "i-3"]);
  await startEngines("v1", ["i-4"]);
  await ending!.down();
  for (const { ended } of streams) {
    const { events, isComplete } = await ended;
    assert.deepEqual(writersOf(events), ["v1"]);
    assert.equal(events.length, EVENTS);
    assert.ok(isComplete);
  }
});

test("stream whose engine pauses goes on at an engine of its software version", async (t) => {
  const { startEngines, entries: [entry] } = await openVersionsSetup(t);
  const [pausing] = await startEngines("v1", ["i-1"]);
  pausing!.faults.stall = { afterEvent: 2, pauseMs: 30_000 };
  const streams = await openStreams(entry!);
  await startEngines("v1.1", ["i-2", "i-3"]);
  await startEngines("v1", ["i-4"]);
  for (const { ended } of streams) {
    const { events, isComplete } = await ended;
    assert.deepEqual(writersOf(events), ["v1"]);
    assert.ok(isComplete);
  }
});

test("run is moved to an engine of its software version", async (t) => {
  const setup = await openVersionsSetup(t);
  const long = { events: 160, eventMs: 25 };
  await setup.startEngines("v1", ["i-1"], long);
  const streams = await openStreams(setup.entries[0]!);
  const { store, lines, startEngines } = setup;
  const others = await startEngines("v1.1", ["i-2", "i-3"], long);
  others.push(...await startEngines("v1", ["i-4"], long));
  // Only the engine with the streams changes its weights, so that others may take them.
  for (const { faults } of others) faults.refuseOrder = Infinity;
  await store.put("op/version/m", { model: "m", version: 2 });
  for (const { ended } of streams) {
    const { events, isComplete } = await ended;
    assert.deepEqual(writersOf(events), ["v1"]);
    assert.ok(isComplete);
  }
  const moves = lines.filter(({ event }) => event === "run_moved");
  for (const { to } of moves) assert.equal(to, "i-4");
});

test("stream ends at once when no engine of its software version is left", async (t) => {
  const setup = await openVersionsSetup(t);
  const { startEngines, store, lines, entries: [entry] } = setup;
  const [ending] = await startEngines("v1", ["i-1"]);
  const streams = await openStreams(entry!);
  await startEngines("v1.1", ["i-2", "i-3"]);
  await store.delete("servers/i-1");
  await ending!.down();
  for (const { ended } of streams) {
    const { events, isComplete } = await ended;
    assert.deepEqual(writersOf(events), ["v1"]);
    assert.ok(!isComplete);
  }
  const brokenOff = lines.filter(({ outcome }) => outcome === "broken_off");
  assert.equal(brokenOff.length, streams.length);
  for (const { reason } of brokenOff) assert.equal(reason, "version_gone");
});

test("stream without events yet goes on at any software version", async (t) => {
  const { startEngines, entries: [entry] } = await openVersionsSetup(t);
  const [ending] = await startEngines("v1", ["i-1"]);
  ending!.faults.hang = 1;
  const stream = openStream(entry!, "s");
  await until(() => ending!.runs.length > 0);
  await startEngines("v1.1", ["i-2"]);
  await ending!.down();
  const { events, isComplete } = await stream.ended;
  assert.deepEqual(writersOf(events), ["v1.1"]);
  assert.ok(isComplete);
});

test("stream does not go on at its server that restarted with another software version", async (t) => {
  const setup = await openVersionsSetup(t);
  const { startEngines, store, lines, entries: [entry] } = setup;
  const [changed] = await startEngines("v1", ["i-1"]);
  const streams = await openStreams(entry!);
  await startEngines("v1.1", ["i-2"]);
  changed!.softwareVersion = "v1.1";
  await changed!.restart();
  // The registration of the new process comes later than its first connections.
  await sleep(REGISTRATION_DELAY_MS);
  await store.put("servers/i-1", changed!.entry("engines"));
  for (const { ended } of streams) {
    const { events, isComplete } = await ended;
    assert.deepEqual(writersOf(events), ["v1"]);
    assert.ok(!isComplete);
  }
  for (const { outcome, reason } of lines) {
    if (outcome === "broken_off") assert.equal(reason, "version_gone");
  }
});
