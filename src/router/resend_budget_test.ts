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

/** @returns Number of resends that the budget allowed; all are charged. */
function spendAll(budget: ResendBudget): number {
  let count = 0;
  while (budget.spend("engines")) count++;
  return count;
}

function spendAllForStartedStreams(budget: ResendBudget): number {
  let count = 0;
  while (budget.spendForStartedStream("engines")) count++;
  return count;
}

test("all entries together use at most the slack", () => {
  for (const entryCount of [1, 4, 16]) {
    const { clock, budget } = create(entryCount);
    clock.advance(LIMITS.windowMs);
    const all = spendAll(budget) * entryCount;
    assert.ok(all > 0 && all <= LIMITS.slack, `${entryCount}: ${all}`);
  }
});

test("resends before and after a restart together are within the slack", () => {
  const { clock, budget } = create(4);
  const afterStart = spendAll(create(4).budget);
  clock.advance(LIMITS.windowMs);
  assert.ok((spendAll(budget) + afterStart) * 4 <= LIMITS.slack);
});

test("requests earn less than the ratio", () => {
  const { budget } = create(4);
  spendAll(budget);
  let resends = 0;
  for (let i = 0; i < 1000; i++) {
    budget.recordRequest("engines");
    resends += spendAll(budget);
  }
  assert.ok(resends > 100 && resends < 200, `${resends}`);
});

test("entries with small parts of the limit can still move a run", () => {
  const { budget, clock } = create(200);
  assert.ok(!budget.spend("engines", 2));
  for (let i = 0; i < 20; i++) budget.recordRequest("engines");
  assert.ok(budget.spend("engines", 2));
  assert.ok(!budget.spend("engines"));
  budget.refund("engines", 1, { atMs: clock.nowMs() });
  assert.ok(budget.spend("engines"));
});

test("each service has its own budget", () => {
  const { budget } = create(1);
  spendAll(budget);
  assert.ok(budget.spend("plain"));
});

// Guards against cutting a client's stream after its engine has failed, because other requests have
// just used up the budget.
test("started streams can be resent when other resends are used up", () => {
  const { budget } = create(4);
  assert.ok(spendAll(budget) > 0);
  assert.ok(budget.spendForStartedStream("engines"));
});

test("resends of started streams and other resends together are within the slack", () => {
  for (const entryCount of [1, 4, 16]) {
    const { clock, budget } = create(entryCount);
    clock.advance(LIMITS.windowMs);
    let count = spendAll(budget);
    while (budget.spendForStartedStream("engines")) count++;
    assert.ok(count * entryCount <= LIMITS.slack, `${entryCount}: ${count}`);
  }
});

// Guards against a budget that is restored only by new requests, so that streams are cut long after
// it was used up.
test("budget is restored after a whole window", () => {
  const { clock, budget } = create(4);
  clock.advance(LIMITS.windowMs);
  const first = spendAllForStartedStreams(budget);
  clock.advance(LIMITS.windowMs / 2);
  assert.equal(spendAllForStartedStreams(budget), 0);
  clock.advance(LIMITS.windowMs);
  assert.equal(spendAllForStartedStreams(budget), first);
});

test("resends that were not made are refunded", () => {
  const { clock, budget } = create(4);
  spendAll(budget);
  const atMs = clock.nowMs();
  clock.advance(LIMITS.windowMs / 4);
  const left = budget.left("engines");
  budget.refund("engines", 2, { atMs });
  assert.equal(budget.left("engines"), left + 2);
  // A charge that has left the window is no longer counted; a refund would count it twice.
  clock.advance(LIMITS.windowMs * 2);
  const whole = budget.left("engines");
  budget.refund("engines", 2, { atMs });
  assert.equal(budget.left("engines"), whole);
});

// Guards against counting a send twice that is refunded after its charge has left the window.
test("refund after the window of the charge adds nothing", () => {
  const { clock, budget } = create(1);
  clock.advance(LIMITS.windowMs);
  const atMs = clock.nowMs();
  assert.ok(budget.spend("engines", 2));
  clock.advance(2 * LIMITS.windowMs);
  const used = spendAllForStartedStreams(budget);
  budget.refund("engines", 2, { atMs });
  assert.equal(spendAllForStartedStreams(budget), 0, `${used} used`);
});

// Guards against refunds late in the window of the charge that also increase the next window.
test("refund late in the window of the charge adds nothing to the next window", () => {
  const { clock, budget } = create(1);
  clock.advance(LIMITS.windowMs);
  const atMs = clock.nowMs();
  assert.ok(budget.spend("engines", 20));
  clock.advance(LIMITS.windowMs * 0.9);
  let used = spendAllForStartedStreams(budget);
  budget.refund("engines", 20, { atMs });
  used += spendAllForStartedStreams(budget);
  clock.advance(LIMITS.windowMs * 0.2);
  used += spendAllForStartedStreams(budget);
  assert.ok(used <= 75, `${used} used`);
});

// Each entry uses up its budget at random moments, under random load.
test("no window has more resends than the limit of all entries together", () => {
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
            each.recordRequest("engines");
            requests[step]!++;
          }
          if (random() < 0.1) resends[step]! += spendAll(each);
          while (random() < 0.3 && each.spendForStartedStream("engines")) {
            resends[step]!++;
          }
          // Sends that are reserved for a move and not made.
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
