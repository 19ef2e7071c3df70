/** Streams that break off behind events without an id. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  type ClientResponse,
  completeStreamBody,
  headWithoutLength,
  MODEL_REQUEST_HEADERS,
} from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { openWorld } from "./_world.ts";

/** Asks a server that cuts its stream after a part; another engine joins once it has been asked. */
async function askCut(t: TestContext, part: string): Promise<ClientResponse> {
  const world = await openWorld(t);
  await serveBytes(t, world, {
    id: "i-raw",
    service: "engines",
    answer: (socket, id, nth) => {
      if (nth > 1) return socket.destroy();
      const head = headWithoutLength(id).trimEnd();
      socket.write(`${head}\r\ncontent-length: 999\r\n\r\n${part}`);
      void world.engine("i-2").then(() => socket.destroy());
    },
  });
  return askUntilAccepted(world, "/stream/a", MODEL_REQUEST_HEADERS);
}

const PARTS = {
  "events without any id": "data: x1\n\ndata: x2\n\n",
  "an event without an id behind one with an id":
    "id: 1\ndata: x1\n\ndata: note\n\n",
};

for (const [name, part] of Object.entries(PARTS)) {
  // Guards against events that come twice: a run can be resumed only behind an id.
  test(`stream that is cut behind ${name} ends broken`, async (t) => {
    const { body, isComplete } = await askCut(t, part);
    assert.equal(body, part);
    assert.ok(!isComplete);
  });
}

// Guards against breaking streams off for comments, which keep connections open.
test("stream that is cut behind a comment is resumed", async (t) => {
  const comment = ": alive\n\n";
  const part = completeStreamBody(2);
  const rest = completeStreamBody(4).slice(part.length);
  const { body, isComplete } = await askCut(t, part + comment);
  assert.equal(body, part + comment + rest);
  assert.ok(isComplete);
});
