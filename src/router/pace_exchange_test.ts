import assert from "node:assert/strict";
import { test } from "node:test";
import { ServiceRates } from "../service_rates/mod.ts";
import { registration, TestClock, testFleet } from "./_kit.ts";
import type { Fleet } from "./fleet.ts";
import { PaceExchange, type PaceRow } from "./pace_exchange.ts";
import { readDatagram } from "./peer_datagram.ts";

const clock = new TestClock();

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
  const rows = sender.exchange.nextRows() ?? [];
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
  receiver.exchange.applyRows(sender.exchange.nextRows() ?? []);
  assert.equal(sender.exchange.nextRows(), undefined);
  assert.equal(receiver.exchange.nextRows(), undefined);
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

// Existing deployments have services that aren't scheduled; their datagrams stay the same.
test("paces of services that aren't scheduled are neither learned nor sent", () => {
  const { fleet, exchange } = entryWith(5);
  recordSlow(fleet, "i-1");
  exchange.applyRows([["i-1", 5, 4, 20, 0]]);
  assert.equal(factorOf(fleet, "i-1"), 1);
  assert.equal(exchange.nextRows(), undefined);
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
    ["i-1", 5, 1.2, 3, -40],
    ["i-1", 5, 1.2, 3],
    ["i-1", null, 1.2, 3, 40],
    [1, 5, 1.2, 3, 40],
  ];
  for (const bad of malformed) assert.equal(read([row, bad]), undefined);
});
