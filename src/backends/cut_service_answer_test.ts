import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpService } from "./mod.ts";

async function askCut(
  t: TestContext,
  cut: (socket: Socket) => void,
  bodyBytes = 1,
) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write("HTTP/1.1 200 OK\r\n\r\npart", () => cut(socket));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const service = HttpService.create({ url: `http://127.0.0.1:${port}` });
  t.after(() => {
    service.close();
    server.close();
  });
  const kinds: string[] = [];
  const { signal } = new AbortController();
  const call = {
    method: "POST",
    path: "/",
    headers: [],
    body: Buffer.alloc(bodyBytes),
  };
  for await (const step of service.run(call, signal)) {
    kinds.push(step.isOk ? step.value.kind : step.error.kind);
  }
  return kinds;
}

// Guards against declaring an answer complete whose connection was reset.
test("answer without a length that is reset at once has no end", async (t) => {
  const kinds = await askCut(t, (socket) => socket.resetAndDestroy());
  assert.equal(kinds.at(-1), "broken");
});

test("answer without a length that is reset later has no end", async (t) => {
  const kinds = await askCut(t, (socket) => {
    void sleep(50).then(() => socket.resetAndDestroy());
  });
  assert.equal(kinds.at(-1), "broken");
});

// Guards against missing a reset because the request's body is still being written.
test("answer without a length that is reset during the request has no end", async (t) => {
  const kinds = await askCut(
    t,
    (socket) => socket.resetAndDestroy(),
    20 * 1024 * 1024,
  );
  assert.equal(kinds.at(-1), "broken");
});

// Guards against failing an early answer that its server ended in order before it read the request.
test("answer without a length that ends in order during the request is whole", async (t) => {
  const kinds = await askCut(t, (socket) => socket.end(), 20 * 1024 * 1024);
  assert.equal(kinds.at(-1), "end");
});
