import assert from "node:assert/strict";
import { test } from "node:test";
import { TestClock } from "./_kit.ts";
import { PeerLags } from "./peer_lags.ts";

function create(lagMs = 0) {
  const clock = new TestClock();
  return { clock, lags: PeerLags.create({ clock, lagMs: () => lagMs }) };
}

test("entries without a reported lag have room", () => {
  const { lags } = create();
  assert.ok(!lags.haveRoom);
  lags.record("a");
  assert.ok(lags.haveRoom);
});

test("others have no room if most of them are behind", () => {
  const { lags } = create();
  for (const address of ["a", "b"]) lags.record(address, 200);
  lags.record("c");
  assert.ok(!lags.haveRoom);
  lags.record("a", 0);
  assert.ok(lags.haveRoom);
});

test("entries that stop or are no longer heard have no room", () => {
  const { clock, lags } = create();
  lags.record("a", 0, true);
  assert.ok(!lags.haveRoom);
  lags.record("b");
  clock.advance(1500);
  assert.ok(!lags.haveRoom);
});

test("short lag is not told", () => {
  assert.equal(create(24).lags.ownToldMs, undefined);
  assert.equal(create(80.4).lags.ownToldMs, 80);
});
