import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ClientMemory } from "./client_memory.ts";
import { ConnectionGuard } from "./connection_guard.ts";
import { systemClock } from "./mod.ts";
import { seededRandom } from "./random.ts";

const SEEDS = 20;
const REQUESTS = 60;

async function serve(t: TestContext, handle: RequestListener): Promise<number> {
  const server = createServer(handle);
  const guard = ConnectionGuard.create(server, {
    memory: ClientMemory.create({ clock: systemClock, maxBytes: 2 ** 25 }),
    maxConnections: 1000,
    limits: () => ({
      headerBytes: 16_384,
      headerTimeoutMs: 10_000,
      idleTimeoutMs: 10_000,
    }),
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    guard.close();
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

/** Returns a request whose body has this size, and may look like heads. */
function requestText(
  random: () => number,
  sizeBytes: number,
  number: number,
): string {
  const body = "\r\n\r\nGET / HTTP/1.1\r\n".repeat(sizeBytes).slice(
    0,
    sizeBytes,
  );
  const head = `POST /${number} HTTP/1.1\r\nhost: a\r\n`;
  if (sizeBytes === 0) return `${head}\r\n`;
  if (random() < 0.5) {
    return `${head}content-length: ${sizeBytes}\r\n\r\n${body}`;
  }
  let chunks = "";
  for (let at = 0; at < sizeBytes;) {
    const chunk = body.slice(
      at,
      at + 1 + Math.floor(random() ** 4 * sizeBytes),
    );
    chunks += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
    at += chunk.length;
  }
  return `${head}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

// Guards against bytes that are lost, repeated or reordered where a connection is read piece by piece.
test("pipelined requests are answered whole and in order, however their bytes are split", async (t) => {
  const port = await serve(t, async (request, response) => {
    let sizeBytes = 0;
    for await (const chunk of request) sizeBytes += chunk.length;
    await sleep(sizeBytes % 3);
    response.end(`${request.url} ${sizeBytes};`);
  });
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = seededRandom(seed);
    const sizes = Array.from(
      { length: REQUESTS },
      () => random() < 0.3 ? 0 : Math.floor(random() ** 3 * 5000),
    );
    const bytes = Buffer.from(
      sizes.map((size, number) => requestText(random, size, number)).join(""),
    );
    const expected = sizes.map((size, number) => `/${number} ${size};`);
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    for (let at = 0; at < bytes.length;) {
      const size = 1 + Math.floor(random() ** 3 * 8000);
      socket.write(bytes.subarray(at, at + size));
      at += size;
      if (random() < 0.3) await new Promise(setImmediate);
    }
    while (!text.includes(expected.at(-1)!)) await once(socket, "data");
    assert.deepEqual(text.match(/\/\d+ \d+;/g), expected, `seed ${seed}`);
    socket.destroy();
  }
});

// Guards against requests that are read, and kept, for as long as their client sends more.
test("connection is read no further while many of its requests are unanswered", async (t) => {
  let begun = 0;
  const port = await serve(t, () => begun++);
  const socket = connect(port, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(500));
  while (begun === 0) await sleep(5);
  await sleep(50);
  assert.ok(begun < 20, `${begun} requests`);
  socket.destroy();
});

// Guards against a connection that is read on with each answer, although many requests wait already.
test("bytes of a connection don't pile up while its requests are answered", async (t) => {
  let answered = 0;
  let readBytes = 0;
  const port = await serve(t, async (request, response) => {
    await sleep(1);
    answered++;
    readBytes = request.socket.bytesRead;
    response.end();
  });
  const socket = connect(port, "127.0.0.1").resume();
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(100_000));
  while (answered < 100) await sleep(5);
  assert.ok(readBytes < 500_000, `${readBytes} bytes`);
  socket.destroy();
});

// Guards against a reset that takes the refusal from a client which is still sending.
test("client reads its refusal although it sends on", async (t) => {
  const port = await serve(t, (_request, response) => {
    response.writeHead(413, { connection: "close" }).end();
  });
  const socket = connect(port, "127.0.0.1");
  let text = "";
  socket.on("error", () => {});
  socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3000000\r\n\r\n");
  for (let i = 0; i < 100; i++) {
    socket.write(Buffer.alloc(10_000));
    await new Promise(setImmediate);
  }
  socket.on("data", (chunk) => text += chunk);
  await once(socket, "close");
  assert.match(text, /^HTTP\/1.1 413 /);
});
