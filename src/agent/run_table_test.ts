import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../base/mod.ts";
import { RunOutcome } from "../wire/gen/cicadahitch.ts";
import { testAsk } from "./_test_kit.ts";
import { Run, RunState } from "./run.ts";
import { RunOutput } from "./run_output.ts";
import { RunTable } from "./run_table.ts";

function createTable() {
  const time = { nowMs: 0, wallMs: 1_000_000 };
  const clock = {
    ...systemClock,
    nowMs: () => time.nowMs,
    wallMs: () => time.wallMs,
  };
  return { time, table: RunTable.create({ clock, maxIds: 3 }) };
}

function addRun(table: RunTable, runId: string, issuedWallMs: number): Run {
  const ask = testAsk(runId, { issuedWallMs: BigInt(issuedWallMs) });
  const limits = { maxBytes: 100, repeatBytes: 0 };
  const run = Run.create({ ask, attempt: 1, nowMs: 0, limits });
  table.add(run);
  return run;
}

test("a forgotten run id can't start again, but a newer one can", () => {
  const { time, table } = createTable();
  const run = addRun(table, "r1", 5000);
  run.end(RunOutcome.DONE, "");
  table.markEnded(run);
  assert.equal(table.find("r1", 5000).kind, "kept");
  time.nowMs = 15_000;
  table.sweep();
  assert.equal(table.find("r1", 5000).kind, "forgotten_output");
  time.nowMs = 700_000;
  table.sweep();
  assert.equal(table.find("r1", 5000).kind, "too_old");
  assert.equal(table.find("r1").kind, "too_old");
  assert.equal(table.find("r2", 5001).kind, "new");
});

test("the id history is bounded and rejects ids that it forgot", () => {
  const { table } = createTable();
  for (let i = 0; i < 10; i++) {
    table.blockId({ runId: `r${i}`, issuedWallMs: BigInt(5000 + i) });
  }
  assert.equal(table.sizes["idsRemembered"], 3);
  assert.equal(table.find("r0", 5000).kind, "too_old");
  assert.equal(table.find("r9", 5009).kind, "forgotten_output");
});

test("a run without a reader is cancelled", () => {
  const { time, table } = createTable();
  const run = addRun(table, "r1", 5000);
  time.nowMs = 9000;
  table.sweep();
  assert.equal(run.signal.aborted, false);
  time.nowMs = 10_000;
  table.sweep();
  assert.equal(run.signal.aborted, true);
});

test("cancelling one caller's request does not cancel a shared run", () => {
  const { table } = createTable();
  const run = addRun(table, "r1", 5000);
  table.addAlias("r2", run);
  assert.equal(table.cancel({ runId: "r2", reason: "" }), "ran");
  assert.equal(run.signal.aborted, false);
});

test("cancelling a running run reports that it ran", () => {
  const { table } = createTable();
  const run = addRun(table, "r1", 5000);
  run.state = RunState.Running;
  assert.equal(table.cancel({ runId: "r1", reason: "" }), "ran");
  assert.equal(run.signal.aborted, true);
});

test("output keeps pieces that the slowest reader has not acknowledged", () => {
  const output = RunOutput.create({ maxBytes: 3, repeatBytes: 0 });
  const fast = output.addReader(0, 10)!;
  const slow = output.addReader(0, 10)!;
  for (let i = 0; i < 3; i++) output.append(Buffer.from("x"));
  output.take(fast, 100);
  output.acknowledge(fast, 3);
  assert.equal(output.hasRoom, false);
  assert.equal(output.take(slow, 1)?.data.length, 1);
  output.acknowledge(slow, 3);
  assert.equal(output.keptBytes, 2);
  assert.equal(output.hasRoom, true);
});
