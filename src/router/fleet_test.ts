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
import { originAt } from "./software_versions.ts";

interface FleetSetup {
  fleet: Fleet;
  clock: TestClock;
  outage: { mayLapse: boolean; inRegistrationGrace: boolean };
  lines: LogLine[];
}

function create(): FleetSetup {
  const clock = new TestClock();
  const outage = { mayLapse: false, inRegistrationGrace: false };
  const { log, lines } = recordedLog();
  const fleet = testFleet(clock, {
    log,
    outage: () =>
      outage.mayLapse ? { isOver: false, lengthMs: 5000 } : undefined,
    inRegistrationGrace: () => outage.inRegistrationGrace,
  });
  return { fleet, clock, outage, lines };
}

function ids(fleet: Fleet): string[] {
  return fleet.open("engines").map(({ id }) => id);
}

test("draining server accepts no new requests", () => {
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

test("server whose registration lapsed in an outage is kept while it may register again", () => {
  const { fleet, clock, outage } = create();
  fleet.put(registration("a"));
  outage.mayLapse = true;
  outage.inRegistrationGrace = true;
  fleet.remove("a");
  clock.advance(60_000);
  fleet.settle();
  assert.deepEqual(ids(fleet), ["a"]);
  outage.mayLapse = false;
  fleet.settle();
  assert.deepEqual(ids(fleet), ["a"]);
  outage.inRegistrationGrace = false;
  fleet.settle();
  assert.deepEqual(ids(fleet), []);
});

test("server deleted after an outage is removed at once while lapsed ones are kept", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a"));
  fleet.put(registration("b"));
  outage.mayLapse = true;
  outage.inRegistrationGrace = true;
  fleet.remove("a");
  outage.mayLapse = false;
  fleet.remove("b");
  assert.deepEqual(ids(fleet), ["a"]);
});

test("lapsed server is removed if the time to register again has passed", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a"));
  outage.mayLapse = true;
  fleet.remove("a");
  fleet.settle();
  assert.deepEqual(ids(fleet), []);
});

