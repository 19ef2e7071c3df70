import assert from "node:assert/strict";
import { test } from "node:test";
import { blockEnds, CHAIN_BLOCK_BYTES } from "../placement/chain.ts";
import { renderPrompt } from "../placement/levels.ts";
import { type EngineCall, HttpEngine } from "../backends/mod.ts";
import { StandinEngine, type StandinEngineOptions } from "./mod.ts";

const BLOCK_BYTES = 40;
const BYTES_PER_TOKEN = 4;

async function open(options: Partial<StandinEngineOptions> = {}) {
  const engine = await StandinEngine.create({
    blockBytes: BLOCK_BYTES,
    prefillMsPerToken: 0,
    decodeMsPerToken: 0,
    ...options,
  });
  const adapter = HttpEngine.create({ url: engine.url });
  const close = async () => {
    adapter.close();
    await engine.close();
  };
  return { engine, adapter, close };
}

interface RunOptions {
  prompt: string;
  salt?: string;
  requestId?: string;
  priority?: number;
  maxTokens?: number;
  version?: string;
}

/** Runs a request; returns the number of cached tokens, or -1 if the run did not complete. */
async function run(adapter: HttpEngine, options: RunOptions): Promise<number> {
  const { prompt, salt = "s", requestId = "r", priority = 0 } = options;
  const body = {
    model: "notes",
    prompt,
    max_tokens: options.maxTokens ?? 1,
  };
  const weightsVersion = options.version;
  const call: EngineCall = {
    requestId,
    api: "text",
    body,
    priority,
    cacheSalt: salt,
    weightsVersion,
  };
  let cached = -1;
  for await (const step of adapter.run(call, new AbortController().signal)) {
    if (step.isOk && step.value.kind === "end") {
      cached = step.value.cachedTokens;
    }
  }
  return cached;
}

/** @returns A prompt of `blocks` full blocks and a partial one. */
function prompt(letter: string, blocks: number): string {
  return letter.repeat(blocks * BLOCK_BYTES) + "rest";
}

function tokens(blocks: number): number {
  return blocks * BLOCK_BYTES / BYTES_PER_TOKEN;
}

test("a shared prefix is cached, but only for the same salt", async () => {
  const { adapter, close } = await open();
  assert.equal(await run(adapter, { prompt: prompt("a", 3) }), 0);
  const longer = prompt("a", 3).slice(0, -4) + prompt("b", 2);
  assert.equal(await run(adapter, { prompt: longer }), tokens(3));
  assert.equal(await run(adapter, { prompt: longer }), tokens(5));
  assert.equal(await run(adapter, { prompt: longer, salt: "other" }), 0);
  await close();
});

test("models with different weights versions share no cache blocks", async () => {
  const { adapter, close } = await open();
  await run(adapter, { prompt: prompt("a", 3) });
  const model = { model: "notes", adapter: "", weightsVersion: "2" };
  await adapter.order({ fencingNumber: 1n, order: { kind: "load", model } });
  assert.equal(await run(adapter, { prompt: prompt("a", 3) }), 0);
  const old = { prompt: prompt("a", 3), version: "1" };
  assert.equal(await run(adapter, old), tokens(3));
  await close();
});

test("least recently used blocks are evicted, children before parents", async () => {
  const { engine, adapter, close } = await open({ cacheBlocks: 5 });
  await run(adapter, { prompt: prompt("a", 3) });
  await run(adapter, { prompt: prompt("b", 4) });
  assert.equal(engine.cachedBlocks, 5);
  assert.equal(await run(adapter, { prompt: prompt("a", 1) }), tokens(1));
  assert.equal(await run(adapter, { prompt: prompt("b", 4) }), tokens(4));
  await close();
});

test("the engine splits prompts into the same blocks as the router", async () => {
  const { adapter, close } = await open({ blockBytes: CHAIN_BLOCK_BYTES });
  const messages = [
    { role: "system", content: "é".repeat(300) },
    { role: "user", content: [{ type: "text", text: "x".repeat(300) }] },
  ];
  const body = { model: "notes", messages, max_tokens: 1 };
  const call = {
    requestId: "r",
    api: "chat",
    body,
    priority: 0,
    cacheSalt: "s",
  } as const;
  const { signal } = new AbortController();
  for await (const step of adapter.run(call, signal)) assert.ok(step.isOk);
  const snapshot = await adapter.cacheSnapshot();
  assert.ok(snapshot.isOk);
  const { bytes } = renderPrompt("chat", body);
  const ends = [...blockEnds(bytes)];
  const expected = ends.map((end, index) =>
    Buffer.from(bytes.subarray(ends[index - 1] ?? 0, end)).toString()
  );
  const contents = snapshot.value.blocks.map((block) =>
    block.kind === "stored" ? block.content : ""
  );
  assert.ok(expected.length > 2);
  assert.deepEqual(contents, expected);
  await close();
});

