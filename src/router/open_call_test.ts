/** Plain calls at a slow or hung server: its run is closed only if another server answers. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  NO_FAULTS,
  PLAIN_ANSWER_BODY,
  type StandinBackendServerFaults,
} from "../standin/mod.ts";
import { recordedLog } from "./_kit.ts";
import { askUntilAccepted, requestsOf, runsOf } from "./_long_timeout_kit.ts";
import { openWorld, until } from "./_world.ts";

/** Longer than a call waits at one server while another server could be tried. */
const LATE_MS = 2600;
/** Longer than the deadline: the server never answers. */
const GONE_MS = 60_000;
/** Number of refusals above the maximum of sends of a request. */
const EVERY_TIME = 99;
const ASKED = { "deadline-ms": "4500" };

type Faults = Partial<StandinBackendServerFaults>;

/**
 * Sends a call that reaches the first server before the others join, and asserts that the client gets
 * the answer.
 *
 * @returns Number of runs of the call.
 */
async function answerCall(
  t: TestContext,
  [first, ...others]: [Faults, ...Faults[]],
  path = "/look/a",
): Promise<number> {
  const { log, lines } = recordedLog();
  const world = await openWorld(t, { log });
  const faultsOf = (faults: Faults) => ({ ...NO_FAULTS, ...faults });
  const server = await world.worker("i-1", { faults: faultsOf(first) });
  const answer = askUntilAccepted(world, path, { headers: ASKED });
  await until(() => server.runs.length > 0);
  for (const [i, faults] of others.entries()) {
    await world.worker(`i-${i + 2}`, { faults: faultsOf(faults) });
  }
  const { status, body } = await answer;
  const seen = JSON.stringify({ status, entry: requestsOf(lines) });
  assert.equal(status, 200, seen);
  assert.equal(body, PLAIN_ANSWER_BODY, seen);
  await world.router.stop();
  return runsOf(world);
}

for (const refuse of [1, 3, EVERY_TIME]) {
  // Guards against abandoning the server that runs the call for one that refuses, and failing.
  test(`call at a slow server, other server refuses ${refuse} times`, async (t) => {
    assert.ok(await answerCall(t, [{ lateMs: LATE_MS }, { refuse }]) <= 2);
  });
}

// The same with another server that accepts the call and hangs.
test("call at a slow server, other server hangs", async (t) => {
  assert.ok(await answerCall(t, [{ lateMs: LATE_MS }, { hang: 1 }]) <= 2);
});

// Guards against waiting until the deadline for the body after the head, although another server could
// answer.
test("server stops after the head of a call's answer, another one answers", async (t) => {
  assert.equal(await answerCall(t, [{ bodyLateMs: GONE_MS }, {}]), 2);
});

// Guards against abandoning a server with a late body if no other server answers.
test("body of a call's answer is late at the only server", async (t) => {
  assert.equal(await answerCall(t, [{ bodyLateMs: LATE_MS }]), 1);
});

// The same with another server that refuses.
test("body of a call's answer is late, other server refuses", async (t) => {
  const faults: [Faults, Faults] = [{ bodyLateMs: LATE_MS }, {
    refuse: EVERY_TIME,
  }];
  assert.equal(await answerCall(t, faults), 1);
});

// Guards against sending a call elsewhere that may run only once, if its server is slow or hung.
test("call that may run once is not run elsewhere", async (t) => {
  for (const fault of [{ lateMs: LATE_MS }, { bodyLateMs: LATE_MS }]) {
    assert.equal(await answerCall(t, [fault, {}], "/book/a"), 1);
  }
});
