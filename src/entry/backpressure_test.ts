import assert from "node:assert/strict";
import { request } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FakeAgent, type FakeRun, KEY } from "./_fake_agent.ts";
import { chunk, eventsOf, send, startEntry, STREAM } from "./_fixture.ts";

const WINDOW = 32;
const PIECES = 4000;
const PIECE = chunk("x".repeat(4096));

/** Sends pieces as far as the window allows, as an agent does. */
async function sendAll(run: FakeRun): Promise<number> {
  run.started();
  let seq = 0;
  while (seq < PIECES && !run.isCancelled) {
    if (seq < run.ackedSeq + run.start.windowPieces) run.pieces(seq++, [PIECE]);
    else await sleep(1);
    sent = seq;
  }
  run.end(PIECES);
  return seq;
}
let sent = 0;

test("a caller that stops reading pauses acknowledgements and later gets the whole answer", async () => {
  const agent = await FakeAgent.create("a0", (run) => void sendAll(run));
  const entry = await startEntry([agent], {
    windowPieces: WINDOW,
    progressMs: 30_000,
  });
  const answer = await new Promise<NodeJS.ReadableStream>((resolve) => {
    const [host, port] = entry.httpAddress.split(":");
    const call = request({
      host,
      port,
      method: "POST",
      path: "/v1/chat/completions",
      headers: { authorization: `Bearer ${KEY}` },
    }, resolve);
    call.end(JSON.stringify(STREAM));
  });
  answer.pause();
  let before = -1;
  while (sent !== before) {
    before = sent;
    await sleep(300);
  }
  // The sockets' buffers and one window bound the pieces sent.
  assert.ok(sent < PIECES / 2, `${sent} of ${PIECES} pieces sent`);
  let text = "";
  for await (const data of answer) text += data;
  assert.equal(eventsOf(text).length, PIECES + 1);
  await entry.stop();
  agent.close();
});

test("a graceful shutdown fails readiness first and completes open requests", async () => {
  const agent = await FakeAgent.create("a0", async (run) => {
    run.started();
    for (let seq = 0; seq < 20; seq++) {
      run.pieces(seq, [chunk("a")]);
      await sleep(20);
    }
    run.end(20);
  });
  const entry = await startEntry([agent], {}, { unreadyMs: 150 });
  const answer = await send(entry, { body: STREAM });
  const stopped = entry.stop();
  const ready = await fetch(`http://${entry.httpAddress}/readyz`);
  assert.equal(ready.status, 503);
  await ready.text();
  const late = await send(entry, { body: STREAM });
  const [first, second] = [await answer.text(), await late.text()];
  assert.equal(eventsOf(first).length, 21);
  assert.equal(eventsOf(second).length, 21);
  await stopped;
  await assert.rejects(fetch(`http://${entry.httpAddress}/readyz`));
  agent.close();
});
