/** The store's records of services with several software versions. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import type { KeyValueEntry, Write } from "../store/store.ts";
import { registration, silentLog, TestClock } from "./_kit.ts";
import { SOFTWARE_RECORD_PREFIX, SoftwareRecord } from "./software_record.ts";
import { SoftwareVersions } from "./software_versions.ts";

const KEY = `${SOFTWARE_RECORD_PREFIX}engines`;

/** An entry and a store that takes its writes at once. */
function create() {
  const clock = new TestClock();
  const versions = SoftwareVersions.create({
    clock,
    streamLifetimeMs: () => 0,
  });
  const stored = new Map<string, KeyValueEntry>();
  const setup = {
    clock,
    versions,
    stored,
    calls: 0,
    isWriter: true,
    isResumable: false,
  };
  const commit = (_: unknown, writes: readonly Write[]) => {
    setup.calls++;
    for (const write of writes) {
      if (write.kind === "delete") stored.delete(write.key);
      if (write.kind !== "put") continue;
      const { key, value } = write;
      stored.set(key, { key, value } as KeyValueEntry);
    }
    return Promise.resolve(Result.ok({ revision: 1n }));
  };
  const record = SoftwareRecord.create({
    store: { commit } as never,
    clock,
    log: silentLog,
    versions,
    mirror: {
      entry: (key) => stored.get(key),
      entries: () => [...stored.values()],
    },
    isWriterOf: () => setup.isWriter,
    isStoreServing: () => true,
    isResumable: () => setup.isResumable,
  });
  return { ...setup, setup, record };
}

function join(versions: SoftwareVersions, ...softwareVersions: string[]) {
  for (const softwareVersion of softwareVersions) {
    versions.joined(registration(softwareVersion, { softwareVersion }));
  }
}

test("service with one version is not recorded", async () => {
  const { versions, record, setup } = create();
  join(versions, "v1");
  await record.update();
  assert.equal(setup.calls, 0);
});

test("record is written once for each new version, and deleted when one is left", async () => {
  const { versions, record, setup, clock, stored } = create();
  join(versions, "v1", "v2");
  for (let i = 0; i < 10; i++) {
    await record.update();
    clock.advance(500);
  }
  assert.equal(setup.calls, 1);
  join(versions, "v3");
  await record.update();
  assert.equal(setup.calls, 2);
  for (const version of ["v1", "v2"]) {
    versions.left(registration(version, { softwareVersion: version }));
  }
  clock.advance(30_001);
  await record.update();
  assert.equal(setup.calls, 3);
  assert.equal(stored.size, 0);
});

test("entry that starts learns from the record which versions had streams", () => {
  const { versions, record, stored } = create();
  join(versions, "v2");
  const value = Buffer.from(JSON.stringify({ versions: ["v1", null, 5] }));
  stored.set(KEY, { key: KEY, value } as unknown as KeyValueEntry);
  record.onWritten(KEY);
  assert.ok(versions.isMixed("engines"));
  assert.deepEqual(versions.current("engines"), ["v2", "v1", undefined]);
});

test("record of another writer's format is ignored", () => {
  for (const text of ["", "[]", "null", '{"versions":7}', "{"]) {
    const { versions, record, stored } = create();
    const value = Buffer.from(text);
    stored.set(KEY, { key: KEY, value } as unknown as KeyValueEntry);
    record.onWritten(KEY);
    assert.deepEqual(versions.current("engines"), []);
  }
});

test("only the responsible entry writes", async () => {
  const { versions, record, setup } = create();
  setup.isWriter = false;
  join(versions, "v1", "v2");
  await record.update();
  assert.equal(setup.calls, 0);
});

// Guards against entries that all start together and don't know the version of earlier streams.
test("service with one version is recorded once if its streams may be taken up", async () => {
  const { versions, record, setup, clock, stored } = create();
  setup.isResumable = true;
  join(versions, "v1");
  for (let i = 0; i < 20; i++) {
    await record.update();
    clock.advance(500);
  }
  assert.equal(setup.calls, 1);
  assert.equal(stored.size, 1);
});

// Guards against a version that a record keeps alive long after its last stream.
test("record of a service names the one version that is left", async () => {
  const { versions, record, setup, clock, stored } = create();
  setup.isResumable = true;
  join(versions, "v1", "v2");
  await record.update();
  versions.left(registration("v1", { softwareVersion: "v1" }));
  clock.advance(30_001);
  await record.update();
  await record.update();
  assert.equal(setup.calls, 2);
  const value = Buffer.from(stored.get(KEY)!.value).toString();
  assert.equal(value, '{"versions":["v2"]}');
});
