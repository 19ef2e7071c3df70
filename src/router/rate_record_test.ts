import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../lease/manual_clock.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { prefixRange } from "../store/revision_table.ts";
import { registration, silentLog, testFleet } from "./_kit.ts";
import { AnswerRateKind } from "./model.ts";
import { RATE_RECORD_PREFIX, RateRecord } from "./rate_record.ts";

const KEY = `${RATE_RECORD_PREFIX}i-1`;
/** More than the least time between two writes of one record. */
const REWRITE_MS = 5001;

function setUp({ isWriter = true } = {}) {
  const clock = ManualClock.create();
  const store = MemoryStore.create({ clock });
  const records = () => store.table.list(prefixRange(RATE_RECORD_PREFIX));
  const createRecord = () => {
    const fleet = testFleet(clock, {
      recordedRate: (server) => record.statementOf(server),
    });
    const record: RateRecord = RateRecord.create({
      store,
      clock,
      log: silentLog,
      fleet,
      mirror: {
        entries: records,
        entry: (key) => records().find((entry) => entry.key === key),
      },
      isWriterOf: () => isWriter,
      isStoreServing: () => !store.faults.down,
    });
    return { fleet, record };
  };
  return { clock, store, records, createRecord };
}

type Setup = ReturnType<ReturnType<typeof setUp>["createRecord"]>;

function nameRate({ fleet }: Setup, perSecond: number | undefined): void {
  const rate = perSecond === undefined
    ? { kind: AnswerRateKind.none }
    : { kind: AnswerRateKind.limited, perSecond };
  const sentAtMs = Infinity;
  fleet.recordRate(fleet.get("i-1")!, { rate, isRefusal: false, sentAtMs });
}

test("entry that starts adopts the recorded rate of a server", async () => {
  const { clock, createRecord } = setUp();
  const before = createRecord();
  before.fleet.put(registration("i-1", { bornAtMs: 5 }));
  nameRate(before, 2);
  await before.record.update();
  await clock.advance(700);
  const { fleet } = createRecord();
  fleet.put(registration("i-1", { bornAtMs: 5 }));
  assert.deepEqual(fleet.get("i-1")?.announcements.rate.statement, {
    perSecond: 2,
    atMs: clock.nowMs() - 700,
  });
});

test("recorded rate of an earlier start of the server is ignored", async () => {
  const { createRecord } = setUp();
  const before = createRecord();
  before.fleet.put(registration("i-1", { bornAtMs: 5 }));
  nameRate(before, 2);
  await before.record.update();
  const { fleet } = createRecord();
  fleet.put(registration("i-1", { bornAtMs: 6 }));
  assert.equal(fleet.get("i-1")?.announcements.rate.perSecond, undefined);
});

test("recorded rate does not replace what an answer said since", async () => {
  const { records, createRecord } = setUp();
  const before = createRecord();
  before.fleet.put(registration("i-1"));
  nameRate(before, 2);
  await before.record.update();
  assert.equal(records().length, 1);
  nameRate(before, 3);
  before.record.onWritten(KEY);
  assert.equal(before.fleet.get("i-1")?.announcements.rate.perSecond, 3);
});

test("unchanged rate is written once, a changed one at most every 5 s", async () => {
  const { clock, store, createRecord } = setUp();
  const setup = createRecord();
  setup.fleet.put(registration("i-1"));
  for (const perSecond of [2, 2, 3, 4]) {
    nameRate(setup, perSecond);
    await setup.record.update();
  }
  assert.equal(store.counters.writes, 1);
  await clock.advance(REWRITE_MS);
  await setup.record.update();
  await setup.record.update();
  assert.equal(store.counters.writes, 2);
});

test("record is deleted some time after the rate or the server has ended", async () => {
  for (const isServerGone of [true, false]) {
    const { clock, records, createRecord } = setUp();
    const setup = createRecord();
    setup.fleet.put(registration("i-1"));
    nameRate(setup, 2);
    await setup.record.update();
    if (isServerGone) setup.fleet.drop("i-1", "test");
    else nameRate(setup, undefined);
    await setup.record.update();
    assert.equal(records().length, 1);
    await clock.advance(REWRITE_MS);
    await setup.record.update();
    assert.equal(records().length, 0);
  }
});

test("only the entry that grants a server's permits writes its record", async () => {
  const { clock, store, createRecord } = setUp({ isWriter: false });
  const setup = createRecord();
  setup.fleet.put(registration("i-1"));
  nameRate(setup, 2);
  await setup.record.update();
  await clock.advance(REWRITE_MS);
  await setup.record.update();
  assert.equal(store.counters.writes, 0);
});

test("nothing is written while the store is down", async () => {
  const { store, records, createRecord } = setUp();
  const setup = createRecord();
  setup.fleet.put(registration("i-1"));
  nameRate(setup, 2);
  store.faults.down = true;
  await setup.record.update();
  assert.equal(records().length, 0);
  store.faults.down = false;
  await setup.record.update();
  assert.equal(records().length, 1);
});

test("malformed record is ignored and deleted", async () => {
  const { clock, store, records, createRecord } = setUp();
  for (const text of ["", "[]", '{"perSecond":"2"}', "{"]) {
    const value = new TextEncoder().encode(text);
    await store.commit([], [{ kind: "put", key: KEY, value }]);
    const { fleet, record } = createRecord();
    fleet.put(registration("i-1"));
    assert.equal(fleet.get("i-1")?.announcements.rate.perSecond, undefined);
    await record.update();
    await clock.advance(REWRITE_MS);
    await record.update();
    assert.equal(records().length, 0);
  }
});
