import assert from "node:assert/strict";
import { getEventListeners } from "node:events";
import { test } from "node:test";
import { systemClock } from "./clock.ts";

const SLEEP_COUNT = 20;
const LONG_MS = 60_000;

// Each pending sleep used to add an abort listener to the process-wide signal. With four engines
// changing their weights, seven loops and a lease, there were 12 listeners, so Node printed a leak
// warning as plain text among the JSON log lines.
test("pending sleeps of one signal share a listener", async () => {
  const end = new AbortController();
  const sleeps = Array.from(
    { length: SLEEP_COUNT },
    () => systemClock.sleep(LONG_MS, end.signal),
  );
  const { length } = getEventListeners(end.signal, "abort");
  end.abort();
  await Promise.all(sleeps);
  assert.equal(length, 1);
});

// A loop sleeps with the same signal for the lifetime of the process, so leaks would add up.
test("finished sleeps leave no listener", async () => {
  const end = new AbortController();
  const sleeps = Array.from(
    { length: SLEEP_COUNT },
    (_, i) => systemClock.sleep(i % 2, end.signal),
  );
  await Promise.all(sleeps);
  assert.equal(getEventListeners(end.signal, "abort").length, 0);
});

// Removing sleeps that have finished must not remove the listener that pending sleeps need.
test("an abort ends a pending sleep after other sleeps have finished", async () => {
  const end = new AbortController();
  const long = systemClock.sleep(LONG_MS, end.signal);
  await systemClock.sleep(1, end.signal);
  await systemClock.sleep(1, end.signal);
  end.abort();
  await long;
  await systemClock.sleep(LONG_MS, end.signal);
});
