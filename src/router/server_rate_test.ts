/** Requests to servers that name the rate of requests that they take from all entries together. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  NO_FAULTS,
  sendClientRequest,
  type StandinBackendServer,
} from "../standin/mod.ts";
import {
  askOtherRequest,
  askUntilAccepted,
  assertComplete,
  createClosedGate,
  openLongTimeoutSetup,
} from "./_long_timeout_kit.ts";
import { openWorld, stateContains, until, type World } from "./_world.ts";

/** Window in which the platform counts the requests of a server. */
const WINDOW_MS = 4000;
/** Requests that the platform allows in a window, as a multiple of the rate plus a fixed number. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
/** Time between two requests to one entry; far above the rate of the tests. */
const REQUEST_INTERVAL_MS = 100;

function assertWithinRate(
  { arrivedAtMs }: StandinBackendServer,
  perSecond: number,
): void {
  const allowed = ALLOWED_FACTOR * perSecond * WINDOW_MS / 1000 + ALLOWED_EXTRA;
  const most = mostInWindow(arrivedAtMs);
  assert.ok(most <= allowed, `${most} requests in 4 s, allowed ${allowed}`);
}

function mostInWindow(arrivedAtMs: readonly number[]): number {
  let most = 0;
  for (let from = 0, to = 0; to < arrivedAtMs.length; to++) {
    while (arrivedAtMs[to]! - arrivedAtMs[from]! >= WINDOW_MS) from++;
    most = Math.max(most, to - from + 1);
  }
  return most;
}

/** Sends requests to all entries at a steady rate, and returns the statuses of the answers. */
async function sendSteadily(
  { entries }: Pick<World, "entries">,
  path: string,
  forMs: number,
): Promise<number[]> {
  const answers: Promise<{ status: number }>[] = [];
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs) {
    for (const entry of entries) answers.push(sendClientRequest(entry, path));
    await sleep(REQUEST_INTERVAL_MS);
  }
  return (await Promise.all(answers)).map(({ status }) => status);
}

async function untilKnownAtAll(world: World, text: string): Promise<void> {
  for (const entry of world.entries) {
    await until(() => stateContains(entry, text));
  }
}

test("server that names a rate gets no more from all entries together", async (t) => {
  const world = await openWorld(t, { entryCount: 4 });
  const limited = await world.worker("i-1");
  limited.faults.rate = "2";
  assert.equal((await sendClientRequest(world, "/look/a")).status, 200);
  await world.worker("i-2");
  await untilKnownAtAll(world, '"i-2"');
  const statuses = await sendSteadily(world, "/look/a", WINDOW_MS + 500);
  assert.deepEqual(statuses.filter((status) => status !== 200), []);
  assertWithinRate(limited, 2);
});

test("resends count towards the rate that a server names", async (t) => {
  const world = await openWorld(t);
  const limited = await world.worker("i-1");
  limited.faults.rate = "1";
  assert.equal((await sendClientRequest(world, "/look/a")).status, 200);
  const failing = await world.worker("i-2");
  failing.faults.fail = Infinity;
  await sendSteadily(world, "/look/a", WINDOW_MS);
  assertWithinRate(limited, 1);
});

test("resumed streams count towards the rate that a server names", async (t) => {
  const world = await openLongTimeoutSetup(t);
  const gate = createClosedGate();
  const stall = { afterEvent: 2, pauseMs: 0, opened: gate.opened };
  const faults = { ...NO_FAULTS, stall };
  const ending = await world.worker("i-1", { model: "m", faults });
  const streams = Array.from(
    { length: 48 },
    (_, i) => askOtherRequest(world, i),
  );
  await until(() => ending.streams === streams.length);
  const limited = await world.engine("i-2");
  limited.faults.rate = "4";
  await askUntilAccepted(world, "/stream/a");
  assert.equal(limited.runs.length, 1);
  await ending.down();
  gate.open();
  await sleep(WINDOW_MS);
  await ending.up();
  for (const answer of await Promise.all(streams)) assertComplete(answer);
  assertWithinRate(limited, 4);
});