test("a request for weights that are not loaded is rejected", async () => {
  const { engine, adapter, close } = await open();
  assert.equal(await run(adapter, { prompt: "a", version: "2" }), -1);
  assert.equal(engine.executions.length, 0);
  await close();
});

test("a block never splits a UTF-8 character", async () => {
  const { adapter, close } = await open();
  const text = "a" + "é".repeat(BLOCK_BYTES);
  await run(adapter, { prompt: text });
  const snapshot = await adapter.cacheSnapshot();
  assert.ok(snapshot.isOk);
  const contents = snapshot.value.blocks.map((block) =>
    block.kind === "stored" ? block.content : ""
  );
  assert.ok(contents.length > 0);
  assert.ok(text.startsWith(contents.join("")));
  await close();
});

test("an urgent request overtakes waiting requests", async () => {
  const { engine, adapter, close } = await open({
    maxRunning: 1,
    decodeMsPerToken: 5,
  });
  const first = run(adapter, {
    prompt: "a",
    requestId: "first",
    maxTokens: 40,
  });
  while (engine.executions.length === 0) await adapter.info();
  const batch = run(adapter, { prompt: "b", requestId: "batch", priority: 9 });
  const urgent = run(adapter, {
    prompt: "c",
    requestId: "urgent",
    priority: 1,
  });
  await Promise.all([first, batch, urgent]);
  const order = engine.executions.map(({ requestId }) => requestId);
  assert.deepEqual(order, ["first", "urgent", "batch"]);
  await close();
});

test("a crash empties the cache and changes the incarnation", async () => {
  const { engine, adapter, close } = await open();
  await run(adapter, { prompt: prompt("a", 3) });
  const { incarnation } = engine;
  engine.crash();
  assert.notEqual(engine.incarnation, incarnation);
  assert.equal(await run(adapter, { prompt: prompt("a", 3) }), 0);
  await close();
});

test("another engine can import exported blocks, but only for the same salt", async () => {
  const source = await open();
  const target = await open();
  await run(source.adapter, { prompt: prompt("a", 3) });
  const snapshot = await source.adapter.cacheSnapshot();
  assert.ok(snapshot.isOk);
  const keys = snapshot.value.blocks.flatMap((block) =>
    block.kind === "stored" ? [block.blockKey] : []
  );
  const data = await source.adapter.exportCache("s", keys);
  assert.ok(data.isOk);
  const imported = await target.adapter.importCache(data.value);
  assert.ok(imported.isOk);
  assert.equal(imported.value, 3);
  assert.equal(
    await run(target.adapter, { prompt: prompt("a", 3) }),
    tokens(3),
  );
  const foreign = await source.adapter.exportCache("other", keys);
  assert.ok(foreign.isOk);
  const none = await target.adapter.importCache(foreign.value);
  assert.ok(none.isOk);
  assert.equal(none.value, 0);
  await source.close();
  await target.close();
});

test("the load report lags behind the actual load", async () => {
  const { engine, adapter, close } = await open({
    loadLagMs: 60_000,
    decodeMsPerToken: 5,
  });
  const running = run(adapter, { prompt: "a", maxTokens: 40 });
  while (engine.executions.length === 0) await adapter.info();
  const load = await adapter.load();
  assert.ok(load.isOk);
  assert.equal(load.value.running, 0);
  assert.equal(load.value.ageMs, 60_000);
  await running;
  await close();
});

test("many concurrent runs all complete", async () => {
  const { engine, adapter, close } = await open({
    maxRunning: 64,
    prefillMsPerToken: 0.01,
    decodeMsPerToken: 0.1,
  });
  const runs = Array.from(
    { length: 300 },
    (_, index) =>
      run(adapter, { prompt: prompt(String(index % 9), 4), maxTokens: 50 }),
  );
  const cached = await Promise.all(runs);
  assert.ok(cached.every((count) => count >= 0));
  assert.equal(engine.executions.length, 300);
  await close();
});
