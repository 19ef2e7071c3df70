import assert from "node:assert/strict";
import { test } from "node:test";
import { begunAnswer, createForwarderSetup } from "./_request_forwarder_kit.ts";
import { OpenRuns } from "./open_runs.ts";
import { WakeSignal } from "./wake_signal.ts";

// Guards against charging a workspace's quota twice if the first of two runs is refused and the second
// one answers.
test("request that ran once is charged once", (t) => {
  const played = createForwarderSetup(t);
  const { parts, task, choice } = played;
  const runs = OpenRuns.create(parts, task, { wake: WakeSignal.create() });
  runs.open(choice, { kind: "free" });
  runs.open(choice, { kind: "paid", atMs: 0 });
  assert.equal(played.charged, 1);
  const [first, second] = runs.all;
  assert.ok(first && second);
  runs.finishRun(first, { kind: "not_run", reason: "refused_503" });
  second.answer = begunAnswer();
  runs.answered(second);
  assert.equal(played.charged, 0);
});
