import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerTo,
  callNonStreaming,
  callStreaming,
  chatBody,
} from "./_calls.ts";
import { ProofFleet } from "./_fleet.ts";

/*
 * A prompt that crashes engines must not crash one engine after another. On the users' platform a client
 * repeated such a request: entries took each repeat for a new request and ran each at two engines.
 */

const CRASH_TEXT = "ends engines";
/** Three engines end before the prompt is recognized as the cause, and up to three more may end. */
const MAX_RUNS = 6;
/** Allows for gossip, which entries exchange once a second. */
const GOSSIP_MS = 2500;

async function createFleet(): Promise<ProofFleet> {
  const fleet = await ProofFleet.create({ engines: 4, services: 0 });
  for (const engine of fleet.engines) {
    await engine.setFaults({ crashOnText: CRASH_TEXT });
  }
  return fleet;
}

function runCount({ engines }: ProofFleet): number {
  return engines.reduce((sum, { executions }) => sum + executions.length, 0);
}

test("prompt that crashes engines is run at no more than six", async (context) => {
  const fleet = await createFleet();
  context.after(() => fleet.close());
  for (let i = 0; i < 5; i++) {
    for (const slot of fleet.entries) {
      await callNonStreaming(slot, chatBody(CRASH_TEXT, 4));
      await sleep(GOSSIP_MS / 2);
    }
  }
  assert.ok(runCount(fleet) <= MAX_RUNS, String(runCount(fleet)));
  const result = await callNonStreaming(
    fleet.entries[0]!,
    chatBody(CRASH_TEXT, 4),
  );
  assert.equal(result.status, 503);
  assert.equal(result.execution, "not_run");
  const body = chatBody("another one", 4);
  const other = await callStreaming(fleet.entries[0]!, body);
  assert.equal(other.text, answerTo(body));
});

test("prompt that crashes engines stays refused after all entries restart", async (context) => {
  const fleet = await createFleet();
  context.after(() => fleet.close());
  for (let i = 0; i < 3; i++) {
    await callNonStreaming(fleet.entries[0]!, chatBody(CRASH_TEXT, 4));
  }
  await sleep(GOSSIP_MS);
  await fleet.crashAllEntries();
  for (let i = 0; i < 4; i++) {
    await callNonStreaming(fleet.entries[i % 2]!, chatBody(CRASH_TEXT, 4));
  }
  assert.ok(runCount(fleet) <= MAX_RUNS, String(runCount(fleet)));
});

test("prompt whose connections broke while its engines kept running is still served", async (context) => {
  const fleet = await ProofFleet.create({ engines: 2, services: 0 });
  context.after(() => fleet.close());
  const [slot] = fleet.entries;
  const body = chatBody("cut again and again", 8);
  for (const engine of fleet.engines) {
    await engine.setFaults({ cutAfterPieces: 2 });
  }
  for (let i = 0; i < 4; i++) {
    const result = await callStreaming(slot!, body);
    assert.notEqual(result.code, "quarantined");
  }
  for (const engine of fleet.engines) {
    await engine.setFaults({ cutAfterPieces: -1 });
  }
  const result = await callStreaming(slot!, body);
  assert.equal(result.text, answerTo(body));
});
