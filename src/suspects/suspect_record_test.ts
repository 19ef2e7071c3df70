import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { silentLog, TestClock } from "../router/_kit.ts";
import { positionAt } from "../store/position.ts";
import { SuspectRecord, type SuspectSource } from "./suspect_record.ts";
import { SuspectTable } from "./suspect_table.ts";

/** Longer than the wait for a write of the process that observed the change. */
const WAIT_MS = 10_000;

// Suspects that a restore has taken back from the store were lost at a restart of all entries.
test("record that a restored store lacks is written again", async () => {
  const clock = new TestClock();
  const table = SuspectTable.create(clock);
  for (const server of ["s1", "s2"]) {
    const atMs = clock.nowMs();
    table.recordEnd("digest", { server, answeringMs: 5, atMs, runMs: 500 });
  }
  const source: SuspectSource = {
    table,
    hasUnrecordedChanges: false,
    mergeEnd: () => {},
    markRecorded: () => {},
  };
  let writes = 0;
  const record = SuspectRecord.create({
    key: "key",
    minEnds: 2,
    store: {
      commit: () => {
        writes++;
        const position = positionAt(1, BigInt(writes));
        return Promise.resolve(Result.ok({ kind: "committed", position }));
      },
    },
    clock,
    log: silentLog,
    random: () => 0,
    source,
    record: () => undefined,
    isStoreServing: () => true,
  });
  const updateTwice = async () => {
    await record.update();
    clock.advance(WAIT_MS);
    await record.update();
  };
  await updateTwice();
  await updateTwice();
  assert.equal(writes, 1);
  record.forgetWrite();
  await updateTwice();
  assert.equal(writes, 2);
});
