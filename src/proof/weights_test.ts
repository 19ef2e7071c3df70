import assert from "node:assert/strict";
import { test } from "node:test";
import { callNonStreaming, chatBody } from "./_calls.ts";
import { ProofFleet } from "./_fleet.ts";

test("a call that wants the old weights is not served by weights that replaced them after the offer", async (context) => {
  const fleet = await ProofFleet.create({ engines: 1, services: 0 });
  context.after(() => fleet.close());
  const [slot] = fleet.entries;
  const [engine] = fleet.engines;
  await callNonStreaming(slot!, chatBody("before"));
  // Sent to the engine directly, so that the agent's view of the loaded models is stale.
  await sendOrder(engine!.url, "load", "2");
  await sendOrder(engine!.url, "unload", "1");
  await callNonStreaming(slot!, chatBody("after"));
  const used = engine!.executions.map(({ model }) => model.weightsVersion);
  assert.deepEqual(used, ["1"]);
});

async function sendOrder(
  url: string,
  kind: "load" | "unload",
  weightsVersion: string,
): Promise<void> {
  const model = { model: "notes", adapter: "", weightsVersion };
  const answer = await fetch(`${url}/orders/${kind}`, {
    method: "POST",
    body: JSON.stringify({ fencing_number: "1", model }),
  });
  assert.equal(answer.status, 200, await answer.text());
}
