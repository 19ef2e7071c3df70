import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ChannelPool } from "./channel.ts";

// Guards against missing a reset behind the data because the request's body is still being written.
test("reset with the data of an answer is detected while the request is being written", async (t) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write(
        "HTTP/1.1 200 OK\r\n\r\npart",
        () => socket.resetAndDestroy(),
      );
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const pool = ChannelPool.create({
    address: `127.0.0.1:${port}`,
    connectMs: 500,
    idleMs: 1000,
  });
  const ends: Record<string, number> = {};
  for (let i = 0; i < 20; i++) {
    const exchange = pool.send({
      method: "POST",
      target: "/",
      headers: [],
      body: Buffer.alloc(20 * 1024 * 1024),
    });
    // The blocked process finds the data and the reset at the same time.
    await new Promise((resolve) => setTimeout(resolve, 5));
    const untilMs = Date.now() + 30;
    while (Date.now() < untilMs);
    while (true) {
      const step = await exchange.next(1000);
      if (!step) break;
      if (step.kind === "end" || step.kind === "failed") {
        ends[step.kind] = (ends[step.kind] ?? 0) + 1;
        break;
      }
    }
  }
  assert.deepEqual(ends, { failed: 20 });
});

/** Reads one answer to a request whose body the server does not read, and that arrives all at once. */
async function readEarlyAnswer(
  t: TestContext,
  close: (socket: Socket) => void,
): Promise<string[]> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write("HTTP/1.1 200 OK\r\n\r\nwhole", () => close(socket));
    });
    t.after(() => socket.destroy());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const pool = ChannelPool.create({
    address: `127.0.0.1:${port}`,
    connectMs: 500,
    idleMs: 1000,
  });
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

// Guards against failing an early answer that its server ended in order before it read the request.
test("early answer that ends in order is whole while the request is being written", async (t) => {
  const steps = await readEarlyAnswer(t, (socket) => socket.end());
  assert.deepEqual(steps, ["head", "whole", "end"]);
});

// Guards against taking a reset that follows an orderly end for the end of the answer.
test("early answer is whole if its connection is reset after an orderly end", async (t) => {
  const steps = await readEarlyAnswer(t, (socket) => {
    socket.end(() => setTimeout(() => socket.resetAndDestroy(), 1));
  });
  assert.deepEqual(steps, ["head", "whole", "end"]);
});
