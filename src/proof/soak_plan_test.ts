/** Plans of the soak: which faults its seeds draw. */
import assert from "node:assert/strict";
import { hash } from "node:crypto";
import { test } from "node:test";
import { CutEnding } from "../standin/mod.ts";
import { FaultKind } from "./_soak_fault.ts";
import { planSoak } from "./_soak_plan.ts";

const SIZES = { entryCount: 4, serverCount: 6, durationMs: 15_000 };
/** Kinds that draw from random numbers of their own; they bring all later faults of a plan. */
const LATER_KINDS = [
  FaultKind.unframed,
  FaultKind.answerCut,
  FaultKind.storeRestore,
  FaultKind.lateRefusals,
  FaultKind.cutOff,
];

test("same seed gives the same plan", () => {
  assert.deepEqual(planSoak(7, SIZES), planSoak(7, SIZES));
  assert.notDeepEqual(planSoak(7, SIZES).faults, planSoak(8, SIZES).faults);
});

// Guards against kinds of faults that change what the seeds of earlier findings draw.
test("plan without later kinds of faults stays the same", () => {
  const plans = Array.from(
    { length: 200 },
    (_, i) => planSoak(i + 1, { ...SIZES, without: LATER_KINDS }).faults,
  );
  assert.equal(
    hash("sha256", JSON.stringify(plans)),
    "fd6372acec72199fb287de81befa1633cbb3f2607539cbabb0a75548e77d9462",
  );
});

// Guards against seeds that pass as they have none of the faults.
test("first seeds draw restores, servers that leave, entries cut off, and all ends of cut answers", () => {
  const faults = [1, 2, 3, 4].flatMap((seed) => planSoak(seed, SIZES).faults);
  const kinds = new Set(faults.map(({ kind }) => kind));
  for (const kind of [...LATER_KINDS, FaultKind.leave, FaultKind.takeUps]) {
    assert.ok(kinds.has(kind), kind);
  }
  const cuts = new Set(
    faults.flatMap(({ cut }) => cut ? `${cut.ending} ${cut.isReset}` : []),
  );
  for (const ending of Object.values(CutEnding)) {
    for (const isReset of [false, true]) {
      assert.ok(cuts.has(`${ending} ${isReset}`), `${ending} ${isReset}`);
    }
  }
});
