import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import type { MemoryStore, StoreSnapshot } from "../store/mod.ts";
import {
  type AcceptedOrder,
  openRollWorld,
  type RollWorld,
  type TestCandidate,
  TURN_MS,
} from "./_roll_kit.ts";
import { ROLL_LEASE_KEY } from "./roll_lease.ts";

/** Time in which the first holder acquires the lease and its wait ends. */
const FIRST_TURN_MS = 4000;
/** Time in which an order is given to some engines, and not to all. */
const FEW_ORDERS_MS = 700;
/** Time in which all engines are ordered, with all waits. */
const ALL_ORDERS_MS = 20_000;
const SEEN_AT_ONCE = { maxAgeMs: 0 };
const ENGINE_COUNT = 6;

/** Orders some engines, and then takes the store back to a copy from before the first order. */
async function openRestored(
  t: TestContext,
  { beforeRestore = (_: TestCandidate) => {} } = {},
): Promise<RollWorld & { holder: TestCandidate; before: AcceptedOrder[] }> {
  const world = openRollWorld(t, { engineCount: ENGINE_COUNT });
  const { clock, store, wanted, orders } = world;
  const holder = world.startCandidate("a");
  await clock.advance(FIRST_TURN_MS);
  const copy = withoutRoll(store);
  wanted.name({ model: "m", version: 2 }, SEEN_AT_ONCE);
  await clock.advance(FEW_ORDERS_MS);
  const before = [...orders];
  assert.ok(before.length > 0 && before.length < ENGINE_COUNT);
  beforeRestore(holder);
  store.restore(copy);
  wanted.name({ model: "m", version: 3 }, SEEN_AT_ONCE);
  return { ...world, holder, before };
}

/** @returns A copy of the store from before any process had the lease of the roll. */
function withoutRoll(store: MemoryStore): StoreSnapshot {
  const { table, leases } = store.snapshot();
  const none = { ...table, entries: new Map(), history: [] };
  return { table: none, leases: { ...leases, ttlsMs: new Map() } };
}

/** @returns The shortest time between two orders that different holders sent to one engine. */
function shortestHandoverMs(orders: AcceptedOrder[]): number {
  const turnsMs = orders.flatMap((order, i) =>
    orders.slice(0, i).filter(({ engine, holderId }) =>
      engine === order.engine && holderId !== order.holderId
    ).map((before) => order.atMs - before.atMs)
  );
  return Math.min(Infinity, ...turnsMs);
}

// The records of orders were lost with the store, and the next holder ordered the same engines at once.
test("new holder waits for a turn after the store lost the order records", async (t) => {
  const { clock, orders, startCandidate, before } = await openRestored(t, {
    beforeRestore: (holder) => holder.kill(),
  });
  startCandidate("b");
  await clock.advance(ALL_ORDERS_MS);
  const later = orders.slice(before.length);
  assert.ok(later.length >= ENGINE_COUNT);
  assert.ok(later.every(({ holderId }) => holderId === "b"));
  assert.ok(shortestHandoverMs(orders) >= TURN_MS);
});

// The wait of the first holder does not tell the second one, which may take over during it.
test("holder that takes over in a wait after a restore waits as well", async (t) => {
  const { clock, orders, startCandidate, before } = await openRestored(t, {
    beforeRestore: (holder) => holder.kill(),
  });
  const second = startCandidate("b");
  await clock.advance(FEW_ORDERS_MS);
  await second.stop();
  startCandidate("c");
  await clock.advance(ALL_ORDERS_MS);
  assert.ok(orders.length >= before.length + ENGINE_COUNT);
  assert.ok(shortestHandoverMs(orders) >= TURN_MS);
});

// Its own orders are no reason to wait, and the engines' old weights have a time limit.
test("last holder goes on at once after a restore, under a higher number", async (t) => {
  const { clock, orders, before } = await openRestored(t);
  const restoredAtMs = clock.nowMs();
  await clock.advance(ALL_ORDERS_MS);
  const later = orders.slice(before.length);
  assert.ok(later.every(({ holderId }) => holderId === "a"));
  assert.ok(later[0]!.atMs - restoredAtMs < TURN_MS);
  const highest = Math.max(
    ...before.map((order) => Number(order.fencingNumber)),
  );
  assert.ok(later.every((order) => Number(order.fencingNumber) > highest));
});

// A later process found no order records missing, and waited for nothing after each restart.
test("wait after a restore is over once a holder has settled the era", async (t) => {
  const { clock, orders, wanted, holder, startCandidate } = await openRestored(
    t,
  );
  await clock.advance(ALL_ORDERS_MS);
  await holder.stop();
  const settled = startCandidate("b");
  await clock.advance(ALL_ORDERS_MS);
  await settled.stop();
  startCandidate("c");
  const startedAtMs = clock.nowMs();
  const count = orders.length;
  wanted.name({ model: "m", version: 4 }, SEEN_AT_ONCE);
  await clock.advance(ALL_ORDERS_MS);
  assert.ok(orders[count]!.atMs - startedAtMs < TURN_MS);
});

// Both a copy with the lease and one without it would leave engines without orders otherwise.
test("lease that is in the copy is freed and acquired again", async (t) => {
  const world = openRollWorld(t, { engineCount: ENGINE_COUNT });
  const { clock, store, wanted, orders } = world;
  world.startCandidate("a");
  await clock.advance(FIRST_TURN_MS);
  const before = store.table.get(ROLL_LEASE_KEY);
  assert.ok(before);
  store.restore(store.snapshot());
  wanted.name({ model: "m", version: 2 }, SEEN_AT_ONCE);
  await clock.advance(ALL_ORDERS_MS);
  const after = store.table.get(ROLL_LEASE_KEY);
  assert.ok(after);
  assert.notDeepEqual(after.value, before.value);
  assert.equal(orders.length, ENGINE_COUNT);
});
