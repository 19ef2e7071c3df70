import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Arrival,
  comeBackMs,
  enginePriority,
  hasComeBack,
  isShed,
  isWorthSending,
} from "./admission.ts";

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

test("process that keeps up turns nothing away, one far behind everything", () => {
  assert.equal(isShed(70, 0), false);
  assert.equal(isShed(1000, 0.999), true);
  assert.equal(isShed(240, 0.2), true);
  assert.equal(isShed(240, 0.8), false);
});

test("request that has come back waits behind those that come first", () => {
  const isBack = hasComeBack(LATE.leftMs * 0.8, LATE.routeMs);
  assert.equal(isBack, true);
  assert.equal(hasComeBack(LATE.leftMs, LATE.routeMs), false);
  assert.ok(enginePriority(1, true) > enginePriority(2, false));
  assert.equal(enginePriority(9, true), 9);
});

test("client is told to come back within a third of its time", () => {
  assert.ok(comeBackMs(3000, () => 1) <= 1000);
  assert.equal(comeBackMs(-5, () => 1), 0);
});

test("prompt that is long by itself is let in", () => {
  assert.equal(isWorthSending({ ...LATE, queueMs: 100 }), true);
});
