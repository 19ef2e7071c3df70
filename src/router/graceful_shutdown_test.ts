/** Requests that are still in flight when the grace time of a stop ends. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  blockEventLoop,
  configWith,
  sendClientRequest,
} from "../standin/mod.ts";
import { recordedLog } from "./_kit.ts";
import {
  askUntilAccepted,
  LONG_TIMEOUT_HEADERS,
  LONG_TIMEOUT_MS,
  requestsOf,
} from "./_long_timeout_kit.ts";
import { GONE_MS } from "./_paused_stream.ts";
import { openWorld, until, useConfig, type World } from "./_world.ts";

/** Longer than a stopping entry accepts connections. */
const GRACE_MS = 4000;
/** Part of it that is reserved for the exit of the process. */
const EXIT_MARGIN_MS = 700;
/** Length of each turn of a stalled event loop, and how long before the end of the grace time it begins. */
const STALL_MS = 300;
const STALL_BEFORE_MS = 50;

/** Takes an engine without other answers 6 s as far as its entry knows: longer than the grace time. */
const LONG_OUTPUT = { "token-usage": "1200,400" };

/** Starts an entry whose requests have more time than its stop, and its only engine. */
async function openSetup(t: Parameters<typeof openWorld>[0]) {
  const { log, lines } = recordedLog();
  const world = await openWorld(t, { log, graceMs: GRACE_MS });
  await useConfig(world, configWith(2, { timeoutMs: LONG_TIMEOUT_MS }));
  const engine = await world.engine("i-1");
  return { world, lines, engine };
}

function ask(world: World) {
  return askUntilAccepted(world, "/stream/a", {
    headers: LONG_TIMEOUT_HEADERS,
  });
}

// Guards against closing the connection of a request that nothing has answered.
test("request without an answer gets one when the grace time ends", async (t) => {
  const { world, lines, engine } = await openSetup(t);
  engine.faults.stall = { afterEvent: 0, pauseMs: GONE_MS };
  const answer = ask(world);
  await until(() => engine.runs.length === 1);
  await world.router.drain();
  const { status, isComplete } = await answer;
  assert.equal(status, 502);
  assert.ok(isComplete);
  const [line, ...others] = requestsOf(lines);
  assert.deepEqual(others, []);
  assert.equal(line?.["outcome"], "failed");
  assert.equal(line["reason"], "shutdown");
});

// Guards against closing the connection before those who serve the request had their turn.
test("request without an answer gets one when the process stalls at the end of the grace time", async (t) => {
  const { world, engine } = await openSetup(t);
  engine.faults.stall = { afterEvent: 0, pauseMs: GONE_MS };
  const answer = ask(world);
  await until(() => engine.runs.length === 1);
  const drained = world.router.drain();
  await sleep(GRACE_MS - EXIT_MARGIN_MS - STALL_BEFORE_MS);
  t.after(blockEventLoop(STALL_MS));
  await drained;
  const { status, isComplete } = await answer;
  assert.equal(status, 502);
  assert.ok(isComplete);
});

// Guards against a log line that says that the client has left.
test("log says that a stop has cut a stream", async (t) => {
  const { world, lines, engine } = await openSetup(t);
  engine.faults.stall = { afterEvent: 2, pauseMs: GONE_MS };
  const answer = ask(world);
  await until(() => engine.runs.length === 1);
  await world.router.drain();
  assert.equal((await answer).isComplete, false);
  const [line, ...others] = requestsOf(lines);
  assert.deepEqual(others, []);
  assert.equal(line?.["outcome"], "broken_off");
  assert.equal(line["reason"], "shutdown");
});

// Guards against holding a request that no server will run to the end of the grace time.
test("request that no server takes is refused at once during a stop", async (t) => {
  const { world, lines, engine } = await openSetup(t);
  engine.faults.refuse = Infinity;
  const stopped = world.router.drain();
  const { status } = await sendClientRequest(
    world,
    "/stream/a",
    LONG_TIMEOUT_HEADERS,
  );
  assert.equal(status, 503);
  assert.ok(!lines.some(({ event }) => event === "stopped"));
  await stopped;
});

// Guards against beginning streams that the end of the grace time will cut.
test("request whose answer would outlast the grace time is refused at once during a stop", async (t) => {
  const { world, engine } = await openSetup(t);
  engine.faults.stall = { afterEvent: 1, pauseMs: GONE_MS };
  const stopped = world.router.drain();
  const headers = { ...LONG_TIMEOUT_HEADERS, ...LONG_OUTPUT };
  for (const path of ["/stream/a", "/once/a"]) {
    const answer = await sendClientRequest(world, path, headers);
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.connection, "close");
    assert.ok(Number(answer.headers["retry-after"]) < 1);
  }
  assert.equal(engine.runs.length, 0);
  engine.faults.stall = undefined;
  const short = await ask(world);
  assert.ok(short.isComplete && short.status === 200);
  await stopped;
});
