import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ChannelPool } from "./channel.ts";

/** Connections to a server that answers without reading the request's body, and then closes. */
async function openPool(
  t: TestContext,
  { text, close }: { text: string; close(socket: Socket): void },
): Promise<ChannelPool> {
  const server = createServer((socket) => {
    t.after(() => socket.destroy());
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${text}`, () => close(socket));
    });
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

/** Reads the answer to a large request; the blocked process finds all of the answer at the same time. */
async function readEarlyAnswer(pool: ChannelPool): Promise<string[]> {
  const exchange = pool.send({
    method: "POST",
    target: "/",
    headers: [],
    body: Buffer.alloc(20 * 1024 * 1024),
  });
  await new Promise((resolve) => setTimeout(resolve, 5));
  const untilMs = Date.now() + 30;
  while (Date.now() < untilMs);
  const steps: string[] = [];
  while (true) {
    const step = await exchange.next(1000);
    if (!step) return steps;
    steps.push(step.kind === "data" ? String(step.bytes) : step.kind);
    if (step.kind === "end" || step.kind === "failed") return steps;
  }
}

// Guards against missing a reset behind the data because the request's body is still being written.
test("reset with the data of an answer is detected while the request is being written", async (t) => {
  const pool = await openPool(t, {
    text: "part",
    close: (socket) => socket.resetAndDestroy(),
  });
  const ends: Record<string, number> = {};
  for (let i = 0; i < 20; i++) {
    const end = (await readEarlyAnswer(pool)).at(-1)!;
    ends[end] = (ends[end] ?? 0) + 1;
  }
  assert.deepEqual(ends, { failed: 20 });
});

// Guards against failing an early answer that its server ended in order before it read the request.
test("early answer that ends in order is whole while the request is being written", async (t) => {
  const close = (socket: Socket) => socket.end();
  const pool = await openPool(t, { text: "whole", close });
  assert.deepEqual(await readEarlyAnswer(pool), ["head", "whole", "end"]);
});

// Guards against taking a reset that follows an orderly end for the end of the answer.
test("early answer is whole if its connection is reset after an orderly end", async (t) => {
  const close = (socket: Socket) =>
    socket.end(() => setTimeout(() => socket.resetAndDestroy(), 1));
  const pool = await openPool(t, { text: "whole", close });
  assert.deepEqual(await readEarlyAnswer(pool), ["head", "whole", "end"]);
});
