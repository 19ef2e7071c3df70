import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type LogLine,
  recordedLog,
  registration,
  TestClock,
  testFleet,
} from "./_kit.ts";
import type { Fleet } from "./fleet.ts";
import type { Server } from "./server.ts";

interface Made {
  fleet: Fleet;
  clock: TestClock;
  outage: { mayLapse: boolean; awaitsReturns: boolean };
  lines: LogLine[];
}

function create(): Made {
  const clock = new TestClock();
  const outage = { mayLapse: false, awaitsReturns: false };
  const { log, lines } = recordedLog();
  const fleet = testFleet(clock, {
    log,
    outage: () =>
      outage.mayLapse ? { isOver: false, lengthMs: 5000 } : undefined,
    awaitsReturns: () => outage.awaitsReturns,
  });
  return { fleet, clock, outage, lines };
}

function ids(fleet: Fleet): string[] {
  return fleet.open("engines").map(({ id }) => id);
}

test("draining server takes nothing new", () => {
  const { fleet } = create();
  fleet.put(registration("a"));
  fleet.put(registration("b", { draining: true }));
  assert.deepEqual(ids(fleet), ["a"]);
  fleet.put(registration("a", { draining: true }));
  assert.deepEqual(ids(fleet), []);
});

test("removed server is gone at once", () => {
  const { fleet } = create();
  fleet.put(registration("a"));
  fleet.remove("a");
  assert.deepEqual(ids(fleet), []);
});

test("server whose registration lapsed in an outage is kept until it had time to return", () => {
  const { fleet, clock, outage } = create();
  fleet.put(registration("a"));
  outage.mayLapse = true;
  outage.awaitsReturns = true;
  fleet.remove("a");
  clock.advance(60_000);
  fleet.sweep();
  assert.deepEqual(ids(fleet), ["a"]);
  outage.mayLapse = false;
  fleet.sweep();
  assert.deepEqual(ids(fleet), ["a"]);
  outage.awaitsReturns = false;
  fleet.sweep();
  assert.deepEqual(ids(fleet), []);
});

test("server that leaves while others have time to return is gone at once", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a"));
  fleet.put(registration("b"));
  outage.mayLapse = true;
  outage.awaitsReturns = true;
  fleet.remove("a");
  outage.mayLapse = false;
  fleet.remove("b");
  assert.deepEqual(ids(fleet), ["a"]);
});

test("server is kept no longer the later its deletion comes", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a"));
  outage.mayLapse = true;
  fleet.remove("a");
  fleet.sweep();
  assert.deepEqual(ids(fleet), []);
});

test("server that is kept is told of, with the outage", () => {
  const { fleet, outage, lines } = create();
  fleet.put(registration("a"));
  outage.mayLapse = true;
  fleet.remove("a");
  const kept = lines.filter(({ event }) => event === "server_kept");
  assert.deepEqual(
    kept.map(({ server, reason, outageMs }) => [server, reason, outageMs]),
    [["a", "store_lost", 5000]],
  );
});

test("server that registers again after an outage stays", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a"));
  outage.mayLapse = true;
  outage.awaitsReturns = true;
  fleet.remove("a");
  fleet.put(registration("a"));
  outage.awaitsReturns = false;
  fleet.sweep();
  assert.deepEqual(ids(fleet), ["a"]);
});

test("weights of a server only rise", () => {
  const { fleet } = create();
  fleet.put(registration("a", { weights: new Map([["m", 3]]) }));
  fleet.put(registration("a", { weights: new Map([["m", 2]]) }));
  assert.equal(fleet.get("a")?.weights("m"), 3);
});

test("new weights empty the expected cache", () => {
  const { fleet } = create();
  fleet.put(registration("a"));
  const chain = { salt: "w1", parts: [{ id: "p", tokens: 10 }] };
  const server = fleet.get("a")!;
  server.cache.use(chain, 0);
  server.learnWeights("m", 2);
  assert.equal(server.cache.cachedTokens(chain), 0);
});

test("load of a peer that has gone silent no longer counts", () => {
  const { fleet, clock } = create();
  fleet.put(registration("a"));
  const server = fleet.get("a")!;
  const load = { pendingTokens: 10, running: 2, bound: 1 };
  server.setPeerLoad("peer", load, clock.nowMs());
  assert.equal(server.load(clock.nowMs()).running, 2);
  clock.advance(2000);
  assert.equal(server.load(clock.nowMs()).running, 0);
});

test("ticket counts its request once, however often it ends", () => {
  const { fleet, clock } = create();
  fleet.put(registration("a"));
  const server = fleet.get("a")!;
  const ticket = server.begin(100, true);
  assert.deepEqual(server.load(clock.nowMs()), {
    pendingTokens: 100,
    running: 1,
    bound: 1,
  });
  ticket.started();
  ticket.ended();
  ticket.ended();
  assert.deepEqual(server.load(clock.nowMs()), {
    pendingTokens: 0,
    running: 0,
    bound: 0,
  });
});

const CHAIN = { salt: "w1", parts: [{ id: "p", tokens: 10 }] };

/** A fleet whose only server has a past. */
function withPast(): { fleet: Fleet; former: Server } {
  const { fleet } = create();
  fleet.put(registration("a", { bornAtMs: 5 }));
  const former = fleet.get("a")!;
  former.cache.use(CHAIN, 0);
  former.learnWeights("m", 3);
  former.cache.use(CHAIN, 0);
  former.health.unreachable(0);
  former.holdBack(Infinity);
  return { fleet, former };
}

