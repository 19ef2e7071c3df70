import assert from "node:assert/strict";
import { test } from "node:test";
import { testServer } from "./_kit.ts";
import { OutputTimes } from "./output_times.ts";

// Short answers wait for other prompts between their few tokens. With a mean of time per token over
// all answers, long answers seemed several times slower than they were, and were refused.
test("short answers do not make long ones look slow", () => {
  const server = testServer("a");
  for (let i = 0; i < 200; i++) {
    const isLong = i % 5 === 0;
    if (isLong) server.outputTimes.record(600, 80);
    else server.outputTimes.record(200, 5);
  }
  assert.ok(
    server.outputTimes.expectedMs(80) < 2 * 600 + 200,
    `${server.outputTimes.expectedMs(80)}`,
  );
});

test("single outlier has little effect on expected answer times", () => {
  const server = testServer("a");
  for (let i = 0; i < 100; i++) server.outputTimes.record(600, 80);
  server.outputTimes.record(60_000, 80);
  assert.ok(
    server.outputTimes.expectedMs(80) < 5 * 600,
    `${server.outputTimes.expectedMs(80)}`,
  );
});

// A server that has just started had the initial estimate, with which no long answer could begin on
// weights that were replaced a moment ago, so all of them were refused with "no_server".
test("new server knows the answer times of a service that shares them", () => {
  const outputTimes = OutputTimes.create();
  for (let i = 0; i < 100; i++) outputTimes.record(200, 100);
  const server = testServer("a");
  const limits = { cacheTokens: 0, connectionLimit: 1, copyMsPerToken: 0 };
  const initialMs = server.outputTimes.expectedMs(100);
  server.limit({ ...limits, outputTimes });
  assert.ok(server.outputTimes.expectedMs(100) < 300);
  server.limit(limits);
  assert.equal(server.outputTimes.expectedMs(100), initialMs);
});
