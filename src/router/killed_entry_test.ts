/** Answers without a declared end whose entry is killed while they are under way. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { onReset } from "../base/socket_reset.ts";
import {
  completeStreamBody,
  CONFIG,
  headWithoutLength,
  HOST,
  KEY,
  type RawResponder,
  SEALED_HEAD,
  StandinPlatformStore,
  StandinRawServer,
} from "../standin/mod.ts";
import { startEntryProcess } from "./_entry_process.ts";
import { until } from "./_world.ts";

const ADDRESS = { ipAddress: "127.9.7.10", clientPort: 23821 };
/** Time in which what was sent reaches the entry, and what fits the sockets' buffers. */
const SETTLE_MS = 400;

interface AskOptions {
  service: "engines" | "plain";
  path: string;
  version?: "1.0" | "1.1";
  /** Ids of the requests, which are sent at once. */
  ids?: string[];
  /** Whether the client reads before the entry is killed. */
  isReading: boolean;
  answer: RawResponder;
}

/** Asks an entry that runs as a process of its own, and kills it. */
async function askAndKill(
  t: TestContext,
  { service, path, version = "1.1", ids = ["a1"], isReading, answer }:
    AskOptions,
) {
  const store = await StandinPlatformStore.create();
  t.after(() => store.close());
  await store.putConfig(CONFIG);
  const server = await StandinRawServer.create(answer);
  t.after(() => server.close());
  await store.put("servers/i-raw", server.entry(service));
  const entry = await startEntryProcess(t, ADDRESS, store.address);
  const socket = connect({ host: ADDRESS.ipAddress, port: ADDRESS.clientPort });
  const read = watch(socket);
  if (!isReading) socket.pause();
  const requests = ids.map((id) =>
    `POST ${path} HTTP/${version}\r\nhost: ${HOST}\r\nattempt-id: ${id}\r\n` +
    `deadline-ms: 4000\r\nauthorization: Bearer ${KEY}\r\nmodel: m\r\n` +
    "content-length: 1\r\n\r\nx"
  );
  socket.write(requests.join(""));
  await until(() => server.requests.length === ids.length);
  await sleep(SETTLE_MS);
  entry.kill("SIGKILL");
  await once(entry, "exit");
  socket.resume();
  if (!socket.closed) {
    await new Promise((resolve) => socket.once("close", resolve));
  }
  await sleep(10);
  const text = Buffer.concat(read.parts).toString("latin1");
  const [head = "", body = ""] = text.split(/\r\n\r\n(.*)/s);
  return { head, body, isReset: read.isReset };
}

/** Records what is read from a connection, and whether it is reset. */
function watch(socket: Socket): { parts: Buffer[]; isReset: boolean } {
  const read = { parts: [] as Buffer[], isReset: false };
  socket.on("error", () => {});
  socket.on("data", (bytes: Buffer) => read.parts.push(bytes));
  onReset(socket, () => read.isReset = true);
  return read;
}

// Guards against an orderly end of an answer that ends with its connection for lack of chunks.
test("killed entry resets a stream for a client of HTTP/1.0", async (t) => {
  const events = completeStreamBody(2);
  const { head, isReset } = await askAndKill(t, {
    service: "engines",
    path: "/once/a",
    version: "1.0",
    isReading: true,
    answer: (socket, id) => {
      const size = events.length.toString(16);
      socket.write(
        `${SEALED_HEAD}attempt-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n` +
          `${size}\r\n${events}\r\n`,
      );
    },
  });
  assert.match(head, / 200 /);
  assert.doesNotMatch(head, /transfer-encoding|content-length/i);
  assert.ok(isReset, "closed in order");
});

// Guards against an orderly end of an answer that began before the connection was free for it.
test("killed entry resets a stream that waited behind a pipelined request", async (t) => {
  const events = completeStreamBody(2);
  const { body, isReset } = await askAndKill(t, {
    service: "engines",
    path: "/once/a",
    ids: ["a1", "a2"],
    isReading: true,
    answer: (socket, id) => {
      if (id === "a2") return socket.write(headWithoutLength(id) + events);
      const head = `${SEALED_HEAD}attempt-id: ${id}\r\ncontent-length: 0\r\n`;
      setTimeout(() => socket.write(`${head}\r\n`), SETTLE_MS / 2);
    },
  });
  assert.ok(body.endsWith(events));
  assert.ok(isReset, "closed in order");
});

// Guards against an orderly end of a whole answer of which the process still holds a part.
test("killed entry resets an answer that its client has not taken", async (t) => {
  const whole = "x".repeat(14 * 1024 * 1024);
  const { body, isReset } = await askAndKill(t, {
    service: "plain",
    path: "/look/a",
    isReading: false,
    answer: (socket, id) => socket.end(headWithoutLength(id) + whole),
  });
  assert.ok(body.length < whole.length);
  assert.ok(isReset, "closed in order");
});

// Guards against aborting an answer that the kernel holds whole and can deliver by itself.
test("killed entry leaves the answer whole that it has written", async (t) => {
  const whole = "x".repeat(64 * 1024);
  const { body, isReset } = await askAndKill(t, {
    service: "plain",
    path: "/look/a",
    isReading: false,
    answer: (socket, id) => socket.end(headWithoutLength(id) + whole),
  });
  assert.equal(body, whole);
  assert.ok(!isReset);
});
