import assert from "node:assert/strict";
import { test } from "node:test";
import { answerTo, chatBody, Client } from "./_client.ts";
import { Fleet } from "./_fleet.ts";

test("the only entry restarts with the store down", async (context) => {
  const fleet = await Fleet.create();
  context.after(() => fleet.close());
  const client = Client.create(fleet);
  const first = await fleet.startEntry();
  await client.whole(first, chatBody("Before the outage"));
  await fleet.setKvFaults({ down: true });
  assert.deepEqual(await first.child.stop(), { code: 0, signal: null });
  const restarted = await fleet.startEntry();
  const body = chatBody("During the outage", 32);
  assert.equal((await client.whole(restarted, body)).text, answerTo(body));
});
