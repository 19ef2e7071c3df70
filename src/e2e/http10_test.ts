/** Answers to callers of HTTP/1.0, which get no chunks: only the end of the connection ends them. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { onReset } from "../base/socket_reset.ts";
import { chatBody } from "./_client.ts";
import { Fleet } from "./_fleet.ts";

const SLOW_FLEET = { engineArgs: ["--decodeMsPerToken", "15"] };
const STREAM_TOKENS = 60;
const EVENTS_BEFORE_FAULT = 10;

/** Asks an entry for a stream; `onEvents` is called once when some events have arrived. */
async function ask(
  t: TestContext,
  onEvents: (entry: Awaited<ReturnType<Fleet["startEntry"]>>) => void,
) {
  const fleet = await Fleet.create(SLOW_FLEET);
  t.after(() => fleet.close());
  const entry = await fleet.startEntry();
  const { hostname, port } = new URL(entry.url);
  const socket = connect({ host: hostname, port: Number(port) });
  const read = { text: "", isReset: false };
  onReset(socket, () => read.isReset = true);
  socket.on("error", () => {});
  let isCalled = false;
  socket.on("data", (bytes) => {
    read.text += bytes;
    const events = read.text.split("\n\n").length;
    if (isCalled || events < EVENTS_BEFORE_FAULT) return;
    isCalled = true;
    onEvents(entry);
  });
  const asked = chatBody("Read this", STREAM_TOKENS);
  const body = JSON.stringify({ ...asked, stream: true });
  const headers = Object.entries({
    ...fleet.headers,
    "content-type": "application/json",
    "content-length": String(body.length),
  }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
  socket.write(`POST /v1/chat/completions HTTP/1.0\r\n${headers}\r\n${body}`);
  // once() would reject on the error of a reset.
  await new Promise((resolve) => socket.once("close", resolve));
  assert.match(read.text, / 200 /);
  assert.doesNotMatch(read.text, /transfer-encoding|content-length/i);
  return read;
}

// Guards against a cut stream that the kernel ends in order, as if it were whole.
test("killed entry resets a stream without chunks", async (t) => {
  const { text, isReset } = await ask(
    t,
    (entry) => entry.child.kill("SIGKILL"),
  );
  assert.doesNotMatch(text, /\[DONE\]/);
  assert.ok(isReset, "closed in order");
});

// Guards against a protection that outlasts the answer and drops what the kernel still holds.
test("whole stream without chunks ends in order", async (t) => {
  const { text, isReset } = await ask(t, () => {});
  assert.match(text, /\[DONE\]\n\n$/);
  assert.ok(!isReset);
});
