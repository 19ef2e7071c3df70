import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
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
