import assert from "node:assert/strict";
import { test } from "node:test";
import { Metrics } from "../base/mod.ts";
import { recordedLog, TestClock } from "./_kit.ts";
import { ConnectionGate } from "./connection_gate.ts";

/** Longer than the process must be behind. */
const LONG_MS = 600;

function create({ peersHaveRoom = true } = {}) {
  const clock = new TestClock();
  const { log, lines } = recordedLog();
  const gate = ConnectionGate.create({
    clock,
    log,
    metrics: Metrics.create(),
    random: () => 0.5,
    peersHaveRoom: () => peersHaveRoom,
  });
  /** Offers a connection every 10 ms; returns the number of those that were closed. */
  const offer = (lagMs: number, forMs: number) => {
    let closed = 0;
    for (let ms = 0; ms < forMs; ms += 10) {
      clock.advance(10);
      if (!gate.admit(lagMs)) closed++;
    }
    return closed;
  };
  return { clock, gate, offer, lines };
}

test("connections are closed once the process has been behind for a while", () => {
  const { gate, offer, lines } = create();
  assert.equal(offer(200, 450), 0);
  assert.ok(!gate.isClosing);
  assert.ok(offer(200, LONG_MS) > 50);
  assert.ok(gate.isClosing);
  assert.equal(lines[0]!["event"], "connections_closed_unread");
  assert.ok(lines.length <= 2);
});

test("pauses of the process close no connection", () => {
  const { clock, offer } = create();
  for (let i = 0; i < 5; i++) {
    assert.equal(offer(300, 200), 0);
    assert.equal(offer(10, 50), 0);
  }
  for (let i = 0; i < 5; i++) {
    assert.equal(offer(300, 10), 0);
    clock.advance(LONG_MS);
  }
});

test("share of the closed connections grows with the lag", () => {
  assert.equal(create().offer(90, 2000), 0);
  const { offer } = create();
  offer(120, LONG_MS);
  assert.equal(offer(120, 1000), 100);
});

test("no connection is closed if the other entries have no room", () => {
  assert.equal(create({ peersHaveRoom: false }).offer(500, 2000), 0);
});
