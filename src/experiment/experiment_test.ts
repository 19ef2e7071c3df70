import assert from "node:assert/strict";
import { test } from "node:test";
import { PolicyName } from "../placement/mod.ts";
import { buildLakeshore } from "./lakeshore.ts";
import { runOnce } from "./run_once.ts";
import { percentile, spreadOf, summarize } from "./summary.ts";
import { VirtualClock } from "./virtual_clock.ts";
import type { EventTimes, Workload } from "./workload.ts";

const SHORT: EventTimes = {
  warmMs: 500,
  shiftMs: 1_000,
  crashMs: 1_500,
  restartMs: 2_000,
  drainMs: 2_500,
  endMs: 4_000,
};

function createShortWorkload(seed: number): Workload {
  const whole = buildLakeshore(seed);
  const requests = whole.requests.filter(({ atMs }) => atMs < SHORT.endMs);
  return { ...whole, requests, events: SHORT };
}

test("the virtual clock wakes sleeping tasks in order", async () => {
  const clock = VirtualClock.create();
  const woken: string[] = [];
  const sleep = async (name: string, ms: number) => {
    await clock.sleep(ms);
    woken.push(`${name} ${clock.nowMs()}`);
  };
  void sleep("b", 20);
  void sleep("a", 10).then(() => sleep("c", 10));
  void sleep("late", 1000);
  await clock.advance(100);
  assert.deepEqual(woken, ["a 10", "b 20", "c 20"]);
  assert.equal(clock.nowMs(), 100);
});

test("aborting a sleep resolves it immediately", async () => {
  const clock = VirtualClock.create();
  const abort = new AbortController();
  const sleeping = clock.sleep(1000, abort.signal);
  abort.abort();
  await sleeping;
  assert.equal(clock.nowMs(), 0);
});

test("percentiles are taken from the given values", () => {
  assert.equal(percentile([5, 1, 3], 0.5), 3);
  assert.equal(percentile([5, 1, 3], 0.99), 5);
  assert.deepEqual(spreadOf([2, 9, 4]), { median: 4, lowest: 2, highest: 9 });
});

test("runs with equal seeds are equal, and every request ends", async () => {
  const workload = createShortWorkload(3);
  const options = {
    contestant: PolicyName.Offers,
    seed: 3,
    without: new Set<never>(),
  };
  const [one, two] = [
    await runOnce(workload, options),
    await runOnce(workload, options),
  ];
  assert.equal(one.requests.length, workload.requests.length);
  assert.deepEqual(summarize(workload, one), summarize(workload, two));
});

test("every contestant answers more than 90% of a short workload", async () => {
  const workload = createShortWorkload(4);
  for (const contestant of [...Object.values(PolicyName), "oracle"] as const) {
    const trace = await runOnce(workload, {
      contestant,
      seed: 4,
      without: new Set(),
    });
    const answered = trace.requests.filter(({ outcome }) =>
      outcome === "answered"
    );
    assert.ok(answered.length > 0.9 * workload.requests.length, contestant);
  }
});
