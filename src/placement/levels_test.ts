import assert from "node:assert/strict";
import { test } from "node:test";
import { promptChain } from "./chain.ts";
import { prefixLevels, renderPrompt } from "./levels.ts";

const SCOPE = {
  team: "t",
  workspace: "w",
  model: "m",
  adapter: "",
  weightsVersion: "1",
};

function levelsOf(body: Record<string, unknown>, api: "chat" | "text") {
  const prompt = renderPrompt(api, body);
  return prefixLevels(prompt, promptChain(SCOPE, prompt.bytes));
}

test("each message ends a level", () => {
  const messages = [
    { role: "system", content: "s".repeat(1000) },
    { role: "user", content: "p".repeat(2000) },
    { role: "user", content: "q".repeat(500) },
  ];
  assert.deepEqual(levelsOf({ messages }, "chat"), [3, 11]);
});

test("each part of a message ends a level", () => {
  const content = ["f", "p", "w", "q"].map((letter) => ({
    type: "text",
    text: letter.repeat(1024),
  }));
  const levels = levelsOf({ messages: [{ role: "user", content }] }, "chat");
  assert.deepEqual(levels, [4, 8, 12]);
});

test("a plain text has levels at fixed positions", () => {
  assert.deepEqual(levelsOf({ prompt: "x".repeat(256 * 33) }, "text"), [
    4,
    8,
    16,
    32,
  ]);
  assert.deepEqual(levelsOf({ prompt: "short" }, "text"), []);
});

test("a continued chat starts with the bytes of the shorter one", () => {
  const first = [{ role: "user", content: "hello" }];
  const longer = [...first, { role: "assistant", content: "hi" }];
  const one = renderPrompt("chat", { messages: first }).bytes;
  const two = renderPrompt("chat", { messages: longer }).bytes;
  assert.deepEqual(two.subarray(0, one.length), one);
});
