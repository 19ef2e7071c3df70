import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock } from "./_kit.ts";
import { ResendBudget } from "./resend_budget.ts";

const LIMITS = { ratio: 0.2, slack: 100, windowMs: 10_000 };

function create(entryCount: number) {
  const clock = new TestClock();
  const budget = ResendBudget.create({
    clock,
    limits: LIMITS,
    entryCount: () => entryCount,
  });
  return { clock, budget };
}

/** @returns How many resends are within the budget now. */
function drain(budget: ResendBudget): number {
  let count = 0;
  while (budget.spend("engines")) count++;
  return count;
}

test("entries together have less than the allowance beside the ratio", () => {
  for (const entryCount of [1, 4, 16]) {
    const { clock, budget } = create(entryCount);
    clock.advance(LIMITS.windowMs);
    const all = drain(budget) * entryCount;
    assert.ok(all > 0 && all <= LIMITS.slack, `${entryCount}: ${all}`);
  }
});

test("two lots, before a start and after it, are within the allowance", () => {
  const { clock, budget } = create(4);
  const afterStart = drain(create(4).budget);
  clock.advance(LIMITS.windowMs);
  assert.ok((drain(budget) + afterStart) * 4 <= LIMITS.slack);
});

test("requests earn less than the ratio", () => {
  const { budget } = create(4);
  drain(budget);
  let resends = 0;
  for (let i = 0; i < 1000; i++) {
    budget.earn("engines");
    resends += drain(budget);
  }
  assert.ok(resends > 100 && resends < 200, `${resends}`);
});

test("many entries with a small part each may still move a run", () => {
  const { budget } = create(200);
  assert.ok(!budget.spend("engines", 2));
  for (let i = 0; i < 20; i++) budget.earn("engines");
  assert.ok(budget.spend("engines", 2));
  assert.ok(!budget.spend("engines"));
  budget.refund("engines", 1);
  assert.ok(budget.spend("engines"));
});

test("services have budgets of their own", () => {
  const { budget } = create(1);
  drain(budget);
  assert.ok(budget.spend("plain"));
});

// A stream that its engine cut in the middle was closed on its caller since other requests had used
// the budget up a moment before.
test("streams under way go on when the other resends are spent", () => {
  const { budget } = create(4);
  assert.ok(drain(budget) > 0);
  assert.ok(budget.spendForBegun("engines"));
});

test("resends and streams that go on are within the allowance together", () => {
  for (const entryCount of [1, 4, 16]) {
    const { clock, budget } = create(entryCount);
    clock.advance(LIMITS.windowMs);
    let count = drain(budget);
    while (budget.spendForBegun("engines")) count++;
    assert.ok(count * entryCount <= LIMITS.slack, `${entryCount}: ${count}`);
  }
});
