import assert from "node:assert/strict";
import { getEventListeners } from "node:events";
import { test } from "node:test";
import { systemClock } from "./clock.ts";

const SLEEPERS = 20;
const LONG_MS = 60_000;

// Four engines that changed their weights slept under the process's one signal beside its seven
// loops and a lease: Node took 12 listeners for a leak and said so in plain text among log lines.
test("sleepers under one signal share a listener", async () => {
  const end = new AbortController();
  const sleeps = Array.from(
    { length: SLEEPERS },
    () => systemClock.sleep(LONG_MS, end.signal),
  );
  const { length } = getEventListeners(end.signal, "abort");
  end.abort();
  await Promise.all(sleeps);
  assert.equal(length, 1);
});

// A loop sleeps under its signal as long as the process lives.
test("sleepers that woke leave no listener", async () => {
  const end = new AbortController();
  const sleeps = Array.from(
    { length: SLEEPERS },
    (_, i) => systemClock.sleep(i % 2, end.signal),
  );
  await Promise.all(sleeps);
  assert.equal(getEventListeners(end.signal, "abort").length, 0);
});

// What is left of the sleepers must still hear the signal when others have woken.
test("sleeper wakes at the signal after others woke by themselves", async () => {
  const end = new AbortController();
  const long = systemClock.sleep(LONG_MS, end.signal);
  await systemClock.sleep(1, end.signal);
  await systemClock.sleep(1, end.signal);
  end.abort();
  await long;
  await systemClock.sleep(LONG_MS, end.signal);
});
