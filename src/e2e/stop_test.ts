import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { readState } from "../cli/state_command.ts";
import { answerTo, chatBody, Client, type StreamResult } from "./_client.ts";
import { type AgentSlot, Fleet, type FleetOptions } from "./_fleet.ts";

const SLOW_FLEET = { engineArgs: ["--decodeMsPerToken", "15"] };
const STREAM_TOKENS = 100;
const EVENTS_BEFORE_FAULT = 10;

async function start(
  context: TestContext,
  options: FleetOptions = SLOW_FLEET,
): Promise<{ fleet: Fleet; client: Client }> {
  const fleet = await Fleet.create(options);
  context.after(() => fleet.close());
  return { fleet, client: Client.create(fleet) };
}

async function liveRuns(slot: AgentSlot): Promise<number> {
  const sources = { flags: { address: slot.agentAddress }, variables: {} };
  const state = await readState(sources);
  return JSON.parse(state.unwrapOr("{}")).runs?.live ?? 0;
}

async function busyAgentSlot(fleet: Fleet): Promise<AgentSlot> {
  for (const slot of fleet.slots) if (await liveRuns(slot) > 0) return slot;
  throw new Error("No agent has a run in progress");
}

function assertComplete(result: StreamResult, text: string): void {
  assert.equal(result.error, undefined);
  assert.equal(result.text, text);
  assert.ok(result.isDone);
}

test("an entry that is stopped during a stream completes it", async (context) => {
  const { fleet, client } = await start(context);
  const entry = await fleet.startEntry();
  const body = chatBody("Stop the entry", STREAM_TOKENS);
  const result = await client.stream(entry, body, {
    onEvent: (number) => {
      if (number === EVENTS_BEFORE_FAULT) entry.child.kill("SIGTERM");
    },
  });
  assertComplete(result, answerTo(body));
  assert.deepEqual(await entry.child.exited, { code: 0, signal: null });
});

test("an agent that is stopped during a stream completes it", async (context) => {
  const { fleet, client } = await start(context);
  const entry = await fleet.startEntry();
  const body = chatBody("Stop the agent", STREAM_TOKENS);
  let stopping: Promise<AgentSlot> | undefined;
  const result = await client.stream(entry, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE_FAULT) return;
      stopping = busyAgentSlot(fleet).then((slot) => {
        slot.agent.kill("SIGTERM");
        return slot;
      });
    },
  });
  assertComplete(result, answerTo(body));
  const slot = await stopping!;
  assert.deepEqual(await slot.agent.exited, { code: 0, signal: null });
  const next = chatBody("After the agent");
  assert.equal((await client.whole(entry, next)).text, answerTo(next));
});

test("a second signal ends a stopping entry immediately", async (context) => {
  const { fleet, client } = await start(context);
  const entry = await fleet.startEntry();
  const body = chatBody("Stop at once", STREAM_TOKENS);
  const result = await client.stream(entry, body, {
    onEvent: (number) => {
      if (number > EVENTS_BEFORE_FAULT) entry.child.kill("SIGTERM");
    },
  });
  assert.notEqual(result.error, undefined);
  assert.equal((await entry.child.exited).code, 143);
});

test("calls succeed after an agent is killed", async (context) => {
  const { fleet, client } = await start(context, {});
  const entry = await fleet.startEntry();
  for (let index = 0; index < 10; index++) {
    await client.whole(entry, chatBody(`Before ${index}`));
  }
  fleet.slots[0]!.agent.kill("SIGKILL");
  for (let index = 0; index < 20; index++) {
    const body = chatBody(`After ${index}`);
    assert.equal((await client.whole(entry, body)).text, answerTo(body));
  }
});

test("a killed agent's stream is whole or ends with an error", async (context) => {
  const { fleet, client } = await start(context);
  const entry = await fleet.startEntry();
  const body = chatBody("Kill the agent", STREAM_TOKENS);
  const result = await client.stream(entry, body, {
    onEvent: (number) => {
      if (number !== EVENTS_BEFORE_FAULT) return;
      void busyAgentSlot(fleet).then((slot) => slot.agent.kill("SIGKILL"));
    },
  });
  const expected = answerTo(body);
  assert.ok(expected.startsWith(result.text));
  if (result.isDone) assert.equal(result.text, expected);
  else assert.notEqual(result.error, undefined);
});
