/** Short seeded runs of the soak; the long ones are started by hand (`npm run soak`). */
import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./_soak.ts";
import { planSoak } from "./_soak_plan.ts";

const SEEDS = [1, 2, 3, 4];
const SIZES = { entryCount: 4, serverCount: 6, durationMs: 15_000 };

test("same seed gives the same plan", () => {
  assert.deepEqual(planSoak(7, SIZES), planSoak(7, SIZES));
  assert.notDeepEqual(planSoak(7, SIZES).faults, planSoak(8, SIZES).faults);
});

for (const seed of SEEDS) {
  test(`faults at real processes break no promise, seed ${seed}`, async () => {
    const { violations, counts } = await runSoak(planSoak(seed, SIZES));
    assert.deepEqual(violations, []);
    assert.ok((counts["200"] ?? 0) > 0);
  });
}
