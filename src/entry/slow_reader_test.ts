import assert from "node:assert/strict";
import { request } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FakeAgent, KEY } from "./_fake_agent.ts";
import { CHAT, chunk, startEntry } from "./_fixture.ts";

const LINGER_MS = 100;
const PIECES = 4000;
const TEXT = "x".repeat(4096);
const WINDOW = 4096;

// The connection was destroyed a fixed time after the last byte of an answer was written, although a
// slow caller was still reading within its deadline.
test("slow caller can read a finished answer until its deadline", async (context) => {
  const agent = await FakeAgent.create("a0", (run) => {
    run.started();
    for (let seq = 0; seq < PIECES - 1; seq++) run.pieces(seq, [chunk(TEXT)]);
    run.pieces(PIECES - 1, [chunk("end", "stop")]);
    run.end(PIECES);
  });
  const entry = await startEntry([agent], {
    lingerMs: LINGER_MS,
    windowPieces: WINDOW,
    progressMs: 30_000,
  });
  context.after(async () => {
    await entry.stop();
    agent.close();
  });
  const answer = await new Promise<NodeJS.ReadableStream>((resolve, reject) => {
    const [host, port] = entry.httpAddress.split(":");
    const call = request({
      host,
      port,
      method: "POST",
      path: "/v1/chat/completions",
      headers: { authorization: `Bearer ${KEY}` },
    }, resolve);
    call.on("error", reject);
    call.end(JSON.stringify(CHAT));
  });
  answer.pause();
  await sleep(8 * LINGER_MS);
  let sizeBytes = 0;
  for await (const data of answer) sizeBytes += data.length;
  assert.ok(sizeBytes > (PIECES - 1) * TEXT.length, `${sizeBytes} bytes`);
});
