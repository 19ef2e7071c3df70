import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Worker } from "node:worker_threads";
import { type AnswerStep, ChannelPool, type Exchange } from "./channel.ts";

const WAIT_MS = 5000;
const REQUEST = { method: "GET", target: "/", headers: [], body: undefined };

interface Listening {
  channels: ChannelPool;
  connections: () => number;
  stopListening: () => void;
}

/** Starts a server that calls `answer` for each chunk of bytes that it reads. */
async function listen(
  t: TestContext,
  answer: (socket: Socket, asked: number) => void,
): Promise<Listening> {
  let asked = 0;
  let connections = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    connections++;
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", () => answer(socket, asked++));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = server.address();
  assert.ok(address && typeof address === "object");
  const channels = ChannelPool.create({
    address: `127.0.0.1:${address.port}`,
    connectMs: 1000,
    idleMs: 4000,
  });
  t.after(() => {
    channels.closeIdle();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const stopListening = () => void server.close();
  return { channels, connections: () => connections, stopListening };
}

async function readAll(exchange: Exchange): Promise<AnswerStep[]> {
  const steps: AnswerStep[] = [];
  while (true) {
    const step = await exchange.next(WAIT_MS);
    assert.ok(step, "no step arrived in time");
    steps.push(step);
    if (step.kind === "end" || step.kind === "failed") return steps;
  }
}

function kinds(steps: AnswerStep[]): string[] {
  return steps.map(({ kind }) => kind);
}

const HEAD = "HTTP/1.1 200 OK\r\n";

test("body without a length ends with its connection", async (t) => {
  const { channels } = await listen(t, (socket) => {
    socket.end(`${HEAD}connection: close\r\n\r\nwhole`);
  });
  const steps = await readAll(channels.send(REQUEST));
  assert.deepEqual(kinds(steps), ["head", "data", "end"]);
});

test("body without a length is broken if its server has ended", async (t) => {
  const { channels, stopListening } = await listen(t, (socket) => {
    stopListening();
    socket.end(`${HEAD}connection: close\r\n\r\nhalf`);
  });
  const steps = await readAll(channels.send(REQUEST));
  assert.deepEqual(kinds(steps), ["head", "data", "failed"]);
});

test("body without a length is broken if the connection is reset", async (t) => {
  const { channels } = await listen(t, (socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\nhalf`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  const steps = await readAll(channels.send(REQUEST));
  assert.deepEqual(kinds(steps), ["head", "data", "failed"]);
});

test("body shorter than its declared length is broken", async (t) => {
  const { channels } = await listen(t, (socket) => {
    socket.end(`${HEAD}content-length: 10\r\n\r\nhalf`);
  });
  const steps = await readAll(channels.send(REQUEST));
  assert.equal(steps.at(-1)?.kind, "failed");
});

test("idle connection is reused for the next request", async (t) => {
  const { channels, connections } = await listen(t, (socket) => {
    socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
  });
  await readAll(channels.send(REQUEST));
  await readAll(channels.send(REQUEST));
  assert.equal(connections(), 1);
});

test("extra bytes after a response close the connection", async (t) => {
  const { channels, connections } = await listen(t, (socket, asked) => {
    const answer = `${HEAD}content-length: 2\r\n\r\nok`;
    socket.write(asked === 0 ? answer + answer : answer);
  });
  await readAll(channels.send(REQUEST));
  await new Promise((resolve) => setTimeout(resolve, 20));
  const steps = await readAll(channels.send(REQUEST));
  assert.deepEqual(kinds(steps), ["head", "data", "end"]);
  assert.equal(connections(), 2);
});

test("request is not sent if the connection can't be established", async () => {
  const channels = ChannelPool.create({
    address: "127.0.0.1:1",
    connectMs: 1000,
    idleMs: 4000,
  });
  const exchange = channels.send(REQUEST);
  const [step] = await readAll(exchange);
  assert.ok(step?.kind === "failed");
  assert.equal(step.failure.kind, "unreachable");
  assert.equal(exchange.sent, false);
});

test("aborted exchange closes its connection", async (t) => {
  let onClosed = () => {};
  const closed = new Promise<void>((resolve) => onClosed = resolve);
  const { channels } = await listen(t, (socket) => {
    socket.on("close", () => onClosed());
    socket.write(`${HEAD}content-length: 100\r\n\r\npart`);
  });
  const exchange = channels.send(REQUEST);
  await exchange.next(WAIT_MS);
  exchange.abort();
  await closed;
});

// Guards against a process that was paused and then treats streams as timed out, although their events
// are waiting unread in its sockets.
test("data that arrives while the process is paused does not time out", async (t) => {
  // The server runs in another thread, so that it responds while this one is blocked.
  const server = new Worker(
    `const { parentPort } = require("node:worker_threads");
    const server = require("node:net").createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\na");
        setTimeout(() => socket.write("b"), 100);
      });
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`,
    { eval: true },
  );
  t.after(() => server.terminate());
  const [port] = await once(server, "message");
  const channels = ChannelPool.create({
    address: `127.0.0.1:${port}`,
    connectMs: 1000,
    idleMs: 4000,
  });
  t.after(() => channels.closeIdle());
  const exchange = channels.send(REQUEST);
  assert.equal((await exchange.next(WAIT_MS))?.kind, "head");
  assert.equal((await exchange.next(WAIT_MS))?.kind, "data");
  const next = exchange.next(50);
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
  assert.equal((await next)?.kind, "data");
});
