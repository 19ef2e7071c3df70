import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryStore } from "../store/memory_store.ts";
import { FencedLease } from "./fenced_lease.ts";
import { ManualClock } from "./manual_clock.ts";

const KEY = "/cicadahitch/leases/pool-a";
const TTL_MS = 15_000;
/** First era that has no fencing numbers. */
const FIRST_UNNUMBERED_ERA = 1 << 15;

// The exception ended the holder's loop, and the key kept all others from the lease until it expired.
test("lease at a position without a fencing number is given back", async () => {
  const clock = ManualClock.create();
  const store = MemoryStore.create({ clock, firstEra: FIRST_UNNUMBERED_ERA });
  const acquired = await FencedLease.acquire(store, {
    key: KEY,
    holderId: "e1",
    ttlMs: TTL_MS,
    clock,
  });
  assert.ok(acquired.isErr && acquired.error.kind === "no_fencing_number");
  assert.equal(acquired.error.position.era, FIRST_UNNUMBERED_ERA);
  assert.equal(store.table.get(KEY), undefined);
});

// An entry that met such a lease stopped acquiring others.
test("held lease whose position has no fencing number names its holder", async () => {
  const clock = ManualClock.create();
  const store = MemoryStore.create({ clock, firstEra: FIRST_UNNUMBERED_ERA });
  const value = new TextEncoder().encode(JSON.stringify({ holderId: "e1" }));
  await store.commit([], [{ kind: "put", key: KEY, value }]);
  const acquired = await FencedLease.acquire(store, {
    key: KEY,
    holderId: "e2",
    ttlMs: TTL_MS,
    clock,
  });
  assert.ok(acquired.isErr);
  assert.deepEqual(acquired.error, {
    kind: "held",
    holderId: "e1",
    fencingNumber: undefined,
  });
});
