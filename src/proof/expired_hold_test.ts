import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { answerTo, callStreaming, chatBody } from "./_calls.ts";
import { PROGRESS_MS, ProofFleet } from "./_fleet.ts";

const HOLD_MS = 1;
const STALL_MS = 10;
const CALLS = 10;

/** Blocks the event loop before every iteration, so that each hold expires unused. */
async function stall(signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const untilMs = performance.now() + STALL_MS;
    while (performance.now() < untilMs);
    await nextTurn();
  }
}

test("calls succeed at an entry that stalls for longer than its holds last", async (context) => {
  const fleet = await ProofFleet.create({
    entries: 1,
    services: 0,
    tuning: { holdMs: HOLD_MS, progressMs: PROGRESS_MS, listWaitMs: 500 },
  });
  context.after(() => fleet.close());
  const abortController = new AbortController();
  const stalled = stall(abortController.signal);
  for (let index = 0; index < CALLS; index++) {
    const body = chatBody(`call ${index}`, 4);
    const result = await callStreaming(fleet.entries[0]!, body);
    assert.equal(result.text, answerTo(body), JSON.stringify(result));
  }
  abortController.abort();
  await stalled;
  for (const { agent } of fleet.agentSlots) {
    const { refusals } = agent.dumpState() as { refusals: { counts: object } };
    assert.ok(!("HOLD_GONE" in refusals.counts), JSON.stringify(refusals));
  }
});
