import assert from "node:assert/strict";
import { test } from "node:test";
import {
  expectedAnswerTo,
  StandinEngine,
  type StandinEngineOptions,
} from "../standin/mod.ts";
import { type EngineCall, type EngineFailure, HttpEngine } from "./mod.ts";

const LONG_TIMEOUT_MS = 20_000;
/** Timeout for tests that wait until it expires. */
const SHORT_TIMEOUT_MS = 200;

async function openEngine(
  options: Partial<StandinEngineOptions> = {},
  silenceMs = LONG_TIMEOUT_MS,
) {
  const engine = await StandinEngine.create({ blockBytes: 32, ...options });
  const { url } = engine;
  const adapter = HttpEngine.create({
    url,
    silenceMs,
    feedTimeoutMs: silenceMs,
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

async function collectRun(adapter: HttpEngine, call: EngineCall) {
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

test("run returns the complete response", async () => {
  const { adapter, close } = await openEngine();
  const call = chat("r1");
  const { text, isEnded, failures } = await collectRun(adapter, call);
  assert.equal(text, expectedAnswerTo("chat", call.body));
  assert.equal(isEnded, true);
  assert.deepEqual(failures, []);
  await close();
});

test("the usage event is forwarded only if the body requests it", async () => {
  const { adapter, close } = await openEngine();
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

test("the text completion interface returns the complete response", async () => {
  const { adapter, close } = await openEngine();
  const body = { model: "notes", prompt: "Permit 7", max_tokens: 3 };
  const call: EngineCall = { ...chat("r1"), api: "text", body };
  const { text, isEnded } = await collectRun(adapter, call);
  assert.equal(text, expectedAnswerTo("text", body));
  assert.equal(isEnded, true);
  await close();
});

test("a truncated stream fails as broken", async () => {
  const { engine, adapter, close } = await openEngine();
  await engine.setFaults({ cutAfterPieces: 3 });
  const { isEnded, failures } = await collectRun(adapter, chat("r1"));
  assert.equal(isEnded, false);
  assert.deepEqual(failures.map(({ kind }) => kind), ["broken"]);
  await close();
});

test("a stalled stream fails as broken", async () => {
  const { engine, adapter, close } = await openEngine({}, SHORT_TIMEOUT_MS);
  await engine.setFaults({ stallAfterPieces: 3 });
  const { isEnded, failures } = await collectRun(adapter, chat("r1"));
  assert.equal(isEnded, false);
  assert.deepEqual(failures.map(({ kind }) => kind), ["broken"]);
  await close();
});

test("a run fails as broken when the engine crashes", async () => {
  const { engine, adapter, close } = await openEngine({ decodeMsPerToken: 50 });
  const { signal } = new AbortController();
  const kinds: string[] = [];
  for await (const step of adapter.run(chat("r1"), signal)) {
    if (kinds.length === 0) engine.crash();
    kinds.push(step.isOk ? step.value.kind : step.error.kind);
  }
  assert.equal(kinds.at(-1), "broken");
  await close();
});

test("an engine that is down is unreachable", async () => {
  const { engine, adapter, close } = await openEngine();
  await engine.down();
  const { failures } = await collectRun(adapter, chat("r1"));
  assert.deepEqual(failures.map(({ kind }) => kind), ["unreachable"]);
  await engine.up();
  const { isEnded } = await collectRun(adapter, chat("r2"));
  assert.equal(isEnded, true);
  assert.deepEqual(engine.executions.map((run) => run.requestId), ["r2"]);
  await close();
});

test("a rejected run is not executed", async () => {
  const { engine, adapter, close } = await openEngine();
  await engine.setFaults({ rejectNext: 1 });
  const { failures } = await collectRun(adapter, chat("r1"));
  assert.ok(failures[0]?.kind === "rejected");
  assert.equal(failures[0].status, 503);
  assert.deepEqual(engine.executions, []);
  await close();
});

test("aborting the signal cancels the run in the engine", async () => {
  const { engine, adapter, close } = await openEngine({
    maxRunning: 1,
    decodeMsPerToken: 20,
  });
  const stop = new AbortController();
  for await (const step of adapter.run(chat("r1", 1_000_000), stop.signal)) {
    if (step.isOk) stop.abort();
  }
  const { isEnded } = await collectRun(adapter, chat("r2"));
  assert.equal(isEnded, true);
  assert.deepEqual(engine.executions.map((run) => run.requestId), ["r1", "r2"]);
  await close();
});

test("an old fencing number is refused if the engine enforces fencing", async () => {
  for (const enforceFencing of [true, false]) {
    const { engine, adapter, close } = await openEngine({ enforceFencing });
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

test("the event feed reports stored blocks, gaps and a crash", async () => {
  const { engine, adapter, close } = await openEngine();
  await engine.setFaults({ loseEvents: 1 });
  const prompt = "x".repeat(100);
  const body = { model: "notes", prompt, max_tokens: 1 };
  await collectRun(adapter, { ...chat("r1"), api: "text", body });
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

test("a silent event feed fails as broken", async () => {
  const { adapter, close } = await openEngine(
    { heartbeatMs: 60_000 },
    SHORT_TIMEOUT_MS,
  );
  const { signal } = new AbortController();
  const seen: string[] = [];
  for await (const step of adapter.cacheEvents(1, signal)) {
    seen.push(step.isOk ? step.value.kind : step.error.kind);
  }
  assert.deepEqual(seen, ["broken"]);
  await close();
});
