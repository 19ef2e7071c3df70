import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpService } from "./mod.ts";

async function askCut(t: TestContext, cut: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
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
    body: Buffer.from("x"),
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
