import assert from "node:assert/strict";
import { test } from "node:test";
import { StandinBackendServer } from "./backend_server.ts";
import {
  MarkedEventReader,
  readStream,
  withoutMarks,
  writersOf,
} from "./stream_client.ts";
import { completeStreamBody } from "./platform_client.ts";

async function startEngine(): Promise<StandinBackendServer> {
  return await StandinBackendServer.create({
    id: "i-1",
    model: "m",
    softwareVersion: "v1",
    events: 6,
  });
}

function addressOf({ address }: StandinBackendServer) {
  const [ipAddress = "", port] = address.split(":");
  return { ipAddress, clientPort: Number(port) };
}

// Guards against taking a stream for complete whose rest had arrived with the last event that was read.
test("stream that the client breaks off is not complete, also if all of it has arrived", async (t) => {
  const engine = await startEngine();
  t.after(() => engine.close());
  const options = { path: "/stream/a", headers: { "attempt-id": "a" } };
  const left = await readStream(addressOf(engine), {
    ...options,
    breakAfterEvents: 2,
  });
  assert.deepEqual(left.events.map(({ id }) => id), [1, 2]);
  assert.ok(!left.isComplete);
  const whole = await readStream(addressOf(engine), options);
  assert.equal(whole.events.length, 6);
  assert.deepEqual(writersOf(whole.events), ["v1"]);
  assert.ok(whole.isComplete);
});

test("text of a stream is the same for all servers without their marks", () => {
  const marked = "id: 1\ndata: x1 i-1 v1\n\nid: 2\ndata: x2 i-2 v1.1\n\n";
  assert.equal(withoutMarks(marked), completeStreamBody(2));
});

// Guards against taking events for whole that have a part of another one before or behind them.
test("part of an event before or behind another one is seen", () => {
  const event = "id: 2\ndata: x2 i-1 v1\n\n";
  const idsOf = (text: string) =>
    MarkedEventReader.create().push(text).map(({ id }) => id);
  assert.deepEqual(idsOf(event), [2]);
  assert.deepEqual(idsOf(`id: 2\nda${event}`), [0]);
  assert.deepEqual(idsOf("id: 2\ndata: x3 i-1 v1\n\n"), [0]);
  const reader = MarkedEventReader.create();
  reader.push(event);
  assert.ok(!reader.isInEvent);
  reader.push("id: 3\nda");
  assert.ok(reader.isInEvent);
});
