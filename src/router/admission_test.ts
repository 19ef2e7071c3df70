import assert from "node:assert/strict";
import { test } from "node:test";
import { type Arrival, comeBackMs, isWorthSending } from "./admission.ts";

const LATE: Arrival = {
  expectedMs: 950,
  queueMs: 800,
  targetMs: 1000,
  leftMs: 3000,
  routeMs: 3000,
};

test("request that would be late is put off", () => {
  assert.equal(isWorthSending(LATE), false);
  assert.equal(isWorthSending({ ...LATE, expectedMs: 800 }), true);
});

test("request that has come back is let in", () => {
  for (const chance of [0, 0.5, 1]) {
    const leftMs = LATE.leftMs - comeBackMs(LATE.leftMs, () => chance);
    assert.equal(isWorthSending({ ...LATE, leftMs }), true);
  }
});

test("client is told to come back within a third of its time", () => {
  assert.ok(comeBackMs(3000, () => 1) <= 1000);
  assert.equal(comeBackMs(-5, () => 1), 0);
});

test("prompt that is long by itself is let in", () => {
  assert.equal(isWorthSending({ ...LATE, queueMs: 100 }), true);
});
