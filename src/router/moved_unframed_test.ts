/** Streams without a declared end whose engine stops them in order to move them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  completeStreamBody,
  type StandinBackendServerFaults,
} from "../standin/mod.ts";
import { LONG_EVENTS, startStreamPerEngine } from "./_long_timeout_kit.ts";
import { openWorld } from "./_world.ts";

const MOVES: Record<string, Partial<StandinBackendServerFaults>> = {
  "copied": {},
  "not copied": { moveFull: 9 },
  "stopped without an answer": { loseMove: 9 },
};

for (const [name, fault] of Object.entries(MOVES)) {
  // Guards against taking the orderly close of a stopped run's connection for the stream's end.
  test(`stream without a declared end is resumed if its run is ${name}`, async (t) => {
    const world = await openWorld(t);
    const faults = { ...fault, isUnframed: true };
    const { engines, answers } = await startStreamPerEngine(world, { faults });
    await world.store.put("op/version/m", { model: "m", version: 2 });
    for (const answer of answers) {
      assert.equal((await answer).body, completeStreamBody(LONG_EVENTS));
    }
    assert.equal(engines.flatMap(({ runs }) => runs).length, 3);
  });
}
