import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { DEFAULT_SHARES } from "../base/memory_shares.ts";
import { HeldAnswers } from "./held_answers.ts";
import { abortResponse, ResponseSink } from "./response_sink.ts";
import { onReset } from "../base/socket_reset.ts";

const HELD = HeldAnswers.create({
  maxBytes: DEFAULT_SHARES.heldBytes,
  abort: abortResponse,
});

// Guards against a listener leak: each write that waited for the client left its listeners behind.
test("sink removes the listeners of completed writes", async () => {
  const response = Object.assign(new EventEmitter(), {
    write: () => false,
    writableFinished: false,
  });
  const sink = new ResponseSink(
    response as unknown as ServerResponse,
    () => false,
    HELD,
  );
  const listeners = () =>
    ["close", "drain", "error"].map((name) => response.listenerCount(name));
  const before = listeners();
  for (let i = 0; i < 20; i++) {
    const written = sink.write(Buffer.from("a"));
    response.emit("drain");
    await written;
  }
  assert.deepEqual(listeners(), before);
});

// Guards against ending an answer without a declared end by a close, which would make it look whole.
test("abort of an answer that ends with its connection resets the connection", async (t) => {
  const server = createServer((_request, response) => {
    const sink = new ResponseSink(response, () => false, HELD);
    sink.begin({ status: 200, headers: [], isFramed: false });
    void sink.write(Buffer.from("part"));
    setImmediate(() => sink.abortAnswer());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: "127.0.0.1" }).resume();
  const isReset = new Promise((resolve) => {
    onReset(socket, () => resolve(true));
    socket.once("close", () => setImmediate(resolve, false));
  });
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  assert.ok(await isReset);
});

test("answer that ends with its connection has neither a length nor chunks", async (t) => {
  const server = createServer((_request, response) => {
    const sink = new ResponseSink(response, () => false, HELD);
    const head = { status: 200, headers: [], isFramed: false };
    sink.send(head, Buffer.from("whole"));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: "127.0.0.1" });
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  const text = (await socket.toArray()).join("");
  assert.match(text, /\r\nconnection: close\r\n/i);
  assert.doesNotMatch(text, /content-length|transfer-encoding/i);
  assert.ok(text.endsWith("\r\n\r\nwhole"));
});
