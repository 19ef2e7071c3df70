import assert from "node:assert/strict";
import { test } from "node:test";
import { Caller, PermitBucket } from "./permit_bucket.ts";

const RATE = 2;
/** Time in which one permit becomes available. */
const PERMIT_MS = 500;

function takeAll(bucket: PermitBucket, caller: Caller, nowMs: number): number {
  let taken = 0;
  while (bucket.take(caller, nowMs).kind === "granted") taken++;
  return taken;
}

test("bucket grants permits at its rate, and keeps one and a quarter second's", () => {
  const bucket = PermitBucket.create(10, 0);
  assert.equal(takeAll(bucket, Caller.new, 0), 0);
  assert.equal(takeAll(bucket, Caller.new, 300), 3);
  assert.equal(takeAll(bucket, Caller.new, 10_000), 3);
});

test("denied caller is told when a permit is available", () => {
  const bucket = PermitBucket.create(RATE, 0);
  assert.deepEqual(bucket.take(Caller.new, 100), {
    kind: "denied",
    waitMs: PERMIT_MS - 100,
  });
  assert.equal(bucket.take(Caller.new, PERMIT_MS).kind, "granted");
});

test("reservations are made one permit apart", () => {
  const bucket = PermitBucket.create(RATE, 0);
  const waits = [0, 1, 2].map(() => bucket.reserve(10_000, 0));
  assert.deepEqual(waits, [PERMIT_MS, 2 * PERMIT_MS, 3 * PERMIT_MS]);
});

test("reserved permit is kept from new callers until its caller returns", () => {
  const bucket = PermitBucket.create(RATE, 0);
  const waitMs = bucket.reserve(10_000, 0);
  assert.equal(bucket.take(Caller.new, waitMs).kind, "denied");
  assert.equal(bucket.take(Caller.returning, waitMs).kind, "granted");
});

test("reservation of a caller who doesn't return lapses", () => {
  const bucket = PermitBucket.create(RATE, 0);
  const waitMs = bucket.reserve(10_000, 0);
  assert.equal(bucket.take(Caller.new, waitMs + 400).kind, "denied");
  assert.equal(bucket.take(Caller.new, waitMs + 501).kind, "granted");
});

test("permit that comes too late for a caller is not reserved", () => {
  const bucket = PermitBucket.create(RATE, 0);
  assert.equal(bucket.reserve(PERMIT_MS - 1, 0), PERMIT_MS);
  assert.equal(bucket.take(Caller.new, PERMIT_MS).kind, "granted");
});

test("new caller gets a permit that no reservation needs in time", () => {
  const bucket = PermitBucket.create(10, 0);
  assert.equal(bucket.take(Caller.new, 500).kind, "granted");
  // Two permits are left, and the reserved one is available at once.
  bucket.reserve(10_000, 500);
  assert.equal(takeAll(bucket, Caller.new, 500), 1);
  assert.equal(bucket.take(Caller.returning, 500).kind, "granted");
});

test("returning caller without a reservation is treated as a new one", () => {
  const bucket = PermitBucket.create(RATE, 0);
  bucket.reserve(10_000, 0);
  assert.equal(bucket.take(Caller.returning, 100).kind, "denied");
  assert.equal(takeAll(bucket, Caller.returning, PERMIT_MS), 1);
});

test("unused permit is available again", () => {
  const bucket = PermitBucket.create(RATE, 0);
  assert.equal(bucket.take(Caller.new, PERMIT_MS).kind, "granted");
  bucket.giveBack(PERMIT_MS);
  assert.equal(takeAll(bucket, Caller.new, PERMIT_MS), 1);
});

test("changed rate applies from then on", () => {
  const bucket = PermitBucket.create(RATE, 0);
  bucket.setRate(20, 0);
  assert.equal(takeAll(bucket, Caller.new, 250), 5);
  bucket.setRate(1, 250);
  assert.equal(takeAll(bucket, Caller.new, 1249), 0);
  assert.equal(takeAll(bucket, Caller.new, 1250), 1);
});

test("server that takes no requests gets one after 10 s", () => {
  const bucket = PermitBucket.create(0, 0);
  assert.equal(takeAll(bucket, Caller.new, 9999), 0);
  assert.equal(takeAll(bucket, Caller.new, 10_000), 1);
});
