import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock } from "./_kit.ts";
import { WantedVersions } from "./wanted_weights.ts";

const BOUND_MS = 10_000;
const AT_ONCE = { maxAgeMs: 0 };
const FOUND = { maxAgeMs: Infinity };

function create(): { wanted: WantedVersions; clock: TestClock } {
  const clock = new TestClock();
  return { wanted: WantedVersions.create({ clock, boundMs: BOUND_MS }), clock };
}

test("weights are replaced since the first newer version was named", () => {
  const { wanted, clock } = create();
  assert.equal(wanted.replacedForMs("m", 1), 0);
  assert.ok(wanted.name({ model: "m", version: 2 }, AT_ONCE));
  clock.advance(3000);
  assert.ok(wanted.name({ model: "m", version: 3 }, AT_ONCE));
  clock.advance(1000);
  assert.equal(wanted.replacedForMs("m", 1), 4000);
  assert.equal(wanted.replacedForMs("m", 2), 1000);
  assert.equal(wanted.replacedForMs("m", 3), 0);
  assert.equal(wanted.replacedForMs("other", 1), 0);
});

test("version that is no newer changes nothing", () => {
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 3 }, AT_ONCE);
  clock.advance(500);
  assert.equal(wanted.name({ model: "m", version: 3 }, AT_ONCE), false);
  assert.equal(wanted.name({ model: "m", version: 2 }, FOUND), false);
  assert.equal(wanted.replacedForMs("m", 1), 500);
});

test("age that nobody knows counts as stale and is not told", () => {
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 2 }, FOUND);
  assert.equal(wanted.replacedForMs("m", 1), wanted.limits.staleFromMs);
  assert.deepEqual(wanted.ages(), []);
  clock.advance(wanted.limits.retiredFromMs - wanted.limits.staleFromMs);
  assert.ok(wanted.replacedForMs("m", 1) >= wanted.limits.retiredFromMs);
});

test("peer's word corrects an assumed age both ways, a heard one upwards", () => {
  for (const ageMs of [100, 20_000]) {
    const { wanted } = create();
    wanted.name({ model: "m", version: 2 }, FOUND);
    assert.equal(wanted.tell({ model: "m", version: 2, ageMs }), false);
    assert.equal(wanted.replacedForMs("m", 1), ageMs);
  }
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 2 }, AT_ONCE);
  clock.advance(1000);
  wanted.tell({ model: "m", version: 2, ageMs: 10 });
  assert.equal(wanted.replacedForMs("m", 1), 1000);
  wanted.tell({ model: "m", version: 2, ageMs: 5000 });
  assert.equal(wanted.replacedForMs("m", 1), 5000);
});

test("peer tells of a version before the store does, and of one in between", () => {
  const { wanted } = create();
  assert.ok(wanted.tell({ model: "m", version: 3, ageMs: 50 }));
  assert.equal(wanted.newest("m"), 3);
  assert.equal(wanted.name({ model: "m", version: 3 }, AT_ONCE), false);
  assert.equal(wanted.tell({ model: "m", version: 2, ageMs: 8000 }), false);
  assert.equal(wanted.newest("m"), 3);
  assert.equal(wanted.replacedForMs("m", 1), 8000);
  assert.equal(wanted.replacedForMs("m", 2), 50);
});

test("ages pass from entry to entry until they make no difference", () => {
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 2 }, AT_ONCE);
  clock.advance(4000);
  const started = WantedVersions.create({ clock, boundMs: BOUND_MS });
  started.name({ model: "m", version: 2 }, FOUND);
  for (const age of wanted.ages()) started.tell(age);
  assert.equal(started.replacedForMs("m", 1), 4000);
  assert.deepEqual(started.ages(), wanted.ages());
  clock.advance(2 * BOUND_MS);
  assert.deepEqual(wanted.ages(), []);
});
