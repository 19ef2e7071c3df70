import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Worker } from "node:worker_threads";
import { ChannelPool } from "./channel.ts";

const CONNECT_MS = 300;
const REQUEST = { method: "GET", target: "/", headers: [], body: undefined };

/** Server that listens and accepts nothing: connections get no answer once its backlog is full. */
const UNRESPONSIVE_SERVER = `
  const { createServer } = require("node:net");
  const { parentPort } = require("node:worker_threads");
  const server = createServer();
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
  });
`;

async function openUnresponsiveServer(t: TestContext): Promise<number> {
  const worker = new Worker(UNRESPONSIVE_SERVER, { eval: true });
  const port = await new Promise<number>((resolve) =>
    worker.once("message", resolve)
  );
  const fillers: Socket[] = [];
  t.after(async () => {
    for (const socket of fillers) socket.destroy();
    await worker.terminate();
  });
  for (let i = 0; i < 4; i++) {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    fillers.push(socket);
  }
  await new Promise((resolve) => setTimeout(resolve, CONNECT_MS));
  return port;
}

test("connect timeout is extended while the process reads its sockets late", async (t) => {
  const port = await openUnresponsiveServer(t);
  let lagMs = CONNECT_MS;
  const channels = ChannelPool.create({
    address: `127.0.0.1:${port}`,
    connectMs: CONNECT_MS,
    idleMs: 4000,
    lagMs: () => lagMs,
  });
  const exchange = channels.send(REQUEST);
  assert.equal(await exchange.next(CONNECT_MS * 1.5), undefined);
  lagMs = 0;
  const step = await exchange.next(CONNECT_MS * 1.5);
  exchange.abort();
  assert.ok(step?.kind === "failed");
});

test("unanswered connection attempt fails after the connect timeout", async (t) => {
  const port = await openUnresponsiveServer(t);
  const channels = ChannelPool.create({
    address: `127.0.0.1:${port}`,
    connectMs: CONNECT_MS,
    idleMs: 4000,
  });
  const exchange = channels.send(REQUEST);
  const step = await exchange.next(CONNECT_MS * 1.5);
  exchange.abort();
  assert.ok(step?.kind === "failed");
  assert.equal(step.failure.kind, "unreachable");
});
