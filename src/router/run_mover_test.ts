// Runs were moved, with their memory, off an engine whose weights were about to change, to another
// one that still had the old ones; 10.8 s and 10.9 s after these had been replaced they began anew
// there. Only engines that a new request may still begin on are places to move to.
import assert from "node:assert/strict";
import { test } from "node:test";
import { registration, silentLog, TestClock } from "./_kit.ts";
import type { Send } from "./attempt.ts";
import { Fleet } from "./fleet.ts";
import { RunMover } from "./run_mover.ts";
import { WantedVersions } from "./wanted_weights.ts";

/** A run on engine `a`, and whether it was to be moved to `b`, some time after the naming. */
async function isMoved(ageMs: number): Promise<boolean> {
  const clock = new TestClock();
  const wanted = WantedVersions.create({ clock, boundMs: 10_000 });
  const fleet = Fleet.create({
    clock,
    log: silentLog,
    serverOptions: () => ({
      connectMs: 100,
      idleMs: 1,
      cacheTokens: 1000,
      connectionLimit: 9,
    }),
    outage: () => undefined,
    awaitsReturns: () => false,
  });
  for (const id of ["a", "b"]) fleet.put(registration(id));
  let spent = 0;
  const mover = RunMover.create({
    clock,
    log: silentLog,
    fleet,
    wanted,
    zone: "a",
    random: () => 0,
    spend: () => ++spent > 0,
  });
  wanted.name({ model: "m", version: 2 }, { maxAgeMs: 0 });
  clock.advance(ageMs);
  const send = {
    choice: { server: fleet.get("a"), weightsVersion: 1 },
    progress: { tried: new Set(["a"]) },
    request: {
      service: "engines",
      facts: { requestId: "r", prompt: { model: "m" } },
    },
  } as unknown as Send;
  // Nothing listens there: what counts is whether a move was tried.
  await mover.move(send);
  return spent > 0;
}

test("run is moved to an engine whose weights may still begin answers", async () => {
  assert.ok(await isMoved(0));
  assert.ok(await isMoved(8000));
});

test("run is not moved to an engine whose weights were replaced too long ago", async () => {
  assert.equal(await isMoved(9500), false);
});
