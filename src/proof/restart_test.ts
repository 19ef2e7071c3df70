import assert from "node:assert/strict";
import { test } from "node:test";
import {
  answerTo,
  callNonStreaming,
  callStreaming,
  chatBody,
} from "./_calls.ts";
import { ProofFleet } from "./_fleet.ts";

for (const faults of [{ down: false }, { down: true }, { silent: true }]) {
  const [name] = Object.entries(faults).map((pair) => pair.join(" "));
  test(`all entries restart together, store ${name}`, async (context) => {
    const fleet = await ProofFleet.create();
    context.after(() => fleet.close());
    for (const slot of fleet.entries) {
      for (let index = 0; index < 10; index++) {
        await callNonStreaming(slot, chatBody(`before ${index}`, 4));
      }
    }
    await fleet.kv.setFaults(faults);
    await fleet.crashAllEntries();
    for (const slot of fleet.entries) {
      const body = chatBody("after");
      const result = await callStreaming(slot, body);
      assert.equal(result.text, answerTo(body), JSON.stringify(result));
    }
  });
}
