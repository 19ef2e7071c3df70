import assert from "node:assert/strict";
import { test } from "node:test";
import { testServer } from "./_kit.ts";

// Short answers wait for other prompts between their few tokens. With a mean of time per token over
// all answers, long answers seemed several times slower than they were, and were refused.
test("short answers do not make long ones look slow", () => {
  const server = testServer("a");
  for (let i = 0; i < 200; i++) {
    const isLong = i % 5 === 0;
    if (isLong) server.recordOutput(600, 80);
    else server.recordOutput(200, 5);
  }
  assert.ok(server.outputMs(80) < 2 * 600 + 200, `${server.outputMs(80)}`);
});

test("single outlier has little effect on expected answer times", () => {
  const server = testServer("a");
  for (let i = 0; i < 100; i++) server.recordOutput(600, 80);
  server.recordOutput(60_000, 80);
  assert.ok(server.outputMs(80) < 5 * 600, `${server.outputMs(80)}`);
});
