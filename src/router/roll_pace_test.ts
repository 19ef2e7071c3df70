import assert from "node:assert/strict";
import { test } from "node:test";
import {
  computeCapacity,
  countUrgent,
  INITIAL_LOAD_MS,
  maxConcurrentLoads,
} from "./roll_pace.ts";

/** Age of replaced weights at which engines are to be ordered. */
const ORDER_BY_MS = 8500;

function pace(replacedMs: number[], heldBackCount = 0) {
  return {
    engineCount: 6,
    heldBackCount,
    busyHeldBackCount: heldBackCount,
    replacedMs,
    orderByMs: ORDER_BY_MS,
    loadMs: INITIAL_LOAD_MS,
  };
}

function sameAge(count: number, ms: number): number[] {
  return Array.from({ length: count }, () => ms);
}

test("engines that fit one after the other are not late", () => {
  assert.equal(countUrgent(pace([])), 0);
  assert.equal(countUrgent(pace(sameAge(5, 0), 1)), 0);
});

test("more are late the less time is left", () => {
  const late = [0, 3000, 5000, 6500, 7500].map((ms) =>
    countUrgent(pace(sameAge(6, ms)))
  );
  assert.deepEqual(late, [1, 2, 2, 3, 6]);
});

test("all that are overdue are late, whatever is out", () => {
  const overdue = sameAge(4, ORDER_BY_MS + 1);
  assert.equal(countUrgent(pace(overdue, 2)), 4);
});

test("engine that is out makes room for the next ones", () => {
  assert.equal(countUrgent(pace(sameAge(3, 5000), 1)), 1);
  assert.equal(countUrgent(pace(sameAge(2, 5000), 1)), 0);
});

test("old engine among new ones counts by its own age", () => {
  assert.equal(countUrgent(pace([8000, 0, 0, 0], 1)), 1);
});

test("engines with runs have room for a fifth, all together for two", () => {
  assert.deepEqual(computeCapacity(pace([])), { busy: 1, total: 2 });
  const idleOut = { ...pace([], 1), busyHeldBackCount: 0 };
  assert.deepEqual(computeCapacity(idleOut), { busy: 1, total: 1 });
});

test("a fifth of many engines, and a quarter without runs, is more than two", () => {
  const many = { ...pace([]), engineCount: 20 };
  assert.deepEqual(computeCapacity(many), { busy: 4, total: 5 });
});

test("more engines load at once the more there are", () => {
  assert.deepEqual([3, 8, 13, 40, 53].map(maxConcurrentLoads), [
    2,
    2,
    3,
    10,
    13,
  ]);
});

test("more are late where weights load longer", () => {
  const input = pace(sameAge(6, 3000));
  const slow = countUrgent({ ...input, loadMs: 4000 });
  assert.ok(slow > countUrgent(input));
});
