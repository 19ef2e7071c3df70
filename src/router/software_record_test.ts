/** The store's records of services with several software versions. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setImmediate } from "node:timers/promises";
import { registration, silentLog, TestClock } from "./_kit.ts";
import { RecordStore } from "./_record_store.ts";
import { SOFTWARE_RECORD_PREFIX, SoftwareRecord } from "./software_record.ts";
import { SoftwareVersions } from "./software_versions.ts";

const KEY = `${SOFTWARE_RECORD_PREFIX}engines`;

/** An entry and a store that takes its writes at once. */
function create() {
  return createEntry(new RecordStore());
}

/** An entry, whose copy of the store is up to date unless the test gives it another one. */
function createEntry(
  store: RecordStore,
  { mirror = store.parts.mirror }: {
    mirror?: Partial<RecordStore["parts"]["mirror"]>;
  } = {},
) {
  const clock = new TestClock();
  const versions = SoftwareVersions.create({
    clock,
    streamLifetimeMs: () => 0,
  });
  const setup = { isWriter: true, isResumable: false, isServing: true };
  clock.sleep = async (ms = 0) => {
    clock.advance(ms);
    await setImmediate();
  };
  const record = SoftwareRecord.create({
    ...store.parts,
    mirror: { ...store.parts.mirror, ...mirror },
    clock,
    log: silentLog,
    versions,
    isWriterOf: () => setup.isWriter,
    isStoreServing: () => setup.isServing,
    isResumable: () => setup.isResumable,
  });
  const { stored } = store;
  return { clock, versions, store, stored, setup, record };
}

function join(versions: SoftwareVersions, ...softwareVersions: string[]) {
  for (const softwareVersion of softwareVersions) {
    versions.joined(registration(softwareVersion, { softwareVersion }));
  }
}

test("service with one version is not recorded", async () => {
  const { versions, record, store } = create();
  join(versions, "v1");
  await record.update();
  assert.equal(store.calls, 0);
});

test("record is written once for each new version, and deleted when one is left", async () => {
  const { versions, record, store, clock, stored } = create();
  join(versions, "v1", "v2");
  for (let i = 0; i < 10; i++) {
    await record.update();
    clock.advance(500);
  }
  assert.equal(store.calls, 1);
  join(versions, "v3");
  await record.update();
  assert.equal(store.calls, 2);
  for (const version of ["v1", "v2"]) {
    versions.left(registration(version, { softwareVersion: version }));
  }
  clock.advance(30_001);
  await record.update();
  assert.equal(store.calls, 3);
  assert.equal(stored.size, 0);
});

// Guards against a record that loses a version, so that a stream of it goes on at another one.
test("entry with an old copy of a record doesn't overwrite what another one added", async () => {
  const { versions, record, store } = create();
  const old = new Map(store.stored);
  const late = createEntry(store, { mirror: { entry: (key) => old.get(key) } });
  join(versions, "v1", "v2");
  join(late.versions, "v1");
  late.setup.isResumable = true;
  await record.update();
  await late.record.update();
  assert.equal(store.text(KEY), '{"versions":["v1","v2"]}');
  // It goes on as soon as its copy is up to date.
  late.clock.advance(50);
  old.set(KEY, store.stored.get(KEY)!);
  join(late.versions, "v3");
  late.record.onWritten(KEY);
  await late.record.update();
  assert.equal(store.text(KEY), '{"versions":["v1","v3","v2"]}');
});

test("entry that starts learns from the record which versions had streams", () => {
  const { versions, record, store } = create();
  join(versions, "v2");
  store.put(KEY, JSON.stringify({ versions: ["v1", null, 5] }));
  record.onWritten(KEY);
  assert.ok(versions.isMixed("engines"));
  assert.deepEqual(versions.current("engines"), ["v2", "v1", undefined]);
});

test("record of another writer's format is ignored", () => {
  for (const text of ["", "[]", "null", '{"versions":7}', "{"]) {
    const { versions, record, store } = create();
    store.put(KEY, text);
    record.onWritten(KEY);
    assert.deepEqual(versions.current("engines"), []);
  }
});

test("only the responsible entry writes", async () => {
  const { versions, record, store, setup } = create();
  setup.isWriter = false;
  join(versions, "v1", "v2");
  await record.update();
  assert.equal(store.calls, 0);
});

// Guards against entries that all start together and don't know the version of earlier streams.
test("service with one version is recorded once if its streams may be taken up", async () => {
  const { versions, record, store, setup, clock, stored } = create();
  setup.isResumable = true;
  join(versions, "v1");
  for (let i = 0; i < 20; i++) {
    await record.update();
    clock.advance(500);
  }
  assert.equal(store.calls, 1);
  assert.equal(stored.size, 1);
});

// Guards against a version that a record keeps alive long after its last stream.
test("record of a service names the one version that is left", async () => {
  const { versions, record, store, setup, clock } = create();
  setup.isResumable = true;
  join(versions, "v1", "v2");
  await record.update();
  versions.left(registration("v1", { softwareVersion: "v1" }));
  clock.advance(30_001);
  await record.update();
  await record.update();
  assert.equal(store.calls, 2);
  assert.equal(store.text(KEY), '{"versions":["v2"]}');
});

const V1 = { service: "engines", softwareVersion: "v1" };

/** A record that is kept up to date until the test ends. */
function createRunning(t: TestContext) {
  const made = create();
  made.setup.isResumable = true;
  const stop = new AbortController();
  t.after(() => stop.abort());
  void made.record.run(stop.signal);
  return made;
}

// Guards against streams of a version that no entry knows which starts after all have ended.
test("stream waits for the record of its version, and lets its own entry write it", async (t) => {
  const { versions, record, setup, store, stored } = createRunning(t);
  setup.isWriter = false;
  join(versions, "v1");
  assert.ok(!stored.has(KEY));
  await record.untilRecorded(V1);
  assert.match(store.text(KEY), /"v1"/);
  setup.isServing = false;
  await record.untilRecorded(V1);
});

// Guards against a delay of all streams while the store takes no writes.
test("streams of a version that can't be recorded wait for a bounded time together", async (t) => {
  const { clock, versions, record, store, stored } = createRunning(t);
  store.fails = true;
  join(versions, "v1");
  const startMs = clock.nowMs();
  await Promise.all([record.untilRecorded(V1), record.untilRecorded(V1)]);
  const waitedMs = clock.nowMs() - startMs;
  await record.untilRecorded(V1);
  assert.equal(clock.nowMs() - startMs, waitedMs);
  // A store that fails isn't asked at each look.
  assert.ok(store.calls < 5);
  store.fails = false;
  clock.advance(500);
  await record.update();
  assert.ok(stored.has(KEY));
});

test("stream doesn't wait while the store is away", async (t) => {
  const { clock, versions, record, setup } = createRunning(t);
  setup.isServing = false;
  join(versions, "v1");
  const startMs = clock.nowMs();
  await record.untilRecorded(V1);
  assert.equal(clock.nowMs(), startMs);
});
