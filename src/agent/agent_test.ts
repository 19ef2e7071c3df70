import assert from "node:assert/strict";
import { test } from "node:test";
import { promisify } from "node:util";
import {
  type AgentClient,
  type AskReply,
  type AskRequest,
  type CancelReply,
  type CancelRequest,
  RefusalCode,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import { FakeEngine } from "./_fake_engine.ts";
import { openAgent, RunReader, testAsk, testStart } from "./_test_kit.ts";

function askOf(client: AgentClient) {
  return promisify<AskRequest, AskReply>(client.ask.bind(client));
}

function cancelOf(client: AgentClient) {
  return promisify<CancelRequest, CancelReply>(client.cancel.bind(client));
}

test("a run with a hold returns its pieces in order and their count", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reply = await askOf(client)(testAsk("r1", { holdMs: 1000 }));
  assert.equal(reply.verdict?.$case, "offer");
  const holdId = reply.verdict?.$case === "offer"
    ? reply.verdict.value.holdId
    : "";
  const reader = RunReader.open(client, testStart("r1", { holdId }));
  const run = await engine.waitForRun(0);
  run.emitPiece("a");
  run.emitPiece("b");
  run.end();
  assert.deepEqual(await reader.readAll(), [
    "started",
    "#0 a",
    "#1 b",
    "end 1 of 2",
  ]);
});

test("a second start of a run id attaches to the existing run", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const first = RunReader.open(client, testStart("r1"));
  const run = await engine.waitForRun(0);
  run.emitPiece("a");
  await first.next();
  await first.next();
  const second = RunReader.open(client, testStart("r1"));
  run.emitPiece("b");
  run.end();
  assert.deepEqual(await second.readAll(), [
    "started",
    "#0 a",
    "#1 b",
    "end 1 of 2",
  ]);
  const third = RunReader.open(client, testStart("r1", { nextSeq: 2 }));
  assert.deepEqual(await third.readAll(), ["started", "end 1 of 2"]);
  assert.equal(engine.runs.length, 1);
});

test("a run id cancelled before its start never runs", async () => {
  const engine = FakeEngine.create();
  engine.endsImmediately = true;
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reply = await cancelOf(client)({ runId: "r1", reason: "" });
  assert.equal(reply.notRun, true);
  const reader = RunReader.open(client, testStart("r1"));
  assert.deepEqual(await reader.readAll(), [
    `refusal ${RefusalCode.CANCELLED}`,
  ]);
  assert.equal(engine.runs.length, 0);
});

test("a run id whose start was refused stays refused", async () => {
  const engine = FakeEngine.create();
  engine.endsImmediately = true;
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const attach = RunReader.open(client, testStart("r1", { attachOnly: true }));
  assert.deepEqual(await attach.readAll(), [
    `refusal ${RefusalCode.HOLD_GONE}`,
  ]);
  const late = RunReader.open(client, testStart("r1"));
  assert.deepEqual(await late.readAll(), [`refusal ${RefusalCode.CANCELLED}`]);
  assert.equal(engine.runs.length, 0);
});

test("a hold of another process is refused", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reader = RunReader.open(client, testStart("r1", { holdId: "other-1" }));
  assert.deepEqual(await reader.readAll(), [
    `refusal ${RefusalCode.HOLD_GONE}`,
  ]);
});

test("a reader that reconnects resumes at the requested piece", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const first = RunReader.open(client, testStart("r1"));
  const run = await engine.waitForRun(0);
  run.emitPiece("a");
  await first.next();
  await first.next();
  first.cut();
  run.emitPiece("b");
  const second = RunReader.open(
    client,
    testStart("r1", { attachOnly: true, nextSeq: 1 }),
  );
  run.emitPiece("c");
  run.end();
  assert.deepEqual(await second.readAll(), [
    "started",
    "#1 b",
    "#2 c",
    "end 1 of 3",
  ]);
});

test("a slow reader applies backpressure to the engine", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reader = RunReader.open(client, testStart("r1", { windowPieces: 4 }));
  const run = await engine.waitForRun(0);
  for (let i = 0; i < 100; i++) run.emitPiece("x");
  run.end();
  await reader.next();
  for (let seen = 0; seen < 4;) {
    const step = await reader.next();
    seen += step?.$case === "pieces" ? step.value.data.length : 0;
  }
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(run.piecesRead, 4);
  reader.ack(4);
  const rest = await reader.readAll();
  assert.equal(rest.at(-1), "end 1 of 100");
});

test("cancelling a running run aborts it in the engine and reports that it ran", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reader = RunReader.open(client, testStart("r1"));
  const run = await engine.waitForRun(0);
  const reply = await cancelOf(client)({ runId: "r1", reason: "enough" });
  assert.equal(reply.notRun, false);
  assert.deepEqual(await reader.readAll(), [
    "started",
    `end ${RunOutcome.CANCELLED} of 0`,
  ]);
  assert.equal(run.isCancelled, true);
});

test("a run cancelled while it waits is reported as not run", async () => {
  const engine = FakeEngine.create();
  engine.maxRunning = 1;
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  RunReader.open(client, testStart("r1"));
  await engine.waitForRun(0);
  const waiting = RunReader.open(client, testStart("r2"));
  assert.equal((await waiting.next())?.$case, "started");
  const reply = await cancelOf(client)({ runId: "r2", reason: "" });
  assert.equal(reply.notRun, true);
  assert.deepEqual(await waiting.readAll(), [
    `refusal ${RefusalCode.CANCELLED}`,
  ]);
  assert.equal(engine.runs.length, 1);
});

test("runs fail when the engine restarts", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reader = RunReader.open(client, testStart("r1"));
  const run = await engine.waitForRun(0);
  run.emitPiece("a");
  engine.incarnation = "engine-2";
  assert.deepEqual(await reader.readAll(), [
    "started",
    "#0 a",
    `end ${RunOutcome.FAILED} of 1`,
  ]);
});

test("a start is refused when the engine is unreachable", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  engine.isUp = false;
  const reader = RunReader.open(client, testStart("r1"));
  const seen = await reader.readAll();
  assert.equal(seen.at(-1), `refusal ${RefusalCode.SERVER_DOWN}`);
});

test("a planned stop refuses new runs and lets current runs end", async () => {
  const engine = FakeEngine.create();
  const { agent, client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reader = RunReader.open(client, testStart("r1"));
  const run = await engine.waitForRun(0);
  const stopped = agent.stop();
  const late = RunReader.open(client, testStart("r2"));
  assert.deepEqual(await late.readAll(), [`refusal ${RefusalCode.LEAVING}`]);
  run.emitPiece("a");
  run.end();
  assert.deepEqual(await reader.readAll(), ["started", "#0 a", "end 1 of 1"]);
  await stopped;
});

test("an ask with a newer branch revision than the agent's is refused", async () => {
  const engine = FakeEngine.create();
  const { client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reply = await askOf(client)(testAsk("r1", { configVersion: 7n }));
  assert.equal(
    reply.verdict?.$case === "refusal" && reply.verdict.value.code,
    RefusalCode.STALE_CONFIG,
  );
});

test("a state dump lists runs without their text", async () => {
  const engine = FakeEngine.create();
  const { agent, client } = await openAgent({
    server: { kind: "engine", engine },
  });
  const reader = RunReader.open(client, testStart("r1"));
  const run = await engine.waitForRun(0);
  run.emitPiece("secret");
  await reader.next();
  await reader.next();
  const dump = agent.dumpState();
  assert.equal(dump.runs.shown[0]?.runId, "r1");
  assert.equal(JSON.stringify(dump).includes("secret"), false);
});
