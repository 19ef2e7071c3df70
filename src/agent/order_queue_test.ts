import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { Result } from "true-myth";
import { ManualClock } from "../lease/manual_clock.ts";
import { FencingGate } from "../lease/mod.ts";
import { type Clock, systemClock } from "../base/mod.ts";
import { type OrderRequest, ReplicaPhase } from "../wire/gen/cicadahitch.ts";
import { FakeEngine } from "./_fake_engine.ts";
import { testAsk } from "./_test_kit.ts";
import { OrderQueue } from "./order_queue.ts";
import { Replicas } from "./replicas.ts";
import { Run } from "./run.ts";

const LOADED = { model: "m", adapter: "", weightsVersion: "2" };

let ended = new AbortController();

afterEach(() => {
  ended.abort();
  ended = new AbortController();
});

function order(fencingNumber: bigint, model = "m"): OrderRequest {
  return {
    leaseKey: "lease",
    fencingNumber,
    order: {
      $case: "loadModel",
      value: { model, adapter: "", weightsVersion: "2" },
    },
  };
}

function unload(fencingNumber: bigint, model = "m"): OrderRequest {
  return {
    leaseKey: "lease",
    fencingNumber,
    order: {
      $case: "unloadModel",
      value: { model, adapter: "", weightsVersion: "2" },
    },
  };
}

function openOrders(
  gate = FencingGate.create(),
  clock: Clock = systemClock,
) {
  const engine = FakeEngine.create();
  const runs: Run[] = [];
  const replicas = Replicas.create({
    clock: { ...systemClock, sleep: () => nextTurn() },
    loaded: () => [LOADED],
    liveRuns: () => runs,
  });
  const orders = OrderQueue.create({
    gate,
    clock,
    server: { engine, replicas },
    setDraining: () => {},
    onOrderSent: () => Promise.resolve(),
    signal: ended.signal,
  });
  return { engine, orders, replicas, runs };
}

function runOf(weightsVersion: string): Run {
  const limits = { maxBytes: 1024, repeatBytes: 0 };
  const run = Run.create({ ask: testAsk("r1"), attempt: 1, nowMs: 0, limits });
  run.weightsVersion = weightsVersion;
  return run;
}

/** Runs tasks that wait only for event loop turns. */
async function runPendingTasks(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await nextTurn();
}

function kindsOf(engine: FakeEngine): string[] {
  return engine.orders.map(({ order }) => order.kind);
}

test("an order with an old fencing number is refused", async () => {
  const { engine, orders } = openOrders();
  assert.equal((await orders.execute(order(5n))).accepted, true);
  assert.equal((await orders.execute(order(9n))).accepted, true);
  const late = await orders.execute(order(5n));
  assert.equal(late.accepted, false);
  assert.equal(late.highestFencingNumber, 9n);
  assert.equal(engine.orders.length, 2);
});

test("an order is not sent after one with a higher fencing number", async () => {
  const { engine, orders } = openOrders();
  let open = () => {};
  engine.orderGate = new Promise((resolve) => open = resolve);
  const first = orders.execute(order(5n));
  const newer = orders.execute(order(9n));
  const old = orders.execute(order(5n));
  await Promise.resolve();
  assert(engine.orders.length <= 1);
  open();
  const replies = await Promise.all([first, newer, old]);
  assert.deepEqual(replies.map(({ accepted }) => accepted), [
    true,
    true,
    false,
  ]);
  assert.deepEqual(engine.orders.map((each) => each.fencingNumber), [5n, 9n]);
});

test("a new agent reads the current fencing number before its first order", async () => {
  const gate = FencingGate.create(() => Promise.resolve(Result.ok(9n)));
  const { engine, orders } = openOrders(gate);
  assert.equal((await orders.execute(order(5n))).accepted, false);
  assert.equal(engine.orders.length, 0);
});

test("orders are refused while the current fencing number can't be read", async () => {
  const gate = FencingGate.create(() =>
    Promise.resolve(Result.err({ message: "down" }))
  );
  const { engine, orders } = openOrders(gate);
  assert.equal((await orders.execute(order(5n))).accepted, false);
  assert.equal(engine.orders.length, 0);
});

test("an unload waits only for runs of its own model", async () => {
  const { engine, orders, replicas, runs } = openOrders();
  runs.push(runOf("2"), runOf("1"));
  assert.equal((await orders.execute(unload(5n))).accepted, true);
  await runPendingTasks();
  assert.deepEqual(kindsOf(engine), []);
  assert.equal(replicas.find(LOADED, { isHeld: false }), undefined);
  assert.equal(replicas.find(LOADED, { isHeld: true }), LOADED);
  assert.equal(replicas.report()[0]?.phase, ReplicaPhase.UNLOADING);
  runs.shift();
  await runPendingTasks();
  assert.deepEqual(kindsOf(engine), ["unload"]);
});

test("an unload waits until holds on its model expire", async () => {
  const { engine, orders, replicas } = openOrders();
  replicas.extendHold(LOADED, 3_600_000);
  await orders.execute(unload(5n));
  await runPendingTasks();
  assert.deepEqual(kindsOf(engine), []);
});

test("a waiting unload is dropped when a newer lease holder sends an order", async () => {
  const { engine, orders, replicas, runs } = openOrders();
  runs.push(runOf("2"));
  await orders.execute(unload(5n));
  await orders.execute(order(9n, "other"));
  runs.pop();
  await runPendingTasks();
  assert.deepEqual(kindsOf(engine), ["load"]);
  assert.equal(replicas.find(LOADED, { isHeld: false }), LOADED);
});

test("a load cancels a waiting unload of the same model", async () => {
  const { engine, orders, replicas, runs } = openOrders();
  runs.push(runOf("2"));
  await orders.execute(unload(5n));
  await orders.execute(order(5n));
  runs.pop();
  await runPendingTasks();
  assert.deepEqual(kindsOf(engine), ["load"]);
  assert.equal(replicas.find(LOADED, { isHeld: false }), LOADED);
});

test("an unload with an old fencing number changes nothing", async () => {
  const { engine, orders, replicas } = openOrders();
  await orders.execute(order(9n));
  assert.equal((await orders.execute(unload(5n))).accepted, false);
  await runPendingTasks();
  assert.deepEqual(kindsOf(engine), ["load"]);
  assert.equal(replicas.find(LOADED, { isHeld: false }), LOADED);
});

test("a model is reported as loading while its load order is in flight", async () => {
  const { engine, orders, replicas } = openOrders();
  let open = () => {};
  engine.orderGate = new Promise((resolve) => open = resolve);
  const done = orders.execute(order(5n, "new"));
  await runPendingTasks();
  const phaseOf = () =>
    replicas.report().find(({ model }) => model === "new")?.phase;
  assert.equal(phaseOf(), ReplicaPhase.LOADING);
  open();
  await done;
  assert.equal(phaseOf(), undefined);
});

test("a long load is accepted before it ends, and later orders wait for it", async () => {
  const clock = ManualClock.create();
  const { engine, orders, replicas } = openOrders(undefined, clock);
  let open = () => {};
  engine.orderGate = new Promise((resolve) => open = resolve);
  const first = orders.execute(order(5n, "new"));
  await runPendingTasks();
  await clock.advance(1500);
  assert.equal((await first).accepted, true);
  const second = orders.execute(order(5n, "other"));
  await runPendingTasks();
  assert.equal(engine.orders.length, 1);
  assert.equal(replicas.report().length, 2);
  open();
  assert.equal((await second).accepted, true);
  assert.equal(engine.orders.length, 2);
  assert.equal(replicas.report().length, 1);
});
