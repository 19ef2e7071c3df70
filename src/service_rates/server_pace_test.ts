import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerPace } from "./server_pace.ts";

const INTERVAL_MS = 150;

/** Records answers of one ratio for some time; returns the time after them. */
function answer(
  pace: ServerPace,
  { ratio, fromMs, ms }: { ratio: number; fromMs: number; ms: number },
): number {
  for (let atMs = 0; atMs < ms; atMs += INTERVAL_MS) {
    pace.record(ratio, fromMs + atMs);
  }
  return fromMs + ms;
}

function assertBetween(value: number, min: number, max: number): void {
  assert.ok(value >= min && value <= max, `${value} not in ${min} to ${max}`);
}

// A pace that adapts in one direction only either overloads slow servers or leaves fast ones idle.
test("pace adapts within 2 s in both directions", () => {
  const pace = ServerPace.create();
  let nowMs = answer(pace, { ratio: 1, fromMs: 0, ms: 5000 });
  assertBetween(pace.factor(nowMs), 0.99, 1.01);
  nowMs = answer(pace, { ratio: 4, fromMs: nowMs, ms: 2000 });
  assertBetween(pace.factor(nowMs), 2, 4);
  nowMs = answer(pace, { ratio: 4, fromMs: nowMs, ms: 4000 });
  nowMs = answer(pace, { ratio: 1, fromMs: nowMs, ms: 2000 });
  assertBetween(pace.factor(nowMs), 1, 1.6);
});

// A server that was slow gets no requests, and would never be found to have recovered.
test("pace returns to 1 without samples", () => {
  const pace = ServerPace.create();
  const nowMs = answer(pace, { ratio: 4, fromMs: 0, ms: 6000 });
  assertBetween(pace.factor(nowMs), 3, 4);
  assertBetween(pace.factor(nowMs + 3000), 1.2, 2.5);
  assertBetween(pace.factor(nowMs + 6000), 1, 1.3);
});

// One late answer must not take a server out of use.
test("single outlier changes the pace little", () => {
  const pace = ServerPace.create();
  const nowMs = answer(pace, { ratio: 1, fromMs: 0, ms: 3000 });
  pace.record(1000, nowMs);
  assertBetween(pace.factor(nowMs), 1, 1.25);
});

test("samples of other entries count like own ones, and less with age", () => {
  const own = ServerPace.create();
  const peer = ServerPace.create();
  const late = ServerPace.create();
  for (let i = 0; i < 3; i++) own.record(2, 1000);
  const sums = own.takeUnsentSamples(1100);
  assert.equal(sums?.count, 3);
  assert.equal(Math.round(sums.ageMs), 100);
  peer.merge(sums, 1100);
  late.merge({ ...sums, ageMs: 3000 }, 1100);
  assertBetween(peer.factor(1100) / own.factor(1100), 0.97, 1.03);
  assertBetween(late.factor(1100), 1.01, 1.2);
  assert.equal(own.takeUnsentSamples(1200), undefined);
});

// By their mean age, samples of different ages would weigh less than they do for the sender.
test("samples sent late weigh as much as they do for the sender", () => {
  const own = ServerPace.create();
  const peer = ServerPace.create();
  peer.factor(0);
  own.record(2, 0);
  own.record(2, 4000);
  peer.merge(own.takeUnsentSamples(4000)!, 4000);
  const ratio = peer.factor(4000) / own.factor(4000);
  assertBetween(ratio, 0.99, 1.01);
});

// Samples of hundreds of entries would otherwise delay the next change by seconds.
test("total weight is bounded and the factor kept", () => {
  const pace = ServerPace.create();
  const sums = { factor: 2, count: 100, ageMs: 0 };
  for (let i = 0; i < 360; i++) pace.merge(sums, 1000);
  assertBetween(pace.weight(1000), 100, 250);
  assertBetween(pace.factor(1000), 1.9, 2);
  for (let i = 0; i < 1000; i++) pace.record(2, 1000);
  assertBetween(pace.weight(1000), 100, 250);
  assertBetween(pace.factor(1000), 1.9, 2);
  assertBetween(pace.unsentDeviation(1000) ?? NaN, 0, 250);
});

// A peer's valid but absurd row must not outweigh all other samples.
test("rows with extreme values change the pace within bounds", () => {
  const pace = ServerPace.create();
  pace.merge({ factor: 1e300, count: 1e300, ageMs: 0 }, 1000);
  pace.merge({ factor: 1e-300, count: 1e300, ageMs: 0 }, 1000);
  assertBetween(pace.factor(1000), 0.3, 3);
  assertBetween(pace.weight(1000), 0, 250);
  pace.merge({ factor: 1, count: 1, ageMs: 1e300 }, 1000);
  assertBetween(pace.factor(1000), 0.3, 3);
});

test("pace starts with the given factor and does not keep it", () => {
  const pace = ServerPace.create(() => 2.5);
  assertBetween(pace.factor(1000), 2.499, 2.501);
  const nowMs = answer(pace, { ratio: 1, fromMs: 1000, ms: 3000 });
  assertBetween(pace.factor(nowMs), 1, 1.2);
});
