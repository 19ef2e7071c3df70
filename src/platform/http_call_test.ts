import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpCaller } from "./http_call.ts";

const CALL_MS = 1500;
const PIECES = ['{"text":"', "a", "b", "c", "d", "e", '"}'];

/** A caller of a server that answers in pieces, with a pause before each. */
async function callerOf(
  t: TestContext,
  pauseMs: number,
): Promise<HttpCaller> {
  const server = createServer(async (_request, response) => {
    for (const piece of PIECES) {
      response.write(piece);
      await sleep(pauseMs, undefined, { ref: false });
    }
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const caller = HttpCaller.create(`127.0.0.1:${port}`, CALL_MS);
  t.after(async () => {
    await caller.close();
    server.closeAllConnections();
    server.close();
  });
  return caller;
}

// Over a full link a large answer was begun anew each time, and never came whole.
test("answer that comes slowly is read to its end", async (t) => {
  const caller = await callerOf(t, CALL_MS / 5);
  const answer = await caller.send({
    method: "GET",
    path: "/",
    callMs: CALL_MS,
  });
  assert.ok(answer.isOk);
  assert.deepEqual(answer.value.body, { text: "abcde" });
});

test("answer that falls silent is given up", async (t) => {
  const caller = await callerOf(t, CALL_MS * 20);
  const answer = await caller.send({
    method: "GET",
    path: "/",
    callMs: CALL_MS,
  });
  assert.ok(answer.isErr);
  assert.equal(answer.error.kind, "no_answer");
});
