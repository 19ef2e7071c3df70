import assert from "node:assert/strict";
import { test } from "node:test";
import { ServiceRates } from "../service_rates/mod.ts";
import { registration, TestClock, testFleet } from "./_kit.ts";
import type { Fleet } from "./fleet.ts";
import { PaceExchange, type PaceRow } from "./pace_exchange.ts";
import { readDatagram } from "./peer_datagram.ts";

const clock = new TestClock();
const ENTRIES = 2;

function entryWith(
  bornAtMs: number,
  learnedRates?: ServiceRates,
): { fleet: Fleet; exchange: PaceExchange } {
  const fleet = testFleet(clock, { learnedRates });
  fleet.put(registration("i-1", { bornAtMs }));
  fleet.put(registration("i-2", { bornAtMs }));
  fleet.put(registration("i-3", { bornAtMs }));
  return { fleet, exchange: PaceExchange.create({ clock, fleet }) };
}

/** Records answers that took four times as long as expected. */
function recordSlow(fleet: Fleet, id: string): void {
  const work = { queuedTokens: 0, uncachedTokens: 0, running: 0 };
  for (let i = 0; i < 10; i++) {
    const { times } = fleet.get(id)!;
    times.record({ ...work, ttftMs: 180 }, clock.nowMs());
  }
}

function factorOf(fleet: Fleet, id: string): number {
  return fleet.get(id)!.times.factor(clock.nowMs());
}

// An entry sends few requests to each server, and would notice a slow one late by itself.
test("other entries learn the pace of a slow server, and of no other", () => {
  const sender = entryWith(5, ServiceRates.create());
  const receiver = entryWith(5, ServiceRates.create());
  recordSlow(sender.fleet, "i-1");
  const rows = sender.exchange.nextRows(ENTRIES) ?? [];
  assert.deepEqual(rows.map(([id, start, , count]) => [id, start, count]), [
    ["i-1", 5, 10],
  ]);
  receiver.exchange.applyRows(rows);
  const factor = factorOf(receiver.fleet, "i-1");
  // A row counts as at most 2.5 times the pace that the receiver knows.
  assert.ok(factor > 1.6 && factor < 2.5, `${factor}`);
  assert.equal(factorOf(receiver.fleet, "i-2"), 1);
});

// Samples that were sent again, or by those who only received them, would count several times.
test("each sample is sent once, by the entry that received the answer", () => {
  const sender = entryWith(5, ServiceRates.create());
  const receiver = entryWith(5, ServiceRates.create());
  recordSlow(sender.fleet, "i-1");
  receiver.exchange.applyRows(sender.exchange.nextRows(ENTRIES) ?? []);
  assert.equal(sender.exchange.nextRows(ENTRIES), undefined);
  assert.equal(receiver.exchange.nextRows(ENTRIES), undefined);
});

// A restarted server would be avoided for what its earlier process did.
test("samples of an earlier incarnation are ignored", () => {
  const { fleet, exchange } = entryWith(5, ServiceRates.create());
  exchange.applyRows([["i-1", 4, 4, 20, 0], ["i-9", 5, 4, 20, 0]]);
  assert.equal(factorOf(fleet, "i-1"), 1);
});

test("server that restarts has the median pace, not its earlier one", () => {
  const { fleet, exchange } = entryWith(5, ServiceRates.create());
  recordSlow(fleet, "i-1");
  clock.advance(600);
  exchange.applyRows([["i-2", 5, 1, 20, 0], ["i-3", 5, 1, 20, 0]]);
  clock.advance(600);
  exchange.applyRows([["i-1", 5, 4, 20, 0]]);
  assert.ok(factorOf(fleet, "i-1") > 1.5);
  fleet.put(registration("i-1", { bornAtMs: 6 }));
  assert.ok(factorOf(fleet, "i-1") < 1.1, `${factorOf(fleet, "i-1")}`);
});

// The only server's own pace is the median of its service.
test("restarted server starts without what its earlier process did", () => {
  const { fleet } = entryWith(5, ServiceRates.create());
  recordSlow(fleet, "i-1");
  clock.advance(600);
  recordSlow(fleet, "i-1");
  fleet.put(registration("i-1", { bornAtMs: 6 }));
  assert.equal(factorOf(fleet, "i-1"), 1);
});

// They would count in the median with which other servers start.
test("late answers of a replaced server don't count", () => {
  const { fleet } = entryWith(5, ServiceRates.create());
  const replaced = fleet.get("i-1")!;
  fleet.put(registration("i-1", { bornAtMs: 6 }));
  const work = { queuedTokens: 0, uncachedTokens: 0, running: 0 };
  for (let i = 0; i < 10; i++) {
    replaced.times.record({ ...work, ttftMs: 180 }, clock.nowMs());
  }
  fleet.put(registration("i-4"));
  clock.advance(600);
  assert.equal(factorOf(fleet, "i-1"), 1);
  assert.equal(factorOf(fleet, "i-4"), 1);
});

/** An entry that has one sample of each of many servers. */
function entryWithMany(count: number): ReturnType<typeof entryWith> {
  const entry = entryWith(5, ServiceRates.create());
  for (let i = 0; i < count; i++) {
    entry.fleet.put(registration(`many-${i}`, { bornAtMs: 5 }));
  }
  recordMany(entry.fleet, count);
  return entry;
}