test("kept server is logged with the outage", () => {
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

test("server that registers again after an outage is kept", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a"));
  outage.mayLapse = true;
  outage.inRegistrationGrace = true;
  fleet.remove("a");
  fleet.put(registration("a"));
  outage.inRegistrationGrace = false;
  fleet.settle();
  assert.deepEqual(ids(fleet), ["a"]);
});

test("weights version of a server only increases", () => {
  const { fleet } = create();
  fleet.put(registration("a", { weights: new Map([["m", 3]]) }));
  fleet.put(registration("a", { weights: new Map([["m", 2]]) }));
  assert.equal(fleet.get("a")?.weights("m"), 3);
});

test("new weights clear the expected cache", () => {
  const { fleet } = create();
  fleet.put(registration("a"));
  const chain = { salt: "w1", parts: [{ id: "p", tokens: 10 }] };
  const server = fleet.get("a")!;
  server.cache.recordPrompt(chain, 0);
  server.recordWeights("m", 2);
  assert.equal(server.cache.cachedTokens(chain), 0);
});

test("load reported by a silent peer expires", () => {
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
  const ticket = server.startRequest(100, true);
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

/** A fleet whose only server has learned cache contents, weights and health. */
function fleetWithUsedServer(): { fleet: Fleet; former: Server } {
  const { fleet } = create();
  fleet.put(registration("a", { bornAtMs: 5 }));
  const former = fleet.get("a")!;
  former.cache.recordPrompt(CHAIN, 0);
  former.recordWeights("m", 3);
  former.cache.recordPrompt(CHAIN, 0);
  former.health.unreachable(0);
  former.holdBack(Infinity);
  return { fleet, former };
}

/*
 * A server that restarted under the same id was treated as the same server: prompts were routed to
 * it for cache contents that it had lost, and it was assumed to have weights that it no longer had.
 */
test("restarted server is a new one", () => {
  for (const address of ["127.0.0.1:1", "127.0.0.1:2"]) {
    const { fleet, former } = fleetWithUsedServer();
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

test("restart is logged as a restart", () => {
  const { fleet, lines } = create();
  fleet.put(registration("a", { bornAtMs: 5 }));
  fleet.put(registration("a", { bornAtMs: 6 }));
  fleet.put(registration("a", { bornAtMs: 6 }));
  const events = lines.map(({ event }) => event);
  assert.deepEqual(events, ["server_joined", "server_restarted"]);
});

test("registration of an earlier start is ignored", () => {
  const { fleet } = create();
  fleet.put(registration("a", { bornAtMs: 6 }));
  const server = fleet.get("a");
  fleet.put(registration("a", { bornAtMs: 5, draining: true }));
  assert.equal(fleet.get("a"), server);
  assert.deepEqual(ids(fleet), ["a"]);
});

test("registration of the same start, or of an unknown one, keeps the server", () => {
  const { fleet, former } = fleetWithUsedServer();
  fleet.put(registration("a", { bornAtMs: 5, slots: 9 }));
  fleet.put(registration("a", { slots: 10 }));
  assert.equal(fleet.get("a"), former);
  assert.equal(former.entry.slots, 10);
  // A registration without a start time does not erase the known one.
  fleet.put(registration("a", { bornAtMs: 4, slots: 11 }));
  assert.equal(former.entry.slots, 10);
  fleet.put(registration("a", { bornAtMs: 6 }));
  assert.notEqual(fleet.get("a"), former);
});

test("server that lapsed in an outage and restarted is kept", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a", { bornAtMs: 5 }));
  outage.mayLapse = true;
  outage.inRegistrationGrace = true;
  fleet.remove("a");
  fleet.put(registration("a", { bornAtMs: 6 }));
  outage.mayLapse = false;
  outage.inRegistrationGrace = false;
  fleet.settle();
  assert.deepEqual(ids(fleet), ["a"]);
});

test("late registration of an earlier start does not keep a lapsed server", () => {
  const { fleet, outage } = create();
  fleet.put(registration("a", { bornAtMs: 6 }));
  outage.mayLapse = true;
  outage.inRegistrationGrace = true;
  fleet.remove("a");
  fleet.put(registration("a", { bornAtMs: 5 }));
  outage.mayLapse = false;
  outage.inRegistrationGrace = false;
  fleet.settle();
  assert.deepEqual(ids(fleet), []);
});

/*
 * A server restarted at another address, and another server took its old address. A call addressed
 * to the earlier start was refused there, and the new start was removed for it.
 */
test("removing an earlier start does not remove the new one", () => {
  const { fleet, former } = fleetWithUsedServer();
  fleet.put(registration("a", { bornAtMs: 6, address: "127.0.0.1:2" }));
  fleet.dropReplaced(former);
  assert.deepEqual(ids(fleet), ["a"]);
  fleet.dropReplaced(fleet.get("a")!);
  assert.deepEqual(ids(fleet), []);
});

test("leaving server is open again after a restart", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1", { bornAtMs: 1 }));
  fleet.markLeaving(fleet.get("i-1")!, clock.nowMs());
  assert.equal(fleet.open("engines").length, 0);
  fleet.put(registration("i-1", { bornAtMs: 2 }));
  assert.equal(fleet.open("engines").length, 1);
});

test("leaving announcement expires", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  fleet.markLeaving(fleet.get("i-1")!, clock.nowMs());
  clock.advance(60_000);
  assert.equal(fleet.open("engines").length, 0);
  clock.advance(3_600_000);
  assert.equal(fleet.open("engines").length, 1);
});

test("server that asked for a pause may still get new weights", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  fleet.get("i-1")!.announcements.pause(clock.nowMs(), 5000);
  assert.equal(fleet.accepting("engines").length, 0);
  assert.equal(fleet.open("engines").length, 1);
  assert.equal(fleet.pausedMs("engines"), 5000);
  clock.advance(5000);
  assert.equal(fleet.accepting("engines").length, 1);
  assert.equal(fleet.pausedMs("engines"), undefined);
});

test("longer pause is not shortened by a shorter one", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  const { announcements } = fleet.get("i-1")!;
  announcements.pause(clock.nowMs(), 5000);
  announcements.pause(clock.nowMs(), 100);
  clock.advance(4999);
  assert.equal(fleet.accepting("engines").length, 0);
});

test("announcements of a server survive a lapsed registration", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("i-1"));
  fleet.markLeaving(fleet.get("i-1")!, clock.nowMs());
  fleet.put(registration("i-2"));
  fleet.get("i-2")!.announcements.pause(clock.nowMs(), 5000);
  for (const id of ["i-1", "i-2"]) {
    fleet.drop(id, "registration_lapsed");
    fleet.put(registration(id));
  }
  assert.deepEqual(fleet.accepting("engines"), []);
});

