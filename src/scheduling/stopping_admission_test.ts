/** Admission at a process that ends soon. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionQueue } from "./admission_queue.ts";

const HOLD_MS = 100;
const REQUEST = {
  priority: 0,
  workspace: "w",
  units: 1,
  deadlineAtMs: 20_000,
  outputMs: 0,
  bodyBytes: 0,
};

// Guards against holding requests that other processes could serve, and against sending them too late.
test("request waits only as long as it can be answered before the process ends", () => {
  let endAtMs = Infinity;
  const queue = AdmissionQueue.create({
    random: () => 0,
    holdMs: HOLD_MS,
    held: { count: 0, bytes: 0 },
    reportIntervalMs: () => 50,
    endAtMs: () => endAtMs,
    nowMs: 0,
  });
  const share = { allowance: 1, isMet: false };
  queue.apply({ kind: "divided", shares: new Map([["0/w", share]]) }, 0);
  queue.offer(REQUEST, 0);
  const waiting = queue.offer(REQUEST, 0);
  assert.ok(waiting.kind === "waiting");
  endAtMs = 1000;
  queue.expire(500);
  assert.equal(queue.isWaiting, true);
  queue.expire(endAtMs - HOLD_MS / 2);
  const { settlement } = waiting.ticket;
  assert.ok(settlement?.kind === "refused");
  assert.ok(settlement.retryAfterMs < 2 * HOLD_MS, "tells to return late");
  assert.equal(queue.offer(REQUEST, endAtMs - 1).kind, "refused");
});
