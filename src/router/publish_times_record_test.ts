import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import type { FencedLease } from "../lease/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import { openRollWorld } from "./_roll_kit.ts";
import { TestClock } from "./_kit.ts";
import {
  PUBLISH_TIMES_KEY,
  PublishTimesRecord,
  readVersionAges,
} from "./publish_times_record.ts";
import { positionAt } from "../store/position.ts";
import { WantedVersions } from "./wanted_weights.ts";

/** Maximum clock skew between instances. */
const CLOCK_ERROR_MS = 2500;

test("lease holder records once when weights were published", async (t) => {
  const { clock, store, wanted, startCandidate } = openRollWorld(t, {
    engineCount: 2,
  });
  startCandidate("entry-1");
  await clock.advance(1000);
  wanted.name({ model: "m", version: 2 }, { maxAgeMs: 0 });
  await clock.advance(400);
  const record = store.table.get(PUBLISH_TIMES_KEY);
  await clock.advance(3000);
  assert.deepEqual(
    store.table.get(PUBLISH_TIMES_KEY)?.modPosition,
    record?.modPosition,
  );
  const [age, ...others] = readVersionAges(record, clock.wallMs());
  assert.deepEqual(others, []);
  assert.equal(age?.version, 2);
  assert.ok(Math.abs(age!.ageMs - 3400 - CLOCK_ERROR_MS) < 100);
});

test("new lease holder keeps the versions recorded before", async (t) => {
  const { clock, store, wanted, startCandidate } = openRollWorld(t, {
    engineCount: 2,
  });
  const first = startCandidate("entry-1");
  await clock.advance(1000);
  wanted.name({ model: "m", version: 2 }, { maxAgeMs: 0 });
  await clock.advance(400);
  first.kill();
  await clock.advance(3000);
  startCandidate("entry-2");
  await clock.advance(3000);
  wanted.name({ model: "m", version: 3 }, { maxAgeMs: 0 });
  await clock.advance(400);
  const record = store.table.get(PUBLISH_TIMES_KEY);
  const ages = readVersionAges(record, clock.wallMs());
  assert.deepEqual(ages.map(({ version }) => version), [2, 3]);
});

test("malformed record, or one with a time in the future, yields no ages", () => {
  const read = (text: string, wallMs: number) =>
    readVersionAges({
      key: PUBLISH_TIMES_KEY,
      value: new TextEncoder().encode(text),
      modPosition: positionAt(0, 1n),
      createPosition: positionAt(0, 1n),
    }, wallMs);
  assert.deepEqual(readVersionAges(undefined, 0), []);
  for (const text of ["", "[]", '{"rows":7}', '{"rows":[null,{"model":1}]}']) {
    assert.deepEqual(read(text, 0), []);
  }
  const row = { model: "m", version: 2, atWallMs: 100_000 };
  assert.equal(read(JSON.stringify({ rows: [row] }), 50_000).length, 0);
  assert.equal(read(JSON.stringify({ rows: [row] }), 100_000).length, 1);
});

// A record that a restore has taken back was never written again, so ages were lost at a restart.
test("record is written again in the era of a restored store", async () => {
  const clock = new TestClock();
  const wanted = WantedVersions.create({ clock, boundMs: 10_000 });
  wanted.name({ model: "m", version: 2 }, { maxAgeMs: 0 });
  let writes = 0;
  const commit: KeyValueStore["commit"] = () => {
    writes++;
    const position = positionAt(0, 1n);
    return Promise.resolve(Result.ok({ kind: "committed", position }));
  };
  const record = PublishTimesRecord.create({
    store: { commit } as KeyValueStore,
    clock,
    wanted,
    publishTimesRecord: () => undefined,
  });
  const leaseOf = (era: number) =>
    ({ position: positionAt(era, 5n) }) as FencedLease;
  for (const era of [1, 1, 2, 2]) await record.update(leaseOf(era));
  assert.equal(writes, 2);
});
