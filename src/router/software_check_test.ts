// Guards against a stream that goes on at another version since the entry's knowledge is older than it.
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { Result } from "true-myth";
import { Metrics } from "../base/mod.ts";
import { START_POSITION } from "../store/position.ts";
import type { KeyValueEntry, StoreFailure } from "../store/store.ts";
import { registration, TestClock } from "./_kit.ts";
import { SoftwareCheck } from "./software_check.ts";
import { SoftwareVersions } from "./software_versions.ts";

type Read = Result<KeyValueEntry | undefined, StoreFailure>;

/** A check whose reads are answered by the test, and whose waits for an answer end when it says so. */
function setUp({ entryCount = 4, isStoreServing = true } = {}) {
  const clock = new TestClock();
  const timeouts: (() => void)[] = [];
  const reads: ((read: Read) => void)[] = [];
  const versions = SoftwareVersions.create({
    clock,
    streamLifetimeMs: () => 0,
  });
  versions.joined(registration("i-1", { softwareVersion: "v1" }));
  const check = SoftwareCheck.create({
    store: { get: () => new Promise((resolve) => reads.push(resolve)) },
    clock: {
      ...clock,
      nowMs: clock.nowMs,
      sleep: async (ms) => {
        if (ms >= 300) return new Promise((end) => timeouts.push(end));
        const endMs = clock.nowMs() + ms;
        do await setImmediate(); while (clock.nowMs() < endMs);
      },
    },
    metrics: Metrics.create(),
    versions,
    entryCount: () => entryCount,
    isStoreServing: () => isStoreServing,
  });
  return { check, clock, timeouts, reads, versions };
}

function recordOf(versions: (string | null)[]): Read {
  const value = new TextEncoder().encode(JSON.stringify({ versions }));
  const [modPosition, createPosition] = [START_POSITION, START_POSITION];
  return Result.ok({ key: "k", value, modPosition, createPosition });
}

async function turns(count = 3): Promise<void> {
  for (let i = 0; i < count; i++) await setImmediate();
}

test("read that was sent before a stream is taken up does not count for it", async () => {
  const { check, clock, reads } = setUp();
  const first = check.ask("engines");
  await turns();
  clock.advance(100);
  const second = check.ask("engines");
  const third = check.ask("engines");
  await turns();
  // The two that were asked together share a read.
  assert.equal(reads.length, 2);
  reads[0]!(recordOf(["v1"]));
  assert.deepEqual(await first, { kind: "one_version", softwareVersion: "v1" });
  reads[1]!(recordOf(["v1", "v2"]));
  assert.deepEqual(await second, { kind: "several_versions" });
  assert.deepEqual(await third, { kind: "several_versions" });
});

test("version that the entry doesn't know is another one, and isn't kept known by checks", async () => {
  const { check, reads, versions } = setUp();
  const answer = check.ask("engines");
  await turns();
  reads[0]!(recordOf(["v2"]));
  assert.deepEqual(await answer, { kind: "several_versions" });
  assert.deepEqual(versions.current("engines"), ["v1"]);
});

test("servers that state no version are one version", async () => {
  const { check, reads } = setUp();
  const answer = check.ask("others");
  await turns();
  reads[0]!(recordOf([null]));
  const kind = "one_version";
  assert.deepEqual(await answer, { kind, softwareVersion: undefined });
});

test("missing record and failed read are no answer about the version", async () => {
  const { check, clock, reads } = setUp();
  const missing = check.ask("engines");
  await turns();
  reads[0]!(Result.ok(undefined));
  assert.deepEqual(await missing, { kind: "not_recorded" });
  clock.advance(100);
  const failed = check.ask("engines");
  await turns();
  reads[1]!(Result.err({ kind: "unavailable", message: "away" }));
  assert.deepEqual(await failed, { kind: "no_answer" });
});

test("silent store is waited for no longer than the limit", async () => {
  const { check, timeouts } = setUp();
  const answer = check.ask("engines");
  await turns();
  for (const end of timeouts) end();
  assert.deepEqual(await answer, { kind: "no_answer" });
});

test("store that does not answer is not read", async () => {
  const { check, reads } = setUp({ isStoreServing: false });
  assert.deepEqual(await check.ask("engines"), { kind: "no_answer" });
  assert.equal(reads.length, 0);
});

for (const entryCount of [4, 30, 360]) {
  test(`reads of ${entryCount} entries together stay within their rate`, async () => {
    const { check, clock, reads } = setUp({ entryCount });
    for (let ms = 0; ms < 10_000; ms++) {
      void check.ask("engines");
      await turns(1);
      clock.advance(1);
    }
    clock.advance(1000);
    assert.ok(reads.length > 0);
    const burst = Math.max(24, 3 * entryCount);
    assert.ok(reads.length * entryCount <= 10 * 40 + burst + entryCount);
  });
}
