import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { createSilentLogger } from "../base/mod.ts";
import { FencingGate } from "../lease/mod.ts";
import { ManualClock } from "../lease/manual_clock.ts";
import { MemoryStore } from "../store/memory_store.ts";
import type { KeyValueStore } from "../store/store.ts";
import {
  countReady,
  finishMoves,
  readyReplica,
  startMove,
  testModel,
  testServer,
} from "./_test_pool.ts";
import type { OrderOutcome, PlannedOrder } from "./order_request.ts";
import { PLANNER_DEFAULTS, PoolPlanner } from "./pool_planner.ts";
import { modelKey, type PoolView, type WantedModel } from "./pool_view.ts";

const OLD = testModel("a", "1");
const NEW = testModel("a", "2");

function setUp(servers: number, wanted: WantedModel[]) {
  const clock = ManualClock.create();
  const store = MemoryStore.create({ clock });
  const pool = {
    servers: Array.from({ length: servers }, (_, i) => testServer(i)),
    unserved: [],
  } as PoolView;
  const gates = new Map<string, FencingGate>();
  const orders: { atMs: number; order: PlannedOrder; outcome: string }[] = [];
  const deliver = (order: PlannedOrder): OrderOutcome => {
    const { move, leaseKey, fencingNumber } = order;
    const gate = gates.get(move.serverId) ?? FencingGate.create();
    gates.set(move.serverId, gate);
    const passed = gate.admit(leaseKey, fencingNumber);
    const highestFencingNumber = gate.highestNumber(leaseKey);
    const outcome: OrderOutcome = passed
      ? { kind: "accepted" }
      : { kind: "fenced", highestFencingNumber };
    orders.push({ atMs: clock.nowMs(), order, outcome: outcome.kind });
    if (passed) startMove(pool, move);
    return outcome;
  };
  const settings = {
    store: store as KeyValueStore,
    sendOrder: (order: PlannedOrder) => Promise.resolve(deliver(order)),
  };
  const start = (entryId: string, changes: Partial<typeof settings> = {}) => {
    const { store, sendOrder } = { ...settings, ...changes };
    const stop = new AbortController();
    const planner = PoolPlanner.create(store, {
      readView: () => Promise.resolve(Result.ok(structuredClone(pool))),
      readWanted: () => wanted,
      listEntries: () => ["e1", "e2"],
      sendOrder,
    }, {
      ...PLANNER_DEFAULTS,
      pool: "pool-a",
      entryId,
      clock,
      log: createSilentLogger(),
      random: () => 0.5,
    });
    void planner.run(stop.signal);
    return { planner, stop };
  };
  const run = async (seconds: number) => {
    for (let second = 0; second < seconds; second++) {
      await clock.advance(1000);
      if (second % 10 === 9) finishMoves(pool);
    }
  };
  const ready = (model: WantedModel["model"]) =>
    countReady(pool, (other) => modelKey(other) === modelKey(model));
  return { clock, store, pool, orders, deliver, start, run, ready };
}

test("loads stay within the bound in any minute, also when the lease changes its holder", async () => {
  const wanted = [{ model: NEW, minReplicas: 0 }];
  const { clock, orders, start, run, ready } = setUp(60, wanted);
  let holder = start("e1");
  await run(120);
  wanted[0]!.minReplicas = 60;
  for (let change = 0; change < 8; change++) {
    await run(12);
    holder.stop.abort();
    await clock.advance(1);
    holder = start(change % 2 === 0 ? "e2" : "e1");
  }
  await run(900);
  const times = orders.map(({ atMs }) => atMs);
  for (const fromMs of times) {
    const within = times.filter((at) => at >= fromMs && at < fromMs + 60_000);
    assert.ok(within.length <= PLANNER_DEFAULTS.loadsPerMinute);
  }
  assert.equal(ready(NEW), 60);
  const holders = new Set(orders.map(({ order }) => order.fencingNumber));
  assert.ok(holders.size > 3);
});

