/** Calls at a server that is slow or stops: it is left only for one that answers. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  NO_FAULTS,
  PLAIN_BODY,
  type StandinPlatformWorkerFaults,
} from "../standin/mod.ts";
import { recordedLog } from "./_kit.ts";
import { askTaken, requestsOf, runsOf } from "./_patient_world.ts";
import { openWorld, until } from "./_world.ts";

/** Longer than a call waits at one server while another may be tried. */
const LATE_MS = 2600;
const GONE_MS = 60_000;
const OFTEN = 99;
const ASKED = { "deadline-ms": "4500" };

type Faults = Partial<StandinPlatformWorkerFaults>;

/**
 * A call that runs at the first server before any other one is there. Its caller must get the
 * answer; returned is how often it ran.
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
  const answer = askTaken(world, path, { headers: ASKED });
  await until(() => server.runs.length > 0);
  for (const [i, faults] of others.entries()) {
    await world.worker(`i-${i + 2}`, { faults: faultsOf(faults) });
  }
  const { status, body } = await answer;
  const seen = JSON.stringify({ status, entry: requestsOf(lines) });
  assert.equal(status, 200, seen);
  assert.equal(body, PLAIN_BODY, seen);
  await world.router.stop();
  return runsOf(world);
}

for (const refuse of [1, 3, OFTEN]) {
  // The call left the server that worked on it for one that refused, and got a failure.
  test(`call at a slow server, other server refuses ${refuse} times`, async (t) => {
    assert.ok(await answerCall(t, [{ lateMs: LATE_MS }, { refuse }]) <= 2);
  });
}

// The same where the other server takes the call and says nothing.
test("call at a slow server, other server hangs", async (t) => {
  assert.ok(await answerCall(t, [{ lateMs: LATE_MS }, { hang: 1 }]) <= 2);
});

// Behind the head there was no wait but the deadline, whoever else could have answered.
test("server stops behind the head of a call's answer, another one answers", async (t) => {
  assert.equal(await answerCall(t, [{ bodyLateMs: GONE_MS }, {}]), 2);
});

// A server whose body is late must not be left where nobody else answers.
test("body of a call's answer is late at the only server", async (t) => {
  assert.equal(await answerCall(t, [{ bodyLateMs: LATE_MS }]), 1);
});

// The same where another server is there, but refuses.
test("body of a call's answer is late, other server refuses", async (t) => {
  const faults: [Faults, Faults] = [{ bodyLateMs: LATE_MS }, { refuse: OFTEN }];
  assert.equal(await answerCall(t, faults), 1);
});

// A call that may run once stays where it is, slow or stopped.
test("call that may run once is not run elsewhere", async (t) => {
  for (const fault of [{ lateMs: LATE_MS }, { bodyLateMs: LATE_MS }]) {
    assert.equal(await answerCall(t, [fault, {}], "/book/a"), 1);
  }
});
