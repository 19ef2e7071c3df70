/** Answers without a declared end to their client, which the entry itself cuts. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  completeStreamBody,
  CONFIG,
  headWithoutLength,
  HOST,
  KEY,
  NO_FAULTS,
  SEALED_HEAD,
  StandinPlatformStore,
  StandinRawServer,
} from "../standin/mod.ts";
import { serveBytes } from "./_raw_server.ts";
import { onReset } from "../base/socket_reset.ts";
import { startEntryProcess } from "./_entry_process.ts";
import { openWorld } from "./_world.ts";

/** Longer than a stopping entry accepts connections. */
const LISTENING_MS = 3000;

function ask(
  { ipAddress, clientPort }: { ipAddress: string; clientPort: number },
  { path, version = "1.1" }: { path: string; version?: string },
) {
  const socket = connect({ host: ipAddress, port: clientPort });
  socket.write(
    `POST ${path} HTTP/${version}\r\nhost: ${HOST}\r\nattempt-id: a1\r\n` +
      `deadline-ms: 4000\r\nauthorization: Bearer ${KEY}\r\nmodel: m\r\n` +
      "content-length: 1\r\n\r\nx",
  );
  return socket;
}

/** Reads what is left; the answer's end is orderly unless the connection is reset. */
async function readEnd(socket: Socket) {
  let text = "";
  let isReset = false;
  socket.on("error", () => {});
  onReset(socket, () => {
    isReset = true;
  });
  socket.on("data", (bytes) => text += bytes.toString("latin1"));
  await once(socket, "close").catch(() => {});
  await sleep(10);
  return { text, isReset };
}

test("entry that stops resets an answer that a slow client has not read", async (t) => {
  const world = await openWorld(t);
  const body = "x".repeat(14 * 1024 * 1024);
  await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, id) => socket.end(headWithoutLength(id) + body),
  });
  const socket = ask(world, { path: "/look/a" });
  socket.pause();
  await sleep(600);
  await world.router.stop();
  const { text, isReset } = await readEnd(socket.resume());
  const isWhole = text.endsWith("\r\n\r\n" + body);
  assert.ok(isWhole || isReset, `${text.length} bytes, closed in order`);
});

// Guards against taking a connection for idle whose client still reads the answer.
test("planned stop delivers an answer that a slow client has not read yet", async (t) => {
  const world = await openWorld(t, { graceMs: 10_000 });
  const body = "x".repeat(14 * 1024 * 1024);
  await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, id) =>
      socket.end(
        `${SEALED_HEAD}attempt-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
      ),
  });
  const socket = ask(world, { path: "/look/a" });
  socket.pause();
  await sleep(600);
  const drained = world.router.drain();
  await sleep(LISTENING_MS);
  const { text } = await readEnd(socket.resume());
  await drained;
  assert.equal(text.length - text.indexOf("\r\n\r\n") - 4, body.length);
});

test("stream that breaks off is reset for a client of HTTP/1.0", async (t) => {
  const world = await openWorld(t);
  const faults = { ...NO_FAULTS, cutAfterEvents: 2 };
  await world.worker("i-1", { model: "m", faults });
  const socket = ask(world, { path: "/once/a", version: "1.0" });
  const { text, isReset } = await readEnd(socket);
  assert.ok(text.includes(completeStreamBody(2)), text);
  assert.doesNotMatch(text, /transfer-encoding|content-length/i);
  assert.ok(isReset, "closed in order");
});

test("entry that is killed leaves no answer that looks complete", async (t) => {
  const store = await StandinPlatformStore.create();
  t.after(() => store.close());
  await store.putConfig(CONFIG);
  const raw = await StandinRawServer.create((socket, id) => {
    socket.write(headWithoutLength(id) + completeStreamBody(2));
  });
  t.after(() => raw.close());
  await store.put("servers/i-raw", raw.entry("engines"));
  const address = { ipAddress: "127.9.7.9", clientPort: 23811 };
  const child = await startEntryProcess(t, address, store.address);
  const socket = ask(address, {
    path: "/once/a",
  });
  const ended = readEnd(socket);
  await once(socket, "data");
  await sleep(200);
  child.kill("SIGKILL");
  const { text, isReset } = await ended;
  const isChunked = /transfer-encoding: chunked/i.test(text);
  assert.match(text, /^HTTP\/1.1 200/);
  assert.ok(
    isReset || isChunked,
    "an answer without a declared end was closed in order",
  );
});
