import assert from "node:assert/strict";
import { test } from "node:test";
import { FencedLease } from "../lease/mod.ts";
import { ManualClock } from "../lease/manual_clock.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { prefixRange } from "../store/revision_table.ts";
import { ORDER_RECORD_PREFIX, OrderRecords } from "./order_records.ts";
import { ROLL_LEASE_KEY } from "./roll_lease.ts";

const TURN_MS = 3000;
const LEASE_MS = 1500;

function setUp() {
  const clock = ManualClock.create();
  const store = MemoryStore.create({ clock });
  const records = (holderId: string, enginesCheckFences = true) =>
    OrderRecords.create({
      store,
      clock,
      holderId,
      turnMs: TURN_MS,
      enginesCheckFences,
      orderRecords: () => store.table.list(prefixRange(ORDER_RECORD_PREFIX)),
    });
  const acquire = async (holderId: string) => {
    const acquired = await FencedLease.acquire(store, {
      key: ROLL_LEASE_KEY,
      holderId,
      ttlMs: LEASE_MS,
      clock,
    });
    assert.ok(acquired.isOk);
    return acquired.value;
  };
  return { clock, store, records, acquire };
}

test("record of an engine expires after the minimum time between holders", async () => {
  const { clock, records, acquire } = setUp();
  const lease = await acquire("a");
  assert.ok(await records("a").record("e1", lease));
  const other = records("b");
  await clock.advance(TURN_MS);
  assert.deepEqual(other.orderedByOthers(), new Set(["e1"]));
  await clock.advance(TURN_MS);
  assert.deepEqual(other.orderedByOthers(), new Set());
});

test("holder's own records do not count as orders by others", async () => {
  const { records, acquire } = setUp();
  const own = records("a");
  await own.record("e1", await acquire("a"));
  assert.deepEqual(own.orderedByOthers(), new Set());
});

test("record fails when another holder has acquired the lease", async () => {
  const { clock, records, acquire } = setUp();
  const before = await acquire("a");
  await clock.advance(LEASE_MS + 1);
  await acquire("b");
  assert.equal(await records("a").record("e1", before), false);
  assert.deepEqual(records("b").orderedByOthers(), new Set());
});

test("record fails while the store is down and succeeds afterwards", async () => {
  const { store, records, acquire } = setUp();
  const lease = await acquire("a");
  const own = records("a");
  store.faults.down = true;
  assert.equal(await own.record("e1", lease), false);
  store.faults.down = false;
  assert.ok(await own.record("e1", lease));
});

test("restarted process keeps the engines that it recorded before", async () => {
  const { records, acquire } = setUp();
  const lease = await acquire("a");
  assert.ok(await records("a").record("e1", lease));
  assert.ok(await records("a").record("e2", lease));
  assert.deepEqual(records("b").orderedByOthers(), new Set(["e1", "e2"]));
});

test("concurrent records are batched", async () => {
  const { store, records, acquire } = setUp();
  const lease = await acquire("a");
  const own = records("a");
  const before = store.table.revision;
  const ids = Array.from({ length: 20 }, (_, i) => `e${i}`);
  const written = await Promise.all(ids.map((id) => own.record(id, lease)));
  assert.ok(written.every((isWritten) => isWritten));
  assert.deepEqual(records("b").orderedByOthers(), new Set(ids));
  // All engines were added before the write started, so that one commit suffices.
  assert.equal(store.table.revision - before, 1n);
});

// Each record causes an event on every entry's watch: with 25 entries, calls to the store rose by
// 44%.
test("nothing is recorded if engines do not check fencing numbers", async () => {
  const { store, records, acquire } = setUp();
  const lease = await acquire("a");
  const before = store.table.revision;
  assert.ok(await records("a", false).record("e1", lease));
  assert.equal(store.table.revision, before);
});

test("malformed record yields no engines", async () => {
  const { store, records } = setUp();
  for (const text of ["{", "7", '{"serverIds":3}', '{"serverIds":[1,null]}']) {
    const value = new TextEncoder().encode(text);
    const key = `${ORDER_RECORD_PREFIX}x`;
    await store.commit([], [{ kind: "put", key, value }]);
    assert.deepEqual(records("a").orderedByOthers(), new Set());
  }
});

// The id of the record's lease was given out again, to another holder's record, which ended with it.
test("record is written under a lease of the same era as the roll's", async () => {
  const { clock, store, records, acquire } = setUp();
  const copy = store.snapshot();
  const own = records("a");
  assert.ok(await own.record("e1", await acquire("a")));
  store.restore(copy);
  const lease = await acquire("a");
  const other = await store.grantLease(LEASE_MS);
  assert.ok(other.isOk);
  assert.ok(await own.record("e2", lease));
  await clock.advance(LEASE_MS + 1);
  assert.deepEqual(records("b").orderedByOthers(), new Set(["e1", "e2"]));
});

// A store that came back between the roll's lease and the record has neither.
test("record fails under a roll's lease of an earlier era", async () => {
  const { store, records, acquire } = setUp();
  const copy = store.snapshot();
  const lease = await acquire("a");
  const own = records("a");
  assert.ok(await own.record("e1", lease));
  store.restore(copy);
  assert.equal(await own.record("e2", lease), false);
  assert.equal(await records("a").record("e2", lease), false);
  assert.deepEqual(records("b").orderedByOthers(), new Set());
});
