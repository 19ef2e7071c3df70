import assert from "node:assert/strict";
import { test } from "node:test";
import { answerTo, chatBody, Client } from "./_client.ts";
import { Fleet } from "./_fleet.ts";

for (const fault of [{ down: true }, { silent: true }]) {
  const [name] = Object.keys(fault);
  test(`an entry restarts with the store ${name}`, async (context) => {
    const fleet = await Fleet.create();
    context.after(() => fleet.close());
    const client = Client.create(fleet);
    const first = await fleet.startEntry();
    await fleet.startEntry();
    await client.whole(first, chatBody("Before the outage"));
    await fleet.setKvFaults(fault);
    assert.deepEqual(await first.child.stop(), { code: 0, signal: null });
    const restarted = await fleet.startEntry();
    const body = chatBody("During the outage", 32);
    assert.equal((await client.whole(restarted, body)).text, answerTo(body));
    const result = await client.stream(restarted, body);
    assert.equal(result.text, answerTo(body));
    assert.ok(result.isDone);
  });
}
