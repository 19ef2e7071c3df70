/** Answers that end before the end of their head. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { HttpEngine, HttpService } from "../backends/mod.ts";
import { HttpCaller } from "../platform/http_call.ts";
import { ChannelPool } from "./channel.ts";

const WAIT_MS = 5000;
/** Time between the parts of a head that arrives in two. */
const PART_MS = 2;

/** Heads in full, by how they declare the end of their bodies. */
const HEADS: Record<string, string> = {
  "length last":
    "HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 12\r\n\r\n",
  "length first":
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nserver-seal: s\r\n\r\n",
  "chunks": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx: y\r\n\r\n",
  "end of the connection":
    "HTTP/1.1 200 OK\r\nconnection: close\r\nx: y\r\n\r\n",
  "an older protocol": "HTTP/1.0 200 OK\r\nserver-seal: s\r\n\r\n",
  "no body": "HTTP/1.1 204 None\r\nserver-seal: s\r\n\r\n",
  "an interim answer before":
    "HTTP/1.1 103 Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
};

const ENDS: Record<string, (socket: Socket, bytes: string) => void> = {
  "closed": (socket, bytes) => socket.end(bytes),
  "closed after two parts": (socket, bytes) => {
    const at = bytes.length >> 1;
    socket.write(bytes.slice(0, at));
    setTimeout(() => socket.end(bytes.slice(at)), PART_MS);
  },
  "reset": (socket, bytes) => {
    socket.write(bytes, () => socket.resetAndDestroy());
  },
};

/** Reads one answer; returns whether it looks complete. */
type Client = (address: string) => Promise<boolean>;

const CLIENTS: Record<string, Client> = {
  "a backend server's connection": async (address) => {
    const channels = ChannelPool.create({
      address,
      connectMs: WAIT_MS,
      idleMs: WAIT_MS,
    });
    const request = {
      method: "GET",
      target: "/",
      headers: [],
      body: undefined,
    };
    const exchange = channels.send(request);
    let step = await exchange.next(WAIT_MS);
    while (step && step.kind !== "end" && step.kind !== "failed") {
      step = await exchange.next(WAIT_MS);
    }
    channels.closeIdle();
    return step?.kind === "end";
  },
  "a call to the store or an entry": async (address) => {
    const caller = HttpCaller.create(address, WAIT_MS);
    const call = { path: "/", idleTimeoutMs: WAIT_MS };
    const answer = await caller.send({ method: "GET", ...call });
    await caller.close();
    return answer.isOk;
  },
  "a service beside its agent": async (address) => {
    const service = HttpService.create({ url: `http://${address}` });
    const call = {
      method: "GET",
      path: "/",
      headers: [],
      body: Buffer.alloc(0),
    };
    let isComplete = false;
    for await (const step of service.run(call, new AbortController().signal)) {
      isComplete ||= step.isOk && step.value.kind === "end";
    }
    service.close();
    return isComplete;
  },
  "an engine beside its agent": async (address) => {
    const engine = HttpEngine.create({ url: `http://${address}` });
    const answer = await engine.info();
    engine.close();
    return answer.isOk;
  },
};

async function listen(t: TestContext, answer: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const [clientName, ask] of Object.entries(CLIENTS)) {
  for (const [headName, head] of Object.entries(HEADS)) {
    for (const [endName, end] of Object.entries(ENDS)) {
      // Guards against an empty or short answer that looks complete.
      test(`answer cut in its head is not complete: ${clientName}, ${headName}, ${endName}`, async (t) => {
        let length = 0;
        const address = await listen(t, (socket) => {
          end(socket, head.slice(0, length));
        });
        const complete: string[] = [];
        for (length = 0; length < head.length; length++) {
          if (await ask(address)) complete.push(head.slice(0, length));
        }
        assert.deepEqual(complete, []);
      });
    }
  }
}
