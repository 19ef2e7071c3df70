import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { seededRandom } from "../base/random.ts";
import { positionAt } from "../store/position.ts";
import type { KeyValueStore } from "../store/store.ts";
import { silentLog, TestClock } from "./_kit.ts";
import { StoreMirror } from "./mirror.ts";
import { Registration } from "./registration.ts";

const SEED = 20_261_204;
const ENTRY_COUNT = 360;
/** The store's limit for all entries together. */
const WRITES_PER_SECOND = 400;
/** A lease, and the commit of the key. */
const WRITES_PER_REGISTRATION = 2;

// A restored store renews the lease of a lost registration if it has given out its id again.
test("entry registers again once its lease is renewed in another era", async () => {
  const clock = new TestClock();
  const stop = new AbortController();
  const calls: string[] = [];
  const renewals = () => calls.filter((call) => call === "renew").length;
  /** Era of the answers; the restore comes before the fourth renewal. */
  const era = () => renewals() < 4 ? 1 : 2;
  const lease = () =>
    Promise.resolve(Result.ok({ leaseId: 7n, ttlMs: 60_000, era: era() }));
  const store: Partial<KeyValueStore> = {
    grantLease: () => {
      calls.push("grant");
      return lease();
    },
    renewLease: () => {
      calls.push("renew");
      if (renewals() === 6) stop.abort();
      return lease();
    },
    commit: () => {
      calls.push("commit");
      const position = positionAt(era(), 9n);
      return Promise.resolve(Result.ok({ kind: "committed", position }));
    },
  };
  const registration = Registration.create({
    store: store as KeyValueStore,
    mirror: StoreMirror.create(clock),
    clock: Object.assign(clock, { sleep: () => Promise.resolve() }),
    log: silentLog,
    instance: "entry-1",
    ipAddress: "10.0.0.9",
    random: () => 0.5,
  });
  await registration.run(stop.signal);
  const renew = (count: number) => Array(count).fill("renew");
  assert.deepEqual(calls, [
    "grant",
    "commit",
    ...renew(4),
    "grant",
    "commit",
    ...renew(2),
  ]);
});

// Entries that had started together registered in the same moment after a restore: 720 writes of 360
// entries, where the store takes 400 a second.
test("entries that started together register apart after a restore", async () => {
  const random = seededRandom(SEED);
  const registeredAtMs: number[] = [];
  for (let i = 0; i < ENTRY_COUNT; i++) {
    registeredAtMs.push(await timeOfSecondRegistration(random));
  }
  registeredAtMs.sort((a, b) => a - b);
  const maxPerSecond = WRITES_PER_SECOND / WRITES_PER_REGISTRATION;
  for (let i = maxPerSecond; i < ENTRY_COUNT; i++) {
    const withinMs = registeredAtMs[i]! - registeredAtMs[i - maxPerSecond]!;
    assert.ok(withinMs > 1000, `${maxPerSecond + 1} within ${withinMs} ms`);
  }
});

/** The restore comes before the first renewal. */
async function timeOfSecondRegistration(random: () => number): Promise<number> {
  const clock = new TestClock();
  const startMs = clock.nowMs();
  const stop = new AbortController();
  let grants = 0;
  const lease = (era: number) =>
    Promise.resolve(Result.ok({ leaseId: 7n, ttlMs: 60_000, era }));
  const store: Partial<KeyValueStore> = {
    grantLease: () => {
      if (++grants === 2) stop.abort();
      return lease(grants);
    },
    renewLease: () => lease(2),
    commit: () => {
      const position = positionAt(grants, 9n);
      return Promise.resolve(Result.ok({ kind: "committed", position }));
    },
  };
  const registration = Registration.create({
    store: store as KeyValueStore,
    mirror: StoreMirror.create(clock),
    clock: Object.assign(clock, {
      sleep: (ms = 0) => {
        clock.advance(ms);
        return Promise.resolve();
      },
    }),
    log: silentLog,
    instance: "entry-1",
    ipAddress: "10.0.0.9",
    random,
  });
  await registration.run(stop.signal);
  return clock.nowMs() - startMs;
}
