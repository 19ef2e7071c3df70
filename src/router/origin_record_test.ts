/** The store's records of the streams that entries began. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { silentLog, TestClock } from "./_kit.ts";
import { OriginFleet } from "./_origin_fleet.ts";
import { RecordStore } from "./_record_store.ts";
import { ORIGIN_RECORD_PREFIX, OriginRecord } from "./origin_record.ts";

const OWN_KEY = `${ORIGIN_RECORD_PREFIX}10.0.0.0`;
const OBSOLETE_MS = 60_001;

/** An entry of a fleet and its record, in a store that takes writes at once. */
function create(...softwareVersions: string[]) {
  const fleet = OriginFleet.create({ entryCount: 2 });
  for (const version of softwareVersions) fleet.join(version, version);
  const [entry] = fleet.entries;
  const store = new RecordStore();
  const setup = { isServing: true };
  const clock = new TestClock();
  const pausesMs: number[] = [];
  clock.sleep = (ms = 0) => {
    pausesMs.push(ms);
    clock.advance(ms);
    return Promise.resolve();
  };
  const record = OriginRecord.create({
    ...store.parts,
    clock,
    log: silentLog,
    ownAddress: "10.0.0.0",
    origins: () => entry!.origins,
    random: () => 0.5,
    entryCount: () => 2,
    isWriterOf: () => true,
    isStoreServing: () => setup.isServing,
  });
  return { fleet, entry: entry!, store, setup, clock, record, pausesMs };
}

// Guards against calls to the store that nobody needs.
test("streams of a service with one version are not recorded", async () => {
  const { fleet, entry, record, store } = create("v1");
  fleet.begin(entry, "a", "v1");
  for (let i = 0; i < 10; i++) await record.update();
  assert.equal(store.calls, 0);
});

test("streams are recorded once, and again only after another one began", async () => {
  const { fleet, entry, record, store } = create("v1", "v2");
  fleet.begin(entry, "a", "v1");
  for (let i = 0; i < 10; i++) await record.update();
  assert.equal(store.calls, 1);
  fleet.begin(entry, "b", "v2");
  for (let i = 0; i < 10; i++) await record.update();
  assert.equal(store.calls, 2);
});

// Guards against streams that stay unrecorded because the store was down for a moment.
test("streams whose record failed are recorded later", async () => {
  const { fleet, entry, record, setup, store } = create("v1", "v2");
  fleet.begin(entry, "a", "v1");
  setup.isServing = false;
  await record.update();
  assert.equal(store.calls, 0);
  setup.isServing = true;
  store.fails = true;
  await record.update();
  store.fails = false;
  await record.update();
  assert.match(store.text(OWN_KEY), /"a"/);
});

// Guards against a new process that replaces the record of the one before it.
test("record of an entry's earlier process is part of the next one", async () => {
  const before = create("v1", "v2");
  before.fleet.begin(before.entry, "a", "v1");
  await before.record.update();
  const after = create("v1", "v2");
  after.store.put(OWN_KEY, before.store.text(OWN_KEY));
  after.record.onWritten(OWN_KEY);
  assert.equal(await after.fleet.takeUp(after.entry, "a"), "own v1");
  after.fleet.begin(after.entry, "b", "v2");
  await after.record.update();
  const text = after.store.text(OWN_KEY);
  assert.match(text, /"a".*"b"/);
});

// Guards against records that grow, and are written more seldom, as the entry reads its own ones back.
test("stream that was completed is not part of the next record", async () => {
  const { fleet, entry, record, store } = create("v1", "v2");
  fleet.begin(entry, "a", "v1");
  await record.update();
  fleet.complete(entry, "a");
  record.onWritten(OWN_KEY);
  fleet.begin(entry, "b", "v2");
  await record.update();
  assert.match(store.text(OWN_KEY), /"b"/);
  assert.doesNotMatch(store.text(OWN_KEY), /"a"/);
});

// Guards against a store that was restored from an older copy and keeps lacking the streams.
test("streams are recorded again after the store was restored", async () => {
  const { fleet, entry, record, store } = create("v1", "v2");
  fleet.begin(entry, "a", "v1");
  await record.update();
  store.stored.clear();
  record.onRestored();
  await record.update();
  assert.match(store.text(OWN_KEY), /"a"/);
});

// Guards against streams that nobody knows because all entries end right after they began.
test("first streams are recorded soon, and many at a bounded rate", async (t) => {
  const { fleet, entry, record, store, pausesMs } = create("v1", "v2");
  const stop = new AbortController();
  t.after(() => stop.abort());
  void record.run(stop.signal);
  const begin = async (id: string) => {
    fleet.begin(entry, id, "v1");
    const isRecorded = () =>
      store.stored.has(OWN_KEY) && store.text(OWN_KEY).includes(`"${id}"`);
    while (!isRecorded()) await setImmediate();
  };
  await begin("a");
  await begin("b");
  assert.ok(!pausesMs.some((ms) => ms > 20));
  const calls = 40;
  for (let i = 0; i < calls; i++) await begin(`c-${i}`);
  const pausedMs = pausesMs.reduce((sum, ms) => sum + ms);
  // Each of two entries may write twice a second, and six times in advance.
  assert.ok(pausedMs >= (calls - 6) * 500, `${pausedMs} ms`);
});

// Guards against deleting records that entries which start later still have to read.
test("records are deleted when all services have had one version for a while", async () => {
  const { record, store, clock } = create("v1");
  store.put(OWN_KEY, "{}");
  await record.update();
  assert.equal(store.stored.size, 1);
  clock.advance(OBSOLETE_MS);
  await record.update();
  assert.equal(store.stored.size, 0);
  assert.equal(store.calls, 1);
});

test("malformed parts of a record are left out", async () => {
  for (
    const text of [
      "",
      "[]",
      '{"services":[]}',
      '{"services":{"engines":7}}',
      '{"services":{"engines":{"v1":[["a"],[1,2],"a",null]}}}',
    ]
  ) {
    const { fleet, entry, record, store } = create("v1", "v2");
    store.put(OWN_KEY, text);
    record.onWritten(OWN_KEY);
    assert.equal(await fleet.takeUp(entry, "a"), "unknown undefined");
  }
});
