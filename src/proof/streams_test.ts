import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { answerTo, callStream, callWhole, chatBody } from "./_calls.ts";
import {
  type EntrySlot,
  PROGRESS_MS,
  ProofFleet,
  type ProofFleetOptions,
  type Seat,
} from "./_fleet.ts";

const SLOW = { engine: { decodeMsPerToken: 10 }, services: 0 };
const TOKENS = 80;
const EVENTS_BEFORE = 10;

async function start(
  context: TestContext,
  options: Partial<ProofFleetOptions> = SLOW,
): Promise<ProofFleet> {
  const fleet = await ProofFleet.create(options);
  context.after(() => fleet.close());
  return fleet;
}

function runCount({ engines }: ProofFleet): number {
  return engines.reduce((sum, { executions }) => sum + executions.length, 0);
}

for (const fault of ["freezeOpen", "cutOpen"] as const) {
  test(`a stream goes on after ${fault}, and runs once`, async (context) => {
    const fleet = await start(context);
    const [slot] = fleet.entries;
    const body = chatBody("go on", TOKENS);
    const seen = await callStream(slot!, body, {
      onEvent: (number) => {
        if (number !== EVENTS_BEFORE) return;
        for (const link of slot!.links) link[fault]();
      },
    });
    assert.equal(seen.kind, "answer", JSON.stringify(seen));
    assert.equal(seen.text, answerTo(body));
    assert.equal(runCount(fleet), 1);
  });
}

// The list's word that an instance is gone, for a moment and wrong, ended runs that went on there.
test("a stream goes on though the list calls its server gone", async (context) => {
  const fleet = await start(context);
  const [slot] = fleet.entries;
  const body = chatBody("still here", TOKENS);
  const seen = await callStream(slot!, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE) return;
      for (const seat of fleet.seats) fleet.showState(seat, "gone");
      for (const link of slot!.links) link.silent();
      void untilGone(slot!).then(() => {
        for (const link of slot!.links) link.up();
      });
    },
  });
  assert.equal(seen.kind, "answer", JSON.stringify(seen));
  assert.equal(seen.text, answerTo(body));
  assert.equal(runCount(fleet), 1);
});

// Servers that vanish with their zone refuse no connection, and their callers still need an answer.
test("an unbegun answer is run elsewhere once its server is silent and called gone", async (context) => {
  const fleet = await start(context);
  const [slot] = fleet.entries;
  const body = chatBody("lost zone", TOKENS);
  const answer = callWhole(slot!, body);
  await until(() => fleet.busySeat !== undefined);
  const lost = fleet.busySeat!;
  slot!.links[fleet.seats.indexOf(lost)]!.silent();
  fleet.showState(lost, "gone");
  const seen = await answer;
  assert.equal(seen.text, answerTo(body), JSON.stringify(seen));
  assert.equal(runCount(fleet), 2);
});

test("a dead engine's stream ends with an error, and its prefix is right", async (context) => {
  const fleet = await start(context);
  const body = chatBody("crash", TOKENS);
  const seen = await callStream(fleet.entries[0]!, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE) return;
      for (const engine of fleet.engines) engine.crash();
    },
  });
  assert.equal(seen.kind, "error");
  assert.equal(seen.execution, "ran");
  assert.ok(answerTo(body).startsWith(seen.text));
});

test("a server that leaves keeps its streams and gets no new work, though the list lags", async (context) => {
  const fleet = await start(context);
  const [slot] = fleet.entries;
  const body = chatBody("keep", 200);
  let before = 0;
  let leaving: Seat | undefined;
  let stopped: Promise<void> | undefined;
  let later: Promise<void> | undefined;
  const seen = await callStream(slot!, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE) return;
      leaving = fleet.busySeat!;
      stopped = leaving.agent.stop();
      before = engineOf(leaving).executions.length;
      later = askAll(fleet, 30);
    },
  });
  await later;
  assert.equal(seen.text, answerTo(body));
  assert.equal(engineOf(leaving!).executions.length, before);
  await stopped;
});

async function untilGone({ entry }: EntrySlot): Promise<void> {
  const isGone = ({ state }: { state: string }) => state === "gone";
  await until(() => entry.dumpState().instances.some(isGone));
  // Long enough for the stream's silence to be noticed, more than once.
  await sleep(8 * PROGRESS_MS);
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(2);
}

function engineOf({ server }: Seat) {
  if (server.kind !== "engine") throw new Error("Not an engine");
  return server.standin;
}

async function askAll(fleet: ProofFleet, count: number): Promise<void> {
  const calls = Array.from({ length: count }, async (_, index) => {
    const body = chatBody(`new work ${index}`, 4);
    const seen = await callWhole(fleet.entries[index % 2]!, body);
    assert.equal(seen.text, answerTo(body), JSON.stringify(seen));
  });
  await Promise.all(calls);
}