/** Records slow and fast answers in turn, so that the service's rates stay the same. */
function recordMany(fleet: Fleet, count: number): void {
  const work = { queuedTokens: 0, uncachedTokens: 0, running: 0 };
  for (let i = 0; i < count; i++) {
    const ratio = i === 150 ? 2.4 : 1.6;
    const ttftMs = 45 * (i % 2 === 0 ? ratio : 1 / ratio);
    const { times } = fleet.get(`many-${i}`)!;
    times.record({ ...work, ttftMs }, clock.nowMs());
  }
}

// An entry of 360 receives 600 datagrams per second; with 64 rows, these were 1.7 MB per second.
test("rows of a datagram are limited by the number of entries, most deviating first", () => {
  const { exchange } = entryWithMany(200);
  const rows = exchange.nextRows(360) ?? [];
  assert.deepEqual(rows.map(([id]) => id), ["many-150"]);
  assert.equal(exchange.nextRows(31)?.length, 1);
  assert.equal(exchange.nextRows(30)?.length, 64);
});

test("samples that confirm the known pace are not sent", () => {
  const { fleet, exchange } = entryWith(5, ServiceRates.create());
  const work = { queuedTokens: 0, uncachedTokens: 0, running: 0 };
  const { times } = fleet.get("i-1")!;
  for (let i = 0; i < 10; i++) {
    times.record({ ...work, ttftMs: 45 }, clock.nowMs());
  }
  assert.equal(exchange.nextRows(ENTRIES), undefined);
});

// In the order of registration, the first 64 servers would take all rows under a steady load.
test("all servers are reported although many always have new samples", () => {
  const count = 600;
  const { fleet, exchange } = entryWithMany(count);
  const reported = new Set<string>();
  for (let i = 0; i < 20; i++) {
    for (const [id] of exchange.nextRows(ENTRIES) ?? []) reported.add(id);
    clock.advance(50);
    recordMany(fleet, count);
  }
  assert.equal(reported.size, count);
});

// The rates of an entry that has just started are off; all servers would look slow to the others.
test("rows of an entry that has not learned its rates don't change those of one that has", () => {
  const learned = entryWith(5, ServiceRates.create());
  const fresh = entryWith(5, ServiceRates.create());
  const record = ({ fleet }: typeof fresh, slowRatio: number) => {
    for (const id of ["i-1", "i-2", "i-3"]) {
      const work = { queuedTokens: 0, uncachedTokens: 0, running: 0 };
      const ttftMs = 108 * (id === "i-3" ? slowRatio : 1);
      fleet.get(id)!.times.record({ ...work, ttftMs }, clock.nowMs());
    }
  };
  for (let i = 0; i < 300; i++) {
    record(learned, 1);
    clock.advance(20);
  }
  // Only few of the learned entry's samples are recent.
  clock.advance(4000);
  for (let i = 0; i < 4; i++) record(fresh, 2);
  clock.advance(500);
  const before = factorOf(learned.fleet, "i-1");
  assert.ok(before > 0.9 && before < 1.1, `${before}`);
  learned.exchange.applyRows(fresh.exchange.nextRows(ENTRIES) ?? []);
  const after = ["i-1", "i-3"].map((id) => factorOf(learned.fleet, id));
  assert.ok(Math.abs(after[0]! / before - 1) < 0.1, `${before}: ${after}`);
  assert.ok(after[1]! / after[0]! > 1.02, `${after}`);
});

// One datagram must not outweigh all others.
test("repeated servers and rows beyond the limit of a datagram are ignored", () => {
  const { fleet, exchange } = entryWith(5, ServiceRates.create());
  const { fleet: once, exchange: single } = entryWith(5, ServiceRates.create());
  const row: PaceRow = ["i-1", 5, 2, 3, 0];
  single.applyRows([row]);
  const unknown = Array.from(
    { length: 70 },
    (_, i): PaceRow => [`x-${i}`, 5, 2, 3, 0],
  );
  exchange.applyRows([row, row, row, ...unknown, ["i-2", 5, 2, 3, 0]]);
  assert.equal(factorOf(fleet, "i-1"), factorOf(once, "i-1"));
  assert.equal(factorOf(fleet, "i-2"), 1);
});

// Existing deployments have services that aren't scheduled; their datagrams stay the same.
test("paces of services that aren't scheduled are neither learned nor sent", () => {
  const { fleet, exchange } = entryWith(5);
  recordSlow(fleet, "i-1");
  exchange.applyRows([["i-1", 5, 4, 20, 0]]);
  assert.equal(factorOf(fleet, "i-1"), 1);
  assert.equal(exchange.nextRows(ENTRIES), undefined);
});

// A factor of 0 or a negative one would make the pace NaN for good.
test("datagram with a malformed pace is invalid", () => {
  const datagram = {
    name: "e-1",
    revision: "0",
    ageMs: 0,
    loads: [],
    prompts: [],
    heldBack: [],
    silent: [],
    storeServes: false,
    weights: [],
    named: [],
  };
  const read = (paces: unknown) =>
    readDatagram(Buffer.from(JSON.stringify({ ...datagram, paces })));
  const row: PaceRow = ["i-1", 5, 1.2, 3, 40];
  assert.deepEqual(read([row])?.paces, [row]);
  const malformed = [
    ["i-1", 5, 0, 3, 40],
    ["i-1", 5, -1, 3, 40],
    ["i-1", 5, null, 3, 40],
    ["i-1", 5, 1.2, -3, 40],
    ["i-1", 5, 1.2, 1.5, 40],
    ["i-1", 5, 1.2, 3, -40],
    ["i-1", 5, 1.2, 3],
    ["i-1", null, 1.2, 3, 40],
    [1, 5, 1.2, 3, 40],
  ];
  for (const bad of malformed) assert.equal(read([row, bad]), undefined);
});
