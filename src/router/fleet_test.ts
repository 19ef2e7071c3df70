import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogLine, recordedLog, registration, TestClock } from "./_kit.ts";
import { Fleet } from "./fleet.ts";

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
  const fleet = Fleet.create({
    clock,
    log,
    serverOptions: () => ({
      connectMs: 1,
      idleMs: 1,
      cacheTokens: 1000,
      connectionLimit: 9,
    }),
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
