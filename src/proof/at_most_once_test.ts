import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { callBooking, type CallResult } from "./_calls.ts";
import { type AgentSlot, type EntrySlot, ProofFleet } from "./_fleet.ts";

const SLOW_MS = 300;
const RETRY_MS = 50;
const MAX_TRIES = 1000;
const BOOKING = { word: "b", variant: 0 };

async function start(context: TestContext): Promise<ProofFleet> {
  const fleet = await ProofFleet.create({ engines: 0 });
  context.after(() => fleet.close());
  return fleet;
}

async function slowDown({ services }: ProofFleet): Promise<void> {
  for (const service of services) await service.setFaults({ slowMs: SLOW_MS });
}

function runCount({ services }: ProofFleet): number {
  return services.reduce((sum, { executions }) => sum + executions.length, 0);
}

/** Waits until an agent has a call in progress, and returns its slot. */
async function busyAgentSlot(fleet: ProofFleet): Promise<AgentSlot> {
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const slot = fleet.busyAgentSlot;
    if (slot) return slot;
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  throw new Error("No agent has a call in progress");
}

/** Repeats a booking until an outcome other than `not_run` is returned. */
async function bookUntilRun(slot: EntrySlot): Promise<CallResult> {
  let result = await callBooking(slot, BOOKING, "k");
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    if (result.execution !== "not_run") return result;
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    result = await callBooking(slot, BOOKING, "k");
  }
  return result;
}

function assertFirstAnswer(result: CallResult): void {
  assert.equal(result.status, 201, JSON.stringify(result));
  const answer = { execution: 1, body: JSON.stringify(BOOKING) };
  assert.deepEqual(JSON.parse(result.text), answer);
}

test("concurrent calls with one idempotency key through two entries run once", async (context) => {
  const fleet = await start(context);
  await slowDown(fleet);
  const calls = Array.from({ length: 8 }, (_, index) => {
    const slot = fleet.entries[index % 2]!;
    return callBooking(slot, BOOKING, "k");
  });
  for (const result of await Promise.all(calls)) assertFirstAnswer(result);
  assert.equal(runCount(fleet), 1);
});

test("a repeat after an entry crash gets the first answer", async (context) => {
  const fleet = await start(context);
  await slowDown(fleet);
  const [first, second] = fleet.entries;
  const interrupted = callBooking(first!, BOOKING, "k");
  await busyAgentSlot(fleet);
  await fleet.crashEntry(first!);
  assert.equal((await interrupted).kind, "cut");
  assertFirstAnswer(await callBooking(second!, BOOKING, "k"));
  assert.equal(runCount(fleet), 1);
});

test("a repeat after an agent crash does not run again", async (context) => {
  const fleet = await start(context);
  await slowDown(fleet);
  const [first, second] = fleet.entries;
  const broken = callBooking(first!, BOOKING, "k");
  await fleet.crashAgent(await busyAgentSlot(fleet));
  const mayHaveRun = (result: CallResult) => result.execution !== "not_run";
  assert.ok(mayHaveRun(await broken) || runCount(fleet) === 0);
  await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
  const runs = runCount(fleet);
  const again = await callBooking(second!, BOOKING, "k");
  if (runs === 1) assert.equal(again.execution, "unknown");
  assert.ok(runCount(fleet) <= 1);
});

test("a call whose answer from the service was lost is unknown, also when repeated", async (context) => {
  const fleet = await start(context);
  for (const service of fleet.services) {
    await service.setFaults({ dropAnswers: 1 });
  }
  for (const slot of fleet.entries) {
    const result = await callBooking(slot, BOOKING, "k");
    assert.equal(result.execution, "unknown", JSON.stringify(result));
  }
  assert.equal(runCount(fleet), 1);
});

test("a booking does not run in a store outage, and runs once after it", async (context) => {
  const fleet = await start(context);
  const [first, second] = fleet.entries;
  await fleet.kv.setFaults({ down: true });
  for (const slot of fleet.entries) {
    const refused = await callBooking(slot, BOOKING, "k");
    assert.equal(refused.execution, "not_run", JSON.stringify(refused));
  }
  assert.equal(runCount(fleet), 0);
  await fleet.kv.setFaults({ down: false });
  assertFirstAnswer(await bookUntilRun(first!));
  assertFirstAnswer(await callBooking(second!, BOOKING, "k"));
  assert.equal(runCount(fleet), 1);
});

test("a new owner of an idempotency key knows its claim", async (context) => {
  const fleet = await start(context);
  const [slot] = fleet.entries;
  assertFirstAnswer(await callBooking(slot!, BOOKING, "k"));
  const owner = fleet.agentSlots.find(({ server }) =>
    server.kind === "service" && server.standin.executions.length > 0
  );
  await fleet.removeAgent(owner!);
  const result = await bookUntilRun(slot!);
  assert.match(result.execution, /^(ran|unknown)$/, JSON.stringify(result));
  assert.equal(runCount(fleet), 1);
});
