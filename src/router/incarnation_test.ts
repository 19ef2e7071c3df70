import assert from "node:assert/strict";
import { test } from "node:test";
import { registration, TestClock, testFleet } from "./_kit.ts";
import { AnswerRateKind } from "./model.ts";

/*
 * A server that has started again under its id differs by its start time alone. What was learned of the
 * earlier start made the new one look busy, slow, leaving or limited.
 */

const LOAD = { pendingTokens: 100, running: 3, bound: 1 };
const NO_LOAD = { pendingTokens: 0, running: 0, bound: 0 };
const BORN_MS = 5;
const BORN_AGAIN_MS = 6;

function create() {
  const clock = new TestClock();
  const fleet = testFleet(clock);
  fleet.put(registration("a", { bornAtMs: BORN_MS }));
  const former = fleet.get("a")!;
  const restart = () => {
    fleet.put(registration("a", { bornAtMs: BORN_AGAIN_MS }));
    return fleet.get("a")!;
  };
  return { clock, fleet, former, restart };
}

test("load, slowness, refusals and announcements belong to one start", () => {
  const { clock, fleet, former, restart } = create();
  const nowMs = clock.nowMs();
  former.startRequest(100, true);
  former.setPeerLoad("peer", LOAD, nowMs);
  for (let i = 0; i < 50; i++) former.health.answered(nowMs, 10);
  former.health.failed(nowMs);
  former.health.markSuspected(nowMs);
  former.health.connectionBroke(nowMs);
  former.refused(nowMs + 1000);
  former.markNextToChange(nowMs + 1000);
  former.outputTimes.record(100_000, 1000);
  former.announcements.pause(nowMs, 1000);
  fleet.markLeaving(former, nowMs);
  const rate = { kind: AnswerRateKind.limited, perSecond: 1 } as const;
  fleet.recordRate(former, { rate, isRefusal: false, sentAtMs: nowMs });
  const formerOutputMs = former.outputTimes.expectedMs(10);
  const server = restart();
  assert.notEqual(server, former);
  assert.deepEqual(server.load(nowMs), NO_LOAD);
  assert.equal(server.health.slowness(nowMs), 1);
  assert.equal(server.health.failures(nowMs), 0);
  assert.equal(server.health.isDown, false);
  assert.equal(server.health.isEndUndecided(nowMs), false);
  assert.equal(server.isHeldBack(nowMs), false);
  assert.equal(server.isNextToChange(nowMs), false);
  assert.equal(server.isLeaving(nowMs), false);
  assert.equal(server.announcements.pausedMs(nowMs), 0);
  assert.equal(server.announcements.rate.perSecond, undefined);
  assert.notEqual(server.outputTimes.expectedMs(10), formerOutputMs);
  assert.notEqual(server.channels, former.channels);
});

// Answers and reports of the earlier start arrive after the new one has registered.
test("what is learned late of an earlier start doesn't reach the new one", () => {
  const { clock, fleet, former, restart } = create();
  const ticket = former.startRequest(100, true);
  const server = restart();
  const nowMs = clock.nowMs();
  fleet.markLeaving(former, nowMs);
  const rate = { kind: AnswerRateKind.limited, perSecond: 1 } as const;
  fleet.recordRate(former, { rate, isRefusal: false, sentAtMs: nowMs });
  former.setPeerLoad("peer", LOAD, nowMs);
  former.health.refusedConnection(nowMs);
  fleet.dropReplaced(former);
  ticket.ended();
  assert.equal(fleet.get("a"), server);
  assert.equal(fleet.get("a", BORN_MS), undefined);
  assert.equal(fleet.get("a", BORN_AGAIN_MS), server);
  assert.equal(server.isLeaving(nowMs), false);
  assert.equal(server.announcements.rate.perSecond, undefined);
  assert.equal(server.health.isDown, false);
  assert.deepEqual(server.load(nowMs), NO_LOAD);
});
