import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { answerTo, callStream, callWhole, chatBody } from "./_calls.ts";
import { ProofFleet } from "./_fleet.ts";

/*
 * As on the users' platform, where one request ended engine after engine: each call was a new one to
 * the entries, and each was run at two engines.
 */

const POISON = "ends engines";
/** Three engines end before it is known, and three more may. */
const MOST_RUNS = 6;
/** Entries compare what they know once a second. */
const NEWS_MS = 2500;

async function openFleet(): Promise<ProofFleet> {
  const fleet = await ProofFleet.create({ engines: 4, services: 0 });
  for (const engine of fleet.engines) {
    await engine.setFaults({ crashOnText: POISON });
  }
  return fleet;
}

function runsOf({ engines }: ProofFleet): number {
  return engines.reduce((sum, { executions }) => sum + executions.length, 0);
}

test("prompt under which engines end is run at no more than six", async (context) => {
  const fleet = await openFleet();
  context.after(() => fleet.close());
  for (let i = 0; i < 5; i++) {
    for (const slot of fleet.entries) {
      await callWhole(slot, chatBody(POISON, 4));
      await sleep(NEWS_MS / 2);
    }
  }
  assert.ok(runsOf(fleet) <= MOST_RUNS, String(runsOf(fleet)));
  const seen = await callWhole(fleet.entries[0]!, chatBody(POISON, 4));
  assert.equal(seen.status, 503);
  assert.equal(seen.execution, "not_run");
  const body = chatBody("another one", 4);
  const other = await callStream(fleet.entries[0]!, body);
  assert.equal(other.text, answerTo(body));
});

test("prompt under which engines end stays refused when all entries start again", async (context) => {
  const fleet = await openFleet();
  context.after(() => fleet.close());
  for (let i = 0; i < 3; i++) {
    await callWhole(fleet.entries[0]!, chatBody(POISON, 4));
  }
  await sleep(NEWS_MS);
  await fleet.crashAllEntries();
  for (let i = 0; i < 4; i++) {
    await callWhole(fleet.entries[i % 2]!, chatBody(POISON, 4));
  }
  assert.ok(runsOf(fleet) <= MOST_RUNS, String(runsOf(fleet)));
});

test("prompt whose connections broke at engines that live is still served", async (context) => {
  const fleet = await ProofFleet.create({ engines: 2, services: 0 });
  context.after(() => fleet.close());
  const [slot] = fleet.entries;
  const body = chatBody("cut again and again", 8);
  for (const engine of fleet.engines) {
    await engine.setFaults({ cutAfterPieces: 2 });
  }
  for (let i = 0; i < 4; i++) {
    const seen = await callStream(slot!, body);
    assert.notEqual(seen.code, "quarantined");
  }
  for (const engine of fleet.engines) {
    await engine.setFaults({ cutAfterPieces: -1 });
  }
  const seen = await callStream(slot!, body);
  assert.equal(seen.text, answerTo(body));
});
