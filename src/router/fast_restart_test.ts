import assert from "node:assert/strict";
import { test } from "node:test";
import {
  BAD_PART,
  openCrashingFleet,
  type PromptOf,
  STABLE_MS,
} from "./_crashing_part_kit.ts";

/** Time after which a supervisor has replaced the process. */
const RETURN_MS = 12;
/**
 * Seven or eight crashes are counted where crashed engines are noticed; requests on their way and
 * delayed registrations add some.
 */
const MAX_CRASHES = 11;

// The address of a crashed engine accepted connections again before it was probed, so that no entry
// counted the crash.
test("part that crashes servers is stopped although they listen again at once", async (t) => {
  const fleet = await openCrashingFleet(t, { returnMs: RETURN_MS });
  const bad: PromptOf = (n) => ["shared:1000", `${BAD_PART}:200`, `own${n}:50`];
  await fleet.sendBad(bad, { forMs: 3 * STABLE_MS });
  const crashes = fleet.crashAtMs.length;
  assert.ok(crashes <= MAX_CRASHES, `${crashes} engines crashed`);
});
