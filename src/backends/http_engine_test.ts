import assert from "node:assert/strict";
import { test } from "node:test";
import {
  expectedAnswerTo,
  StandinEngine,
  type StandinEngineOptions,
} from "../standin/mod.ts";
import { type EngineCall, type EngineFailure, HttpEngine } from "./mod.ts";

const LONG_MS = 20_000;
/** For tests that wait for it. */
const SHORT_MS = 200;

async function open(
  options: Partial<StandinEngineOptions> = {},
  silenceMs = LONG_MS,
) {
  const engine = await StandinEngine.create({ blockBytes: 32, ...options });
  const { url } = engine;
  const adapter = HttpEngine.create({
    url,
    silenceMs,
    feedSilenceMs: silenceMs,
  });
  const close = async () => {
    adapter.close();
    await engine.close();
  };
  return { engine, adapter, close };
}

function chat(requestId: string, maxTokens = 8): EngineCall {
  const messages = [{ role: "user", content: "Coat history of the shepherd" }];
  const body = { model: "notes", messages, max_tokens: maxTokens };
  return { requestId, api: "chat", body, priority: 0, cacheSalt: "salon" };
}

async function collect(adapter: HttpEngine, call: EngineCall) {
  const { signal } = new AbortController();
  const failures: EngineFailure[] = [];
  let text = "";
  let isEnded = false;
  for await (const step of adapter.run(call, signal)) {
    if (step.isErr) failures.push(step.error);
    else if (step.value.kind === "end") isEnded = true;
    else text += textOf(step.value.data);
  }
  return { text, isEnded, failures };
}

function textOf(data: Uint8Array): string {
  const { choices } = JSON.parse(Buffer.from(data).toString());
  return choices[0]?.delta?.content ?? choices[0]?.text ?? "";
}

test("run gives the whole answer", async () => {
  const { adapter, close } = await open();
  const call = chat("r1");
  const { text, isEnded, failures } = await collect(adapter, call);
  assert.equal(text, expectedAnswerTo("chat", call.body));
  assert.equal(isEnded, true);
  assert.deepEqual(failures, []);
  await close();
});

test("usage event comes only where the body asks", async () => {
  const { adapter, close } = await open();
  for (const include_usage of [true, false]) {
    const call = chat(`usage-${include_usage}`);
    call.body["stream_options"] = { include_usage };
    let usageEvents = 0;
    for await (const step of adapter.run(call, new AbortController().signal)) {
      if (step.isErr || step.value.kind === "end") continue;
      const { choices } = JSON.parse(Buffer.from(step.value.data).toString());
      if (choices.length === 0) usageEvents += 1;
    }
    assert.equal(usageEvents, include_usage ? 1 : 0);
  }
  await close();
});

test("text interface gives the whole answer", async () => {
  const { adapter, close } = await open();
  const body = { model: "notes", prompt: "Permit 7", max_tokens: 3 };
  const call: EngineCall = { ...chat("r1"), api: "text", body };
  const { text, isEnded } = await collect(adapter, call);
  assert.equal(text, expectedAnswerTo("text", body));
  assert.equal(isEnded, true);
  await close();
});

test("stream that is cut short is broken", async () => {
  const { engine, adapter, close } = await open();
  await engine.setFaults({ cutAfterPieces: 3 });
  const { isEnded, failures } = await collect(adapter, chat("r1"));
  assert.equal(isEnded, false);
  assert.deepEqual(failures.map(({ kind }) => kind), ["broken"]);
  await close();
});

test("stream that stalls is broken", async () => {
  const { engine, adapter, close } = await open({}, SHORT_MS);
  await engine.setFaults({ stallAfterPieces: 3 });
  const { isEnded, failures } = await collect(adapter, chat("r1"));
  assert.equal(isEnded, false);
  assert.deepEqual(failures.map(({ kind }) => kind), ["broken"]);
  await close();
});

