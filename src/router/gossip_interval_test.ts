import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../base/random.ts";
import { jittered, MIN_INTERVAL_MS, rotated } from "./gossip_interval.ts";

const SEED = 20_261_204;
const DRAWS = 1000;

// Guards against a fixed send order: on a busy link, an entry received nothing from the same four to
// nine peers for up to 4 s, and missed their usage of workspace limits.
test("every entry is equally often the last to be sent to", () => {
  const random = seededRandom(SEED);
  const names = ["a", "b", "c", "d"];
  const last = new Map<string, number>();
  for (let i = 0; i < DRAWS; i++) {
    const order = rotated(names, random);
    assert.deepEqual(order.toSorted(), names);
    const name = order.at(-1)!;
    last.set(name, (last.get(name) ?? 0) + 1);
  }
  for (const name of names) {
    assert.ok(Math.abs(last.get(name)! - DRAWS / 4) < DRAWS / 10, name);
  }
  assert.deepEqual(rotated([], random), []);
});

test("jitter moves entries out of step and keeps the mean interval", () => {
  const random = seededRandom(SEED);
  let oneMs = 0;
  let otherMs = 0;
  for (let i = 0; i < DRAWS; i++) {
    oneMs += jittered(MIN_INTERVAL_MS, random);
    otherMs += jittered(MIN_INTERVAL_MS, random);
  }
  assert.ok(Math.abs(oneMs - otherMs) > MIN_INTERVAL_MS);
  assert.ok(Math.abs(oneMs / DRAWS / MIN_INTERVAL_MS - 1) < 0.05);
});
