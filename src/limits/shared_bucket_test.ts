import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  BucketFleet,
  type BucketFleetOptions,
  type BucketFleetResult,
  SharingStrategy,
} from "./_bucket_fleet.ts";
import { SharedBucket } from "./shared_bucket.ts";

const SEED = 20_261_203;
/** Tolerated excess over the limit: a part of the allowed tokens plus a fixed number. */
const TOLERANCE_SHARE = 0.1;
const TOLERANCE_TOKENS = 140_000;
/** Normal load of a workspace, as a part of its limit. */
const USUAL_LOAD = 1 / 1.8;
/** Overload of nine times the normal load, as a multiple of the limit. */
const OVERLOAD = 9 * USUAL_LOAD;
const RATES = [638_023, 200_000, 36_000];

function startFleet(
  perSecond: number,
  options: Partial<BucketFleetOptions> = {},
): BucketFleet {
  const limit = { perSecond, burst: perSecond };
  const fleet = BucketFleet.create({
    strategy: SharingStrategy.shared,
    entryCount: 30,
    limit,
    seed: SEED,
    ...options,
  });
  fleet.run(4000, perSecond * USUAL_LOAD);
  fleet.reset();
  return fleet;
}

function assertWithinLimit(
  { windowTaken, windowAllowed }: BucketFleetResult,
): void {
  assert.ok(
    windowTaken <= windowAllowed * (1 + TOLERANCE_SHARE) + TOLERANCE_TOKENS,
  );
}

/** Part of the tokens that a single bucket would have admitted but the fleet refused. */
function wronglyRefusedShare({ ideal, taken }: BucketFleetResult): number {
  return Math.max(0, ideal - taken) / ideal;
}

test("normal load is not refused", () => {
  for (const rate of RATES) {
    const fleet = startFleet(rate);
    fleet.run(20_000, rate * USUAL_LOAD);
    assert.ok(wronglyRefusedShare(fleet.result()) < 0.01);
  }
});

test("a workspace whose load moves to other entries is not refused", () => {
  for (const rate of RATES) {
    const fleet = startFleet(rate);
    for (const [i, entry] of fleet.entries.entries()) {
      entry.demand = i < 10 ? 1 : 0;
    }
    fleet.run(6000, rate * USUAL_LOAD);
    for (const entry of fleet.entries) entry.demand = 1 - entry.demand;
    fleet.run(6000, rate * USUAL_LOAD);
    assert.ok(wronglyRefusedShare(fleet.result()) < 0.01);
  }
});

test("an overloaded workspace gets its whole limit and no more", () => {
  for (const rate of RATES) {
    const fleet = startFleet(rate);
    fleet.run(20_000, rate * OVERLOAD);
    assertWithinLimit(fleet.result());
    assert.ok(wronglyRefusedShare(fleet.result()) < 0.01);
  }
});

test("an overload at a few entries stays within the limit", () => {
  for (const rate of RATES) {
    const fleet = startFleet(rate);
    for (const [i, entry] of fleet.entries.entries()) {
      entry.demand = i < 3 ? 10 : 0.2;
    }
    fleet.run(20_000, rate * OVERLOAD);
    assertWithinLimit(fleet.result());
  }
});

test("entries that restart under overload don't each admit a new burst", () => {
  const arbitrary = fc.record({
    seed: fc.nat(1000),
    rate: fc.constantFrom(...RATES),
    killed: fc.constantFrom(1, 15, 30),
    downMs: fc.integer({ min: 200, max: 2000 }),
    upMs: fc.integer({ min: 500, max: 4000 }),
  });
  fc.assert(
    fc.property(arbitrary, ({ seed, rate, killed, downMs, upMs }) => {
      const fleet = startFleet(rate, { seed });
      fleet.run(6000, rate * OVERLOAD);
      for (let round = 0; round < 2; round++) {
        const lost = fleet.entries.slice(0, killed);
        for (const entry of lost) entry.isUp = false;
        fleet.run(downMs, rate * OVERLOAD);
        for (const { address } of lost) fleet.restart(address);
        fleet.run(upMs, rate * OVERLOAD);
      }
      fleet.run(4000, rate * OVERLOAD);
      assertWithinLimit(fleet.result());
    }),
    { seed: SEED, numRuns: 12 },
  );
});

test("both sides of a partition together stay within the limit", () => {
  for (const rate of RATES) {
    const fleet = startFleet(rate);
    for (const [i, entry] of fleet.entries.entries()) entry.partition = i % 2;
    fleet.run(2000, rate * USUAL_LOAD);
    fleet.run(10_000, rate * OVERLOAD);
    for (const entry of fleet.entries) entry.partition = 0;
    fleet.run(10_000, rate * OVERLOAD);
    assertWithinLimit(fleet.result());
  }
});

test("isolated entries and the others together stay within the limit", () => {
  const fleet = startFleet(RATES[0]!);
  for (const [i, entry] of fleet.entries.entries()) {
    entry.partition = i < 10 ? i + 1 : 0;
  }
  fleet.run(2000, RATES[0]! * USUAL_LOAD);
  fleet.run(10_000, RATES[0]! * OVERLOAD);
  assertWithinLimit(fleet.result());
});

test("totals are not counted again after a long partition", () => {
  const rate = RATES[0]!;
  const fleet = startFleet(rate);
  fleet.run(8000, rate * USUAL_LOAD);
  for (const [i, entry] of fleet.entries.entries()) entry.partition = i % 2;
  fleet.run(25_000, rate * USUAL_LOAD);
  for (const entry of fleet.entries) entry.partition = 0;
  fleet.run(1000, rate * USUAL_LOAD);
  fleet.reset();
  fleet.run(6000, rate * USUAL_LOAD);
  assert.ok(wronglyRefusedShare(fleet.result()) < 0.01);
});

test("usage stays within a limit that was lowered", () => {
  const rate = RATES[0]!;
  const fleet = startFleet(rate);
  fleet.run(4000, rate * USUAL_LOAD);
  fleet.setLimit({ perSecond: rate / 8, burst: rate / 8 });
  fleet.run(16_000, rate * USUAL_LOAD);
  assertWithinLimit(fleet.result());
});

test("a raised limit is fully used within a second", () => {
  const rate = RATES[0]!;
  const fleet = startFleet(rate / 8);
  fleet.run(6000, rate * USUAL_LOAD);
  fleet.setLimit({ perSecond: rate, burst: rate });
  fleet.run(1000, rate * USUAL_LOAD);
  fleet.reset();
  fleet.run(6000, rate * USUAL_LOAD);
  assert.ok(wronglyRefusedShare(fleet.result()) < 0.01);
});

function createLoneBucket(perSecond: number, burst: number): SharedBucket {
  const members = { count: 1, lastHeardAtMs: new Map() };
  const limit = { perSecond, burst };
  const bucket = SharedBucket.create({ limit, members, nowMs: 0 });
  bucket.level(10_000);
  return bucket;
}

test("a request larger than the burst is admitted once and leaves a debt", () => {
  const bucket = createLoneBucket(1000, 1000);
  assert.ok(bucket.tryTake(5000, 10_000));
  assert.ok(!bucket.tryTake(1, 13_900));
  assert.ok(bucket.tryTake(1, 14_100));
});

test("refused requests get successive retry times", () => {
  const bucket = createLoneBucket(1000, 1000);
  bucket.take(2000, 10_000);
  assert.equal(bucket.reserveRetry(500, 10_000), 1000);
  assert.equal(bucket.reserveRetry(500, 10_000), 1500);
});