test("server with another software version is another process, also without a start time", () => {
  const fleet = testFleet(new TestClock());
  fleet.put(registration("i-1", { softwareVersion: "v1" }));
  const server = fleet.get("i-1")!;
  fleet.put(registration("i-1", { softwareVersion: "v1" }));
  assert.ok(fleet.has(server));
  fleet.put(registration("i-1", { softwareVersion: "v2" }));
  assert.ok(!fleet.has(server));
});

test("stream waits for the pause of the servers that may continue it, not of all", () => {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  const old = registration("i-1", { softwareVersion: "v1" });
  fleet.put(old);
  fleet.put(registration("i-2", { softwareVersion: "v2" }));
  fleet.get("i-1")!.announcements.pause(clock.nowMs(), 700);
  assert.equal(fleet.pausedMs("engines"), undefined);
  assert.equal(fleet.pausedMs("engines", originAt(old)), 700);
});

const FROM_COPY = { isFromCopy: true };
/** Time in which the store removes the registration of a dead server. */
const SILENCE_MS = 4000;

// The copy was made before the server said that it leaves, so it is still called ready there.
test("restored copy doesn't call back a leaving server, unless it is a new start", () => {
  const { fleet, clock } = create();
  fleet.put(registration("a", { bornAtMs: 5, draining: true }));
  fleet.put(registration("b", { bornAtMs: 5 }));
  fleet.markLeaving(fleet.get("b")!, clock.nowMs());
  for (const id of ["a", "b"]) {
    fleet.put(registration(id, { bornAtMs: 5 }), FROM_COPY);
  }
  assert.deepEqual(ids(fleet), []);
  for (const id of ["a", "b"]) {
    fleet.put(registration(id, { bornAtMs: 6 }), FROM_COPY);
  }
  assert.deepEqual(ids(fleet).sort(), ["a", "b"]);
});

// A server that writes its state after the restore is believed, as it is without one.
test("registration written since the restore counts", () => {
  const { fleet } = create();
  fleet.put(registration("a", { draining: true }));
  fleet.put(registration("a"), FROM_COPY);
  fleet.put(registration("a"));
  assert.deepEqual(ids(fleet), ["a"]);
});

// A dead server's old registration shows no sign of life.
test("restored copy is no sign that a server has not ended", () => {
  const { fleet, clock } = create();
  fleet.put(registration("a"));
  const { health } = fleet.get("a")!;
  health.refusedConnection(clock.nowMs());
  fleet.put(registration("a", { slots: 3 }), FROM_COPY);
  assert.ok(health.mayHaveEnded);
  fleet.put(registration("a", { slots: 3 }));
  assert.ok(!health.mayHaveEnded);
});

// A server that had ended would get requests until the store notices its silence.
test("restored copy doesn't bring back a removed server before it shows a sign of life", () => {
  const { fleet, clock } = create();
  for (const id of ["dead", "registers", "stays"]) {
    fleet.put(registration(id));
    fleet.remove(id);
    fleet.put(registration(id), FROM_COPY);
  }
  fleet.settle();
  assert.deepEqual(ids(fleet), []);
  fleet.put(registration("registers"));
  assert.deepEqual(ids(fleet), ["registers"]);
  fleet.remove("dead");
  clock.advance(SILENCE_MS);
  fleet.settle();
  assert.deepEqual(ids(fleet).sort(), ["registers", "stays"]);
});

// Its entry would otherwise be known from the copy alone, which is older than its leaving.
test("removed server that was leaving is still leaving if the restored store keeps it", () => {
  const { fleet, clock } = create();
  fleet.put(registration("a", { draining: true }));
  fleet.remove("a");
  fleet.put(registration("a"), FROM_COPY);
  clock.advance(SILENCE_MS);
  fleet.settle();
  assert.ok(fleet.get("a"));
  assert.deepEqual(ids(fleet), []);
});

// An entry that has not seen a server before has nothing but the copy.
test("server that only the restored copy has is used at once", () => {
  const { fleet } = create();
  fleet.put(registration("a"), FROM_COPY);
  assert.deepEqual(ids(fleet), ["a"]);
});