/*
 * A server started again under the id that it had, and was taken for the same: prompts were sent to
 * it for a cache that it no longer held, and it was thought to have weights that it had lost.
 */
test("server that has started again is a new one", () => {
  for (const address of ["127.0.0.1:1", "127.0.0.1:2"]) {
    const { fleet, former } = withPast();
    fleet.put(registration("a", { bornAtMs: 6, address }));
    const server = fleet.get("a")!;
    assert.notEqual(server, former);
    assert.equal(server.entry.address, address);
    assert.equal(server.cache.cachedTokens(CHAIN), 0);
    assert.equal(server.weights("m"), 1);
    assert.equal(server.health.isDown, false);
    assert.equal(server.isHeldBack(0), false);
    assert.deepEqual(ids(fleet), ["a"]);
  }
});

test("new start is logged as one", () => {
  const { fleet, lines } = create();
  fleet.put(registration("a", { bornAtMs: 5 }));
  fleet.put(registration("a", { bornAtMs: 6 }));
  fleet.put(registration("a", { bornAtMs: 6 }));
  const events = lines.map(({ event }) => event);
  assert.deepEqual(events, ["server_joined", "server_restarted"]);
});

test("registration of a former start is ignored", () => {
  const { fleet } = create();
  fleet.put(registration("a", { bornAtMs: 6 }));
  const server = fleet.get("a");
  fleet.put(registration("a", { bornAtMs: 5, draining: true }));
  assert.equal(fleet.get("a"), server);
  assert.deepEqual(ids(fleet), ["a"]);
});

test("registration of the same start, or of an unknown one, keeps the server", () => {
  const { fleet, former } = withPast();
  fleet.put(registration("a", { bornAtMs: 5, slots: 9 }));
  fleet.put(registration("a", { slots: 10 }));
  assert.equal(fleet.get("a"), former);
  assert.equal(former.entry.slots, 10);
  // What the start was is not forgotten for that.
  fleet.put(registration("a", { bornAtMs: 4, slots: 11 }));
  assert.equal(former.entry.slots, 10);
  fleet.put(registration("a", { bornAtMs: 6 }));
  assert.notEqual(fleet.get("a"), former);
});

test("server that lapsed in an outage and started again stays", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a", { bornAtMs: 5 }));
  outage.mayLapse = true;
  outage.awaitsReturns = true;
  fleet.remove("a");
  fleet.put(registration("a", { bornAtMs: 6 }));
  outage.mayLapse = false;
  outage.awaitsReturns = false;
  fleet.sweep();
  assert.deepEqual(ids(fleet), ["a"]);
});

test("late word of a former start keeps no lapsed server", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a", { bornAtMs: 6 }));
  outage.mayLapse = true;
  outage.awaitsReturns = true;
  fleet.remove("a");
  fleet.put(registration("a", { bornAtMs: 5 }));
  outage.mayLapse = false;
  outage.awaitsReturns = false;
  fleet.sweep();
  assert.deepEqual(ids(fleet), []);
});

/*
 * A server started again at another address, and another server took the one that it had. A call on
 * its way to the former start was refused there, and the new start was forgotten for it.
 */
test("former start that is given up doesn't take the new one along", () => {
  const { fleet, former } = withPast();
  fleet.put(registration("a", { bornAtMs: 6, address: "127.0.0.1:2" }));
  fleet.giveUp(former);
  assert.deepEqual(ids(fleet), ["a"]);
  fleet.giveUp(fleet.get("a")!);
  assert.deepEqual(ids(fleet), []);
});

test("server that said it leaves is open again once it has started again", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1", { bornAtMs: 1 }));
  fleet.leaves(fleet.get("i-1")!, clock.nowMs());
  assert.equal(fleet.open("engines").length, 0);
  fleet.put(registration("i-1", { bornAtMs: 2 }));
  assert.equal(fleet.open("engines").length, 1);
});

test("server's word that it leaves is forgotten some time", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  fleet.leaves(fleet.get("i-1")!, clock.nowMs());
  clock.advance(60_000);
  assert.equal(fleet.open("engines").length, 0);
  clock.advance(3_600_000);
  assert.equal(fleet.open("engines").length, 1);
});

test("server that wants a pause may get new weights meanwhile", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  fleet.get("i-1")!.announced.pause(clock.nowMs(), 5000);
  assert.equal(fleet.taking("engines").length, 0);
  assert.equal(fleet.open("engines").length, 1);
  assert.equal(fleet.pausedMs("engines"), 5000);
  clock.advance(5000);
  assert.equal(fleet.taking("engines").length, 1);
  assert.equal(fleet.pausedMs("engines"), undefined);
});

test("longer pause is not cut short by a shorter one", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  const { announced } = fleet.get("i-1")!;
  announced.pause(clock.nowMs(), 5000);
  announced.pause(clock.nowMs(), 100);
  clock.advance(4999);
  assert.equal(fleet.taking("engines").length, 0);
});

test("server whose registration lapsed keeps its word when it is back", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  fleet.leaves(fleet.get("i-1")!, clock.nowMs());
  fleet.put(registration("i-2"));
  fleet.get("i-2")!.announced.pause(clock.nowMs(), 5000);
  for (const id of ["i-1", "i-2"]) {
    fleet.drop(id, "registration_lapsed");
    fleet.put(registration(id));
  }
  assert.deepEqual(fleet.taking("engines"), []);
});
