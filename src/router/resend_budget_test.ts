import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { seededRandom } from "../base/random.ts";
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

function drainForBegun(budget: ResendBudget): number {
  let count = 0;
  while (budget.spendForBegun("engines")) count++;
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
  const { budget, clock } = create(200);
  assert.ok(!budget.spend("engines", 2));
  for (let i = 0; i < 20; i++) budget.earn("engines");
  assert.ok(budget.spend("engines", 2));
  assert.ok(!budget.spend("engines"));
  budget.refund("engines", 1, { atMs: clock.nowMs() });
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

// What an entry had spent once came back only with requests, and its streams were cut long after.
test("what was spent is there again after a whole window", () => {
  const { clock, budget } = create(4);
  clock.advance(LIMITS.windowMs);
  const first = drainForBegun(budget);
  clock.advance(LIMITS.windowMs / 2);
  assert.equal(drainForBegun(budget), 0);
  clock.advance(LIMITS.windowMs);
  assert.equal(drainForBegun(budget), first);
});

test("resends that were not made are given back", () => {
  const { clock, budget } = create(4);
  drain(budget);
  const atMs = clock.nowMs();
  clock.advance(LIMITS.windowMs / 4);
  const left = budget.left("engines");
  budget.refund("engines", 2, { atMs });
  assert.equal(budget.left("engines"), left + 2);
  // What has left the window is free by now: given back, it would be there twice.
  clock.advance(LIMITS.windowMs * 2);
  const whole = budget.left("engines");
  budget.refund("engines", 2, { atMs });
  assert.equal(budget.left("engines"), whole);
});

// Given back after its window, a send was there twice.
test("refund after its window adds nothing", () => {
  const { clock, budget } = create(1);
  clock.advance(LIMITS.windowMs);
  const atMs = clock.nowMs();
  assert.ok(budget.spend("engines", 2));
  clock.advance(2 * LIMITS.windowMs);
  const used = drainForBegun(budget);
  budget.refund("engines", 2, { atMs });
  assert.equal(drainForBegun(budget), 0, `${used} used`);
});

// Given back late in its window, sends counted for the window after it as well.
test("refund late in its window adds nothing to the next one", () => {
  const { clock, budget } = create(1);
  clock.advance(LIMITS.windowMs);
  const atMs = clock.nowMs();
  assert.ok(budget.spend("engines", 20));
  clock.advance(LIMITS.windowMs * 0.9);
  let used = drainForBegun(budget);
  budget.refund("engines", 20, { atMs });
  used += drainForBegun(budget);
  clock.advance(LIMITS.windowMs * 0.2);
  used += drainForBegun(budget);
  assert.ok(used <= 75, `${used} used`);
});

// Entries that spend all they can at the moments that suit them worst.
test("no window has more resends than all entries together are allowed", () => {
  const entryCount = 8;
  const stepMs = 100;
  const steps = 600;
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const random = seededRandom(seed);
      const { clock, budget } = create(entryCount);
      const budgets = [budget];
      while (budgets.length < entryCount) {
        budgets.push(ResendBudget.create({
          clock,
          limits: LIMITS,
          entryCount: () => entryCount,
        }));
      }
      const requests: number[] = [];
      const resends: number[] = [];
      const setAside: { budget: ResendBudget; atMs: number }[] = [];
      for (let step = 0; step < steps; step++) {
        const load = random() < 0.5 ? 0 : Math.floor(20 * random());
        requests.push(0);
        resends.push(0);
        for (const each of budgets) {
          for (let i = 0; i < load * random(); i++) {
            each.earn("engines");
            requests[step]!++;
          }
          if (random() < 0.1) resends[step]! += drain(each);
          while (random() < 0.3 && each.spendForBegun("engines")) {
            resends[step]!++;
          }
          // Sends that were set aside for a move, and not made.
          if (random() < 0.2 && each.spend("engines", 2)) {
            setAside.push({ budget: each, atMs: clock.nowMs() });
          }
          if (random() < 0.2) {
            const move = setAside.shift();
            move?.budget.refund("engines", 2, move);
          }
        }
        clock.advance(stepMs);
      }
      const window = LIMITS.windowMs / stepMs;
      for (let end = 2 * window; end <= steps; end++) {
        const of = (counts: number[], before: number) =>
          sum(counts.slice(end - window - before, end - before));
        const most = Math.max(
          of(requests, 0),
          of(requests, window / 2),
          of(requests, window),
        );
        const allowed = LIMITS.ratio * most + LIMITS.slack;
        assert.ok(of(resends, 0) <= allowed, `step ${end}`);
      }
    }),
    { numRuns: 20, seed: 7 },
  );
});

function sum(counts: number[]): number {
  return counts.reduce((all, count) => all + count, 0);
}
