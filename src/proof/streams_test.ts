import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerTo,
  callNonStreaming,
  callStreaming,
  chatBody,
} from "./_calls.ts";
import {
  type AgentSlot,
  type EntrySlot,
  PROGRESS_MS,
  ProofFleet,
  type ProofFleetOptions,
} from "./_fleet.ts";

const SLOW_FLEET = { engine: { decodeMsPerToken: 10 }, services: 0 };
const TOKENS = 80;
const EVENTS_BEFORE_FAULT = 10;

async function start(
  context: TestContext,
  options: Partial<ProofFleetOptions> = SLOW_FLEET,
): Promise<ProofFleet> {
  const fleet = await ProofFleet.create(options);
  context.after(() => fleet.close());
  return fleet;
}

function runCount({ engines }: ProofFleet): number {
  return engines.reduce((sum, { executions }) => sum + executions.length, 0);
}

for (const fault of ["freezeOpen", "cutOpen"] as const) {
  test(`a stream continues after ${fault}, and runs once`, async (context) => {
    const fleet = await start(context);
    const [slot] = fleet.entries;
    const body = chatBody("go on", TOKENS);
    const result = await callStreaming(slot!, body, {
      onEvent: (number) => {
        if (number !== EVENTS_BEFORE_FAULT) return;
        for (const link of slot!.links) link[fault]();
      },
    });
    assert.equal(result.kind, "answer", JSON.stringify(result));
    assert.equal(result.text, answerTo(body));
    assert.equal(runCount(fleet), 1);
  });
}

// A wrong, brief `gone` state in the instance list must not end runs that continue at that instance.
test("a stream continues although the list reports its server as gone", async (context) => {
  const fleet = await start(context);
  const [slot] = fleet.entries;
  const body = chatBody("still here", TOKENS);
  const result = await callStreaming(slot!, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE_FAULT) return;
      for (const each of fleet.agentSlots) fleet.setListedState(each, "gone");
      for (const link of slot!.links) link.silent();
      void untilGone(slot!).then(() => {
        for (const link of slot!.links) link.up();
      });
    },
  });
  assert.equal(result.kind, "answer", JSON.stringify(result));
  assert.equal(result.text, answerTo(body));
  assert.equal(runCount(fleet), 1);
});

// Servers that fail together with their zone do not refuse connections; calls must run elsewhere.
test("an answer that has not begun is run elsewhere once its server is unresponsive and listed as gone", async (context) => {
  const fleet = await start(context);
  const [slot] = fleet.entries;
  const body = chatBody("lost zone", TOKENS);
  const answer = callNonStreaming(slot!, body);
  await until(() => fleet.busyAgentSlot !== undefined);
  const lost = fleet.busyAgentSlot!;
  slot!.links[fleet.agentSlots.indexOf(lost)]!.silent();
  fleet.setListedState(lost, "gone");
  const result = await answer;
  assert.equal(result.text, answerTo(body), JSON.stringify(result));
  assert.equal(runCount(fleet), 2);
});

test("a stream of a crashed engine ends with an error after a correct prefix", async (context) => {
  const fleet = await start(context);
  const body = chatBody("crash", TOKENS);
  const result = await callStreaming(fleet.entries[0]!, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE_FAULT) return;
      for (const engine of fleet.engines) engine.crash();
    },
  });
  assert.equal(result.kind, "error");
  assert.equal(result.execution, "ran");
  assert.ok(answerTo(body).startsWith(result.text));
});

test("a draining server keeps its streams and gets no new calls, although the list lags", async (context) => {
  const fleet = await start(context);
  const [slot] = fleet.entries;
  const body = chatBody("keep", 200);
  let before = 0;
  let leaving: AgentSlot | undefined;
  let stopped: Promise<void> | undefined;
  let newCalls: Promise<void> | undefined;
  const result = await callStreaming(slot!, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE_FAULT) return;
      leaving = fleet.busyAgentSlot!;
      stopped = leaving.agent.stop();
      before = engineOf(leaving).executions.length;
      newCalls = callAll(fleet, 30);
    },
  });
  await newCalls;
  assert.equal(result.text, answerTo(body));
  assert.equal(engineOf(leaving!).executions.length, before);
  await stopped;
});

async function untilGone({ entry }: EntrySlot): Promise<void> {
  const isGone = ({ state }: { state: string }) => state === "gone";
  await until(() => entry.dumpState().instances.some(isGone));
  // Long enough for the progress timeout to fire more than once.
  await sleep(8 * PROGRESS_MS);
}

async function until(isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(2);
}

function engineOf({ server }: AgentSlot) {
  if (server.kind !== "engine") throw new Error("Not an engine");
  return server.standin;
}

async function callAll(fleet: ProofFleet, count: number): Promise<void> {
  const calls = Array.from({ length: count }, async (_, index) => {
    const body = chatBody(`new work ${index}`, 4);
    const result = await callNonStreaming(fleet.entries[index % 2]!, body);
    assert.equal(result.text, answerTo(body), JSON.stringify(result));
  });
  await Promise.all(calls);
}
