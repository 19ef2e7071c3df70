import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../base/random.ts";
import { jittered, rotated, TELL_MS } from "./tell_pace.ts";

const SEED = 20_261_204;
const DRAWS = 1000;

// An entry with a busy link did not hear the same four to nine others for up to four seconds, and
// counted nothing of what they took of a workspace's limit.
test("no entry is always told last", () => {
  const random = seededRandom(SEED);
  const names = ["a", "b", "c", "d"];
  const last = new Map<string, number>();
  for (let i = 0; i < DRAWS; i++) {
    const order = rotated(names, random);
    assert.deepEqual(order.toSorted(), names);
    const name = order.at(-1)!;
    last.set(name, (last.get(name) ?? 0) + 1);
  }
  for (const name of names) {
    assert.ok(Math.abs(last.get(name)! - DRAWS / 4) < DRAWS / 10, name);
  }
  assert.deepEqual(rotated([], random), []);
});

test("entries that started in step don't stay in step, and tell as often", () => {
  const random = seededRandom(SEED);
  let oneMs = 0;
  let otherMs = 0;
  for (let i = 0; i < DRAWS; i++) {
    oneMs += jittered(TELL_MS, random);
    otherMs += jittered(TELL_MS, random);
  }
  assert.ok(Math.abs(oneMs - otherMs) > TELL_MS);
  assert.ok(Math.abs(oneMs / DRAWS / TELL_MS - 1) < 0.05);
});
