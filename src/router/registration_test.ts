import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { positionAt } from "../store/position.ts";
import type { KeyValueStore } from "../store/store.ts";
import { silentLog, TestClock } from "./_kit.ts";
import { StoreMirror } from "./mirror.ts";
import { Registration } from "./registration.ts";

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
