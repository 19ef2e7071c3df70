import assert from "node:assert/strict";
import { test } from "node:test";
import { openRollWorld } from "./_roll_kit.ts";
import { PUBLISH_TIMES_KEY, readVersionAges } from "./publish_times_record.ts";
import { positionAt } from "../store/position.ts";

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
