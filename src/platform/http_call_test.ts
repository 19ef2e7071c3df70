import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpCaller } from "./http_call.ts";

const CALL_MS = 1500;
const PIECE = "x".repeat(64 * 1024);
const MAX_ANSWER_BYTES = 1024 * 1024;
/** Also counts what the kernel and streams hold on the way. */
const MAX_WRITTEN_BYTES = 12 * 1024 * 1024;
const PIECES = ['{"text":"', "a", "b", "c", "d", "e", '"}'];

/** Returns a caller of a server that pauses after each piece of its answer. */
async function openCaller(
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
  return await openCallerOf(t, server);
}

async function openCallerOf(t: TestContext, server: Server) {
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

// Guards against a timeout on the whole call: over a saturated link, each attempt at a large answer
// timed out and started over, so the answer never completed.
test("slow answer is read to its end", async (t) => {
  const caller = await openCaller(t, CALL_MS / 5);
  const answer = await caller.send({
    method: "GET",
    path: "/",
    idleTimeoutMs: CALL_MS,
  });
  assert.ok(answer.isOk);
  assert.deepEqual(answer.value.body, { text: "abcde" });
});

test("answer that stalls fails after the idle timeout", async (t) => {
  const caller = await openCaller(t, CALL_MS * 20);
  const answer = await caller.send({
    method: "GET",
    path: "/",
    idleTimeoutMs: CALL_MS,
  });
  assert.ok(answer.isErr);
  assert.equal(answer.error.kind, "no_answer");
});

// Guards against an answer without end that fills the memory of the process until the call times out.
test("answer without end fails once it is too large", async (t) => {
  let writtenBytes = 0;
  const server = createServer((_request, response) => {
    const write = () => {
      writtenBytes += PIECE.length;
      response.write(PIECE, (error) => error ?? write());
    };
    write();
  });
  const caller = await openCallerOf(t, server);
  const answer = await caller.send({
    method: "GET",
    path: "/",
    idleTimeoutMs: CALL_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  assert.ok(answer.isErr);
  assert.equal(answer.error.message, "Answer is too large");
  assert.ok(writtenBytes <= MAX_WRITTEN_BYTES, `${writtenBytes} bytes`);
});
