import assert from "node:assert/strict";
import { test } from "node:test";
import {
  computeCapacity,
  countUrgent,
  INITIAL_LOAD_MS,
  maxConcurrentLoads,
} from "./roll_pace.ts";

/** Age of replaced weights by which engines must be ordered. */
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

test("engines that can be ordered one after the other are not urgent", () => {
  assert.equal(countUrgent(pace([])), 0);
  assert.equal(countUrgent(pace(sameAge(5, 0), 1)), 0);
});

test("more engines are urgent the less time is left", () => {
  const late = [0, 3000, 5000, 6500, 7500].map((ms) =>
    countUrgent(pace(sameAge(6, ms)))
  );
  assert.deepEqual(late, [1, 2, 2, 3, 6]);
});

test("all overdue engines are urgent, however many are held back", () => {
  const overdue = sameAge(4, ORDER_BY_MS + 1);
  assert.equal(countUrgent(pace(overdue, 2)), 4);
});

test("held-back engines reduce the number of urgent ones", () => {
  assert.equal(countUrgent(pace(sameAge(3, 5000), 1)), 1);
  assert.equal(countUrgent(pace(sameAge(2, 5000), 1)), 0);
});

test("engine with old weights is urgent by its own age", () => {
  assert.equal(countUrgent(pace([8000, 0, 0, 0], 1)), 1);
});

test("a fifth of the engines may be held back with runs, at least two in all", () => {
  assert.deepEqual(computeCapacity(pace([])), { busy: 1, total: 2 });
  const idleOut = { ...pace([], 1), busyHeldBackCount: 0 };
  assert.deepEqual(computeCapacity(idleOut), { busy: 1, total: 1 });
});

test("limits are a fifth with runs and a quarter in all where engines are many", () => {
  const many = { ...pace([]), engineCount: 20 };
  assert.deepEqual(computeCapacity(many), { busy: 4, total: 5 });
});

test("number of concurrent loads grows with the number of engines", () => {
  assert.deepEqual([3, 8, 13, 40, 53].map(maxConcurrentLoads), [
    2,
    2,
    3,
    10,
    13,
  ]);
});

test("more engines are urgent if loads take longer", () => {
  const input = pace(sameAge(6, 3000));
  const slow = countUrgent({ ...input, loadMs: 4000 });
  assert.ok(slow > countUrgent(input));
});
