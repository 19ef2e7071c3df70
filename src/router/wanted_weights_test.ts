import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock } from "./_kit.ts";
import { WantedVersions } from "./wanted_weights.ts";

const BOUND_MS = 10_000;
const SEEN_AT_ONCE = { maxAgeMs: 0 };
const UNKNOWN_AGE = { maxAgeMs: Infinity };

function create(): { wanted: WantedVersions; clock: TestClock } {
  const clock = new TestClock();
  return { wanted: WantedVersions.create({ clock, boundMs: BOUND_MS }), clock };
}

test("weights are replaced since the first newer version was published", () => {
  const { wanted, clock } = create();
  assert.equal(wanted.replacedForMs("m", 1), 0);
  assert.ok(wanted.name({ model: "m", version: 2 }, SEEN_AT_ONCE));
  clock.advance(3000);
  assert.ok(wanted.name({ model: "m", version: 3 }, SEEN_AT_ONCE));
  clock.advance(1000);
  assert.equal(wanted.replacedForMs("m", 1), 4000);
  assert.equal(wanted.replacedForMs("m", 2), 1000);
  assert.equal(wanted.replacedForMs("m", 3), 0);
  assert.equal(wanted.replacedForMs("other", 1), 0);
});

test("version that is not newer changes nothing", () => {
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 3 }, SEEN_AT_ONCE);
  clock.advance(500);
  assert.equal(wanted.name({ model: "m", version: 3 }, SEEN_AT_ONCE), false);
  assert.equal(wanted.name({ model: "m", version: 2 }, UNKNOWN_AGE), false);
  assert.equal(wanted.replacedForMs("m", 1), 500);
});

test("unknown age counts as stale and is not sent to peers", () => {
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 2 }, UNKNOWN_AGE);
  assert.equal(wanted.replacedForMs("m", 1), wanted.limits.staleFromMs);
  assert.deepEqual(wanted.ages(), []);
  clock.advance(wanted.limits.retiredFromMs - wanted.limits.staleFromMs);
  assert.ok(wanted.replacedForMs("m", 1) >= wanted.limits.retiredFromMs);
});

test("age from a peer replaces an assumed age and raises an observed one", () => {
  for (const ageMs of [100, 20_000]) {
    const { wanted } = create();
    wanted.name({ model: "m", version: 2 }, UNKNOWN_AGE);
    assert.equal(wanted.mergePeerAge({ model: "m", version: 2, ageMs }), false);
    assert.equal(wanted.replacedForMs("m", 1), ageMs);
  }
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 2 }, SEEN_AT_ONCE);
  clock.advance(1000);
  wanted.mergePeerAge({ model: "m", version: 2, ageMs: 10 });
  assert.equal(wanted.replacedForMs("m", 1), 1000);
  wanted.mergePeerAge({ model: "m", version: 2, ageMs: 5000 });
  assert.equal(wanted.replacedForMs("m", 1), 5000);
});

test("peer may report a version before the store, and an intermediate one", () => {
  const { wanted } = create();
  assert.ok(wanted.mergePeerAge({ model: "m", version: 3, ageMs: 50 }));
  assert.equal(wanted.newest("m"), 3);
  assert.equal(wanted.name({ model: "m", version: 3 }, SEEN_AT_ONCE), false);
  assert.equal(
    wanted.mergePeerAge({ model: "m", version: 2, ageMs: 8000 }),
    false,
  );
  assert.equal(wanted.newest("m"), 3);
  assert.equal(wanted.replacedForMs("m", 1), 8000);
  assert.equal(wanted.replacedForMs("m", 2), 50);
});

test("ages are relayed between entries and capped", () => {
  const { wanted, clock } = create();
  wanted.name({ model: "m", version: 2 }, SEEN_AT_ONCE);
  clock.advance(4000);
  const started = WantedVersions.create({ clock, boundMs: BOUND_MS });
  started.name({ model: "m", version: 2 }, UNKNOWN_AGE);
  for (const age of wanted.ages()) started.mergePeerAge(age);
  assert.equal(started.replacedForMs("m", 1), 4000);
  assert.deepEqual(started.ages(), wanted.ages());
  clock.advance(3 * BOUND_MS);
  const [age] = wanted.ages();
  assert.ok(age && age.ageMs >= 2 * BOUND_MS && age.ageMs < 3 * BOUND_MS);
});

test("new entry learns that old weights were replaced by several versions", () => {
  const { wanted, clock } = create();
  for (let version = 2; version <= 6; version++) {
    wanted.name({ model: "m", version }, SEEN_AT_ONCE);
    clock.advance(BOUND_MS);
  }
  wanted.name({ model: "m", version: 7 }, SEEN_AT_ONCE);
  const started = WantedVersions.create({ clock, boundMs: BOUND_MS });
  started.name({ model: "m", version: 7 }, UNKNOWN_AGE);
  for (const age of wanted.ages()) started.mergePeerAge(age);
  for (let version = 1; version < 6; version++) {
    const known = Math.min(wanted.replacedForMs("m", version), 2 * BOUND_MS);
    assert.ok(started.replacedForMs("m", version) >= known, `v${version}`);
  }
  assert.equal(started.replacedForMs("m", 6), 0);
  // Versions that only replaced weights of the maximum age are not sent.
  assert.ok(wanted.ages().length < 6);
});

test("bound that is smaller than the margins makes no age negative", () => {
  const clock = new TestClock();
  const wanted = WantedVersions.create({ clock, boundMs: 2000 });
  wanted.name({ model: "m", version: 2 }, UNKNOWN_AGE);
  assert.ok(wanted.replacedForMs("m", 1) >= 0);
});