test("a new version is loaded before the old one is unloaded", async () => {
  const wanted = [{ model: NEW, minReplicas: 4 }];
  const { pool, orders, start, run, ready } = setUp(4, wanted);
  for (const server of pool.servers) server.replicas = [readyReplica(OLD)];
  start("e1");
  await run(300);
  assert.equal(ready(NEW), 4);
  assert.equal(ready(OLD), 0);
  const kinds = orders.map(({ order }) => order.move.kind);
  assert.equal(kinds.lastIndexOf("load") < kinds.indexOf("unload"), true);
});

test("no moves are ordered while the store is down", async () => {
  const wanted = [{ model: NEW, minReplicas: 2 }];
  const { store, orders, start, run, ready } = setUp(2, wanted);
  store.faults.down = true;
  const { planner } = start("e1");
  await run(300);
  assert.equal(orders.length, 0);
  assert.equal(planner.state().lease, undefined);
  store.faults.down = false;
  await run(300);
  assert.equal(ready(NEW), 2);
});

test("no orders are sent once the lease can't be renewed and expires", async () => {
  const wanted = [{ model: NEW, minReplicas: 60 }];
  const { clock, store, orders, start, run } = setUp(60, wanted);
  start("e1");
  await run(60);
  store.faults.down = true;
  const lastMs = clock.nowMs() + PLANNER_DEFAULTS.leaseTtlMs;
  await run(120);
  assert.ok(orders.every(({ atMs }) => atMs < lastMs));
});

test("a new lease holder continues from the agents' reports after a crash", async () => {
  const wanted = [{ model: NEW, minReplicas: 6 }];
  const { store, orders, deliver, start, run, ready } = setUp(6, wanted);
  const crashed = new Promise<never>(() => {});
  const hasCrashed = () => orders.length === 2;
  start("e1", {
    store: pausableStore(store, () => hasCrashed() ? crashed : undefined),
    sendOrder: (order) => {
      deliver(order);
      return hasCrashed() ? crashed : Promise.resolve({ kind: "accepted" });
    },
  });
  await run(60);
  assert.equal(orders.length, 2);
  start("e2");
  await run(300);
  assert.equal(ready(NEW), 6);
  assert.equal(orders.length, 6);
});

test("an order delayed by a suspended planner is refused by its fencing number", async () => {
  const wanted = [{ model: NEW, minReplicas: 4 }];
  const { store, orders, deliver, start, run, ready } = setUp(4, wanted);
  let resume = () => {};
  const pause = new Promise<void>((resolve) => resume = resolve);
  let paused = false;
  const pausedEntry = start("e1", {
    store: pausableStore(store, () => paused ? pause : undefined),
    sendOrder: async (order) => {
      paused = true;
      await pause;
      return deliver(order);
    },
  });
  await run(20);
  assert.equal(paused, true);
  start("e2");
  await run(300);
  assert.equal(ready(NEW), 4);
  resume();
  await run(10);
  const last = orders.at(-1)!;
  assert.equal(last.outcome, "fenced");
  assert.equal(pausedEntry.planner.state().ordersByOutcome.fenced, 1);
  assert.equal(ready(NEW), 4);
});

test("no loads are ordered until the weight store's retry delay is over", async () => {
  const wanted = [{ model: NEW, minReplicas: 4 }];
  const { clock, orders, deliver, start, run } = setUp(4, wanted);
  let refusedAtMs = 0;
  start("e1", {
    sendOrder: (order) => {
      if (refusedAtMs > 0) return Promise.resolve(deliver(order));
      refusedAtMs = clock.nowMs();
      return Promise.resolve({ kind: "rate_limited", retryAfterMs: 60_000 });
    },
  });
  await run(300);
  assert.equal(orders.length, 4);
  assert.ok(orders.every(({ atMs }) => atMs >= refusedAtMs + 60_000));
});

/** A store whose calls wait while `waitWhilePaused` does, as in a suspended process. */
function pausableStore(
  store: MemoryStore,
  waitWhilePaused: () => Promise<unknown> | undefined,
): KeyValueStore {
  return new Proxy(store, {
    get(target, name) {
      const member = Reflect.get(target, name, target);
      if (typeof member !== "function") return member;
      return async (...args: unknown[]) => {
        await waitWhilePaused();
        return member.apply(target, args);
      };
    },
  });
}
