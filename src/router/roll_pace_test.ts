import assert from "node:assert/strict";
import { test } from "node:test";
import { countLate, LOAD_MS, loadsAtOnce, roomToChange } from "./roll_pace.ts";

/** Age of replaced weights at which engines are to be ordered. */
const ORDER_BY_MS = 8500;

function pace(replacedMs: number[], outCount = 0) {
  return {
    engineCount: 6,
    outCount,
    busyOutCount: outCount,
    replacedMs,
    orderByMs: ORDER_BY_MS,
    loadMs: LOAD_MS,
  };
}

function sameAge(count: number, ms: number): number[] {
  return Array.from({ length: count }, () => ms);
}

test("engines that fit one after the other are not late", () => {
  assert.equal(countLate(pace([])), 0);
  assert.equal(countLate(pace(sameAge(5, 0), 1)), 0);
});

test("more are late the less time is left", () => {
  const late = [0, 3000, 5000, 6500, 7500].map((ms) =>
    countLate(pace(sameAge(6, ms)))
  );
  assert.deepEqual(late, [1, 2, 2, 3, 6]);
});

test("all that are overdue are late, whatever is out", () => {
  const overdue = sameAge(4, ORDER_BY_MS + 1);
  assert.equal(countLate(pace(overdue, 2)), 4);
});

test("engine that is out makes room for the next ones", () => {
  assert.equal(countLate(pace(sameAge(3, 5000), 1)), 1);
  assert.equal(countLate(pace(sameAge(2, 5000), 1)), 0);
});

test("old engine among new ones counts by its own age", () => {
  assert.equal(countLate(pace([8000, 0, 0, 0], 1)), 1);
});

test("engines with runs have room for a fifth, all together for two", () => {
  assert.deepEqual(roomToChange(pace([])), { busy: 1, all: 2 });
  const idleOut = { ...pace([], 1), busyOutCount: 0 };
  assert.deepEqual(roomToChange(idleOut), { busy: 1, all: 1 });
});

test("a fifth of many engines, and a quarter without runs, is more than two", () => {
  const many = { ...pace([]), engineCount: 20 };
  assert.deepEqual(roomToChange(many), { busy: 4, all: 5 });
});

test("more engines load at once the more there are", () => {
  assert.deepEqual([3, 8, 13, 40, 53].map(loadsAtOnce), [2, 2, 3, 10, 13]);
});

test("more are late where weights load longer", () => {
  const input = pace(sameAge(6, 3000));
  const slow = countLate({ ...input, loadMs: 4000 });
  assert.ok(slow > countLate(input));
});
