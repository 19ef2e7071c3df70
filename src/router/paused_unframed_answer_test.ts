import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type AnswerStep, ChannelPool } from "./channel.ts";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const BODY_BYTES = 100 * 1024;

async function openPool(
  t: TestContext,
  answer: (socket: Socket) => void,
): Promise<ChannelPool> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return ChannelPool.create({
    address: `127.0.0.1:${port}`,
    connectMs: 500,
    idleMs: 1000,
  });
}

/** Reads an answer only after it has arrived, as for a client that reads slowly. */
async function readLate(pool: ChannelPool): Promise<AnswerStep[]> {
  const exchange = pool.send({
    method: "GET",
    target: "/",
    headers: [],
    body: undefined,
  });
  await sleep(300);
  const steps: AnswerStep[] = [];
  while (true) {
    const step = await exchange.next(500);
    if (!step) break;
    steps.push(step);
    if (step.kind === "end" || step.kind === "failed") break;
  }
  return steps;
}

function bytesOf(steps: AnswerStep[]): number {
  return steps.reduce(
    (sum, step) => sum + (step.kind === "data" ? step.bytes.length : 0),
    0,
  );
}

// Guards against ending the process, or the answer early, when the end arrives while reading is paused.
test("answer without a length whose reading is paused is read to its end", async (t) => {
  const pool = await openPool(t, (socket) => {
    socket.write(HEAD);
    socket.end(Buffer.alloc(BODY_BYTES));
  });
  const steps = await readLate(pool);
  assert.equal(steps.at(-1)?.kind, "end");
  assert.equal(bytesOf(steps), BODY_BYTES);
});

test("reset of an answer without a length whose reading is paused fails the answer", async (t) => {
  const pool = await openPool(t, (socket) => {
    socket.write(HEAD);
    socket.write(
      Buffer.alloc(BODY_BYTES),
      () => setTimeout(() => socket.resetAndDestroy(), 50),
    );
  });
  const steps = await readLate(pool);
  assert.equal(steps.at(-1)?.kind, "failed");
});

test("reset of an answer with a length whose reading is paused fails the answer", async (t) => {
  const pool = await openPool(t, (socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 999999\r\n\r\n",
    );
    socket.write(
      Buffer.alloc(BODY_BYTES),
      () => setTimeout(() => socket.resetAndDestroy(), 50),
    );
  });
  const steps = await readLate(pool);
  assert.equal(steps.at(-1)?.kind, "failed");
});