test("crash breaks a run", async () => {
  const { engine, adapter, close } = await open({ decodeMsPerToken: 50 });
  const { signal } = new AbortController();
  const kinds: string[] = [];
  for await (const step of adapter.run(chat("r1"), signal)) {
    if (kinds.length === 0) engine.crash();
    kinds.push(step.isOk ? step.value.kind : step.error.kind);
  }
  assert.equal(kinds.at(-1), "broken");
  await close();
});

test("engine that is down is unreachable", async () => {
  const { engine, adapter, close } = await open();
  await engine.down();
  const { failures } = await collect(adapter, chat("r1"));
  assert.deepEqual(failures.map(({ kind }) => kind), ["unreachable"]);
  await engine.up();
  const { isEnded } = await collect(adapter, chat("r2"));
  assert.equal(isEnded, true);
  assert.deepEqual(engine.executions.map((run) => run.requestId), ["r2"]);
  await close();
});

test("refused run was not run", async () => {
  const { engine, adapter, close } = await open();
  await engine.setFaults({ rejectNext: 1 });
  const { failures } = await collect(adapter, chat("r1"));
  assert.ok(failures[0]?.kind === "rejected");
  assert.equal(failures[0].status, 503);
  assert.deepEqual(engine.executions, []);
  await close();
});

test("abort cancels the run in the engine", async () => {
  const { engine, adapter, close } = await open({
    maxRunning: 1,
    decodeMsPerToken: 20,
  });
  const stop = new AbortController();
  for await (const step of adapter.run(chat("r1", 1_000_000), stop.signal)) {
    if (step.isOk) stop.abort();
  }
  const { isEnded } = await collect(adapter, chat("r2"));
  assert.equal(isEnded, true);
  assert.deepEqual(engine.executions.map((run) => run.requestId), ["r1", "r2"]);
  await close();
});

test("old fencing number is refused where the engine checks", async () => {
  for (const enforceFencing of [true, false]) {
    const { engine, adapter, close } = await open({ enforceFencing });
    const order = { kind: "role", role: "prefill" } as const;
    const newer = await adapter.order({ fencingNumber: 5n, order });
    const older = await adapter.order({ fencingNumber: 4n, order });
    assert.ok(newer.isOk);
    assert.equal(older.isErr, enforceFencing);
    const fenced = { kind: "fenced", highestFencingNumber: 5n };
    if (older.isErr) assert.deepEqual(older.error, fenced);
    assert.equal(engine.orders.length, enforceFencing ? 1 : 2);
    await close();
  }
});

test("event feed shows stored blocks, gaps and the crash", async () => {
  const { engine, adapter, close } = await open();
  await engine.setFaults({ loseEvents: 1 });
  const prompt = "x".repeat(100);
  const body = { model: "notes", prompt, max_tokens: 1 };
  await collect(adapter, { ...chat("r1"), api: "text", body });
  const { incarnation } = engine;
  const { signal } = new AbortController();
  const seen: string[] = [];
  for await (const step of adapter.cacheEvents(1, signal)) {
    if (step.isErr) {
      seen.push(step.error.kind);
      continue;
    }
    assert.ok(step.value.kind === "event");
    assert.equal(step.value.incarnation, incarnation);
    seen.push(`${step.value.event.kind} ${step.value.event.seq}`);
    if (step.value.event.seq === 3) engine.crash();
  }
  assert.deepEqual(seen, ["stored 2", "stored 3", "broken"]);
  await close();
});

test("event feed that says nothing is broken", async () => {
  const { adapter, close } = await open({ heartbeatMs: 60_000 }, SHORT_MS);
  const { signal } = new AbortController();
  const seen: string[] = [];
  for await (const step of adapter.cacheEvents(1, signal)) {
    seen.push(step.isOk ? step.value.kind : step.error.kind);
  }
  assert.deepEqual(seen, ["broken"]);
  await close();
});
