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

/** Time that a server takes to answer, if it is slower than another one. */
const SLOW_MS = 100;

function assertWithinRate(
  { arrivals }: StandinBackendServer,
  perSecond: number,
): void {
  const allowed = ALLOWED_FACTOR * perSecond * WINDOW_MS / 1000 + ALLOWED_EXTRA;
  const most = mostInWindow(arrivals.map(({ atMs }) => atMs));
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

/** Starts a server that is slower than the limited one, so that all requests are for that one. */
async function openSlowServer(world: World): Promise<StandinBackendServer> {
  const server = await world.worker("i-2");
  server.faults.lateMs = SLOW_MS;
  return server;
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
  await openSlowServer(world);
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
  const failing = await openSlowServer(world);
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

test("requests that only limited servers could take are refused with a time to return", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const limited = await world.worker("i-1");
  await untilKnownAtAll(world, '"i-1"');
  limited.faults.rate = "2";
  assert.equal((await sendClientRequest(world, "/look/a")).status, 200);
  await untilKnownAtAll(world, '"ratePerSecond":2');
  limited.arrivals.length = 0;
  for (let round = 0; round < 4; round++) {
    for (const entry of world.entries) {
      const headers = { "deadline-ms": "5000" };
      let answer = await sendClientRequest(entry, "/look/a", headers);
      while (answer.status !== 200) {
        assert.equal(answer.status, 503);
        const waitS = Number(answer.headers["retry-after"]);
        assert.ok(waitS > 0, `${waitS} s`);
        await sleep(waitS * 1000);
        answer = await sendClientRequest(world, "/look/a");
      }
    }
  }
  assertWithinRate(limited, 2);
});

test("rate that a server names anew, and its end, are known at all entries", async (t) => {
  const world = await openWorld(t, { entryCount: 3 });
  const limited = await world.worker("i-1");
  await untilKnownAtAll(world, '"i-1"');
  for (const rate of ["4", "1.5", "8"]) {
    limited.faults.rate = rate;
    await sendUntilKnown(world, `"ratePerSecond":${rate}`);
  }
  limited.faults.rate = undefined;
  await until(async () => {
    await sendClientRequest(world, "/look/a");
    return !world.entries.some((entry) =>
      stateContains(entry, '"ratePerSecond"')
    );
  });
});

test("rate holds while the store is down, and its permits are used", async (t) => {
  const world = await openWorld(t, { entryCount: 3 });
  const limited = await openLimitedServers(world);
  await world.store.down();
  limited.arrivals.length = 0;
  const statuses = await sendSteadily(world, "/look/a", WINDOW_MS);
  assert.deepEqual(statuses.filter((status) => status !== 200), []);
  assertWithinRate(limited, 2);
  assert.ok(limited.arrivals.length > 0);
});

test("rate holds while entries stop and start again in turn", async (t) => {
  const world = await openWorld(t, { entryCount: 3 });
  const limited = await openLimitedServers(world);
  limited.arrivals.length = 0;
  let entries = [...world.entries];
  for (const entry of world.entries.slice(0, 3)) {
    await entry.router.stop();
    entries = entries.filter((one) => one !== entry);
    await sendSteadily({ entries }, "/look/a", 500);
    const again = await world.restart(entry);
    await until(() => stateContains(again, '"ratePerSecond":2'));
    entries.push(again);
    await sendSteadily({ entries }, "/look/a", 1000);
  }
  assertWithinRate(limited, 2);
});

test("rate is known after all entries have started again at once", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const limited = await world.worker("i-1");
  await untilKnownAtAll(world, '"i-1"');
  limited.faults.rate = "2";
  await sendUntilKnown(world, '"ratePerSecond":2');
  const key = "cicadahitch/rates/i-1";
  const isRecorded = () => world.store.store.table.get(key) !== undefined;
  await until(isRecorded);
  for (const { router } of world.entries.slice(0, 2)) await router.stop();
  limited.arrivals.length = 0;
  for (const entry of world.entries.slice(0, 2)) {
    const again = await world.restart(entry);
    await until(() => stateContains(again, '"ratePerSecond":2'));
  }
  assert.equal(limited.arrivals.length, 0);
});

test("server without a rate gets no datagrams about permits", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  await world.worker("i-1");
  await untilKnownAtAll(world, '"i-1"');
  await sendSteadily(world, "/look/a", 300);
  for (const entry of world.entries) {
    assert.ok(stateContains(entry, '"permits":{}'));
  }
});

/** Starts a server that takes 2 requests a second, known at all entries, and a slow one. */
async function openLimitedServers(
  world: World,
): Promise<StandinBackendServer> {
  const limited = await world.worker("i-1");
  limited.faults.rate = "2";
  await openSlowServer(world);
  await untilKnownAtAll(world, '"i-2"');
  await sendUntilKnown(world, '"ratePerSecond":2');
  limited.arrivals.length = 0;
  return limited;
}

/** Sends requests until all entries know of a server's rate. */
async function sendUntilKnown(world: World, text: string): Promise<void> {
  await until(async () => {
    await sendClientRequest(world, "/look/a");
    return world.entries.every((entry) => stateContains(entry, text));
  });
}
