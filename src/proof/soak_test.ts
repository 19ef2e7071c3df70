/** Short seeded runs of the soak; the long ones are started by hand (`npm run soak`). */
import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./_soak.ts";
import { planSoak } from "./_soak_plan.ts";

const SEEDS = [1, 2, 3, 4];
const SIZES = { entryCount: 4, serverCount: 6, durationMs: 15_000 };

for (const seed of SEEDS) {
  test(`faults at real processes break no promise, seed ${seed}`, async () => {
    const { violations, counts, unframed, store } = await runSoak(
      planSoak(seed, SIZES),
    );
    assert.deepEqual(violations, []);
    assert.ok((counts["200"] ?? 0) > 0);
    // Checks that see nothing would find nothing.
    assert.ok(unframed.whole > 0 && unframed.cut > 0);
    assert.ok(store.busiestCalls > 0);
  });
}
