import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { until } from "./_world.ts";
import { ServerConnections } from "./server_connections.ts";
import { CRASH_SETTLE_MS } from "./try_connect.ts";

interface Setup {
  connections: ServerConnections;
  /** This end of the connections. */
  sockets: Socket[];
  /** The server's ends of the connections, in the order in which they were opened. */
  ends: Socket[];
  stopListening(): void;
}

/** Opens connections to a server that accepts all, and closes the first one in order. */
async function open(t: TestContext, count: number): Promise<Setup> {
  const ends: Socket[] = [];
  const server = createServer((socket) => ends.push(socket.resume()));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const connections = ServerConnections.create(`127.0.0.1:${port}`);
  const sockets: Socket[] = [];
  t.after(() => {
    for (const socket of [...sockets, ...ends]) socket.destroy();
    server.close();
  });
  for (let i = 0; i < count; i++) {
    const socket = connect({ port, host: "127.0.0.1" }).resume();
    sockets.push(socket);
    await once(socket, "connect");
    connections.add(socket);
  }
  while (ends.length < count) await once(server, "connection");
  const ended = once(sockets[0]!, "end");
  ends[0]!.end();
  await ended;
  return { connections, sockets, ends, stopListening: () => server.close() };
}

test("server whose other connection stays open lives on", async (t) => {
  const { connections, stopListening } = await open(t, 2);
  stopListening();
  assert.equal(await connections.stateAfterEnd(), "alive");
});

// Guards against taking answers that end their connections at the same time for a crash.
test("server whose connections all end at once is unclear if its address accepts", async (t) => {
  const { connections, ends } = await open(t, 3);
  for (const end of ends) end.end();
  assert.equal(await connections.stateAfterEnd(), "unclear");
});

test("server whose connections all end at once has ended if its address refuses", async (t) => {
  const { connections, ends, stopListening } = await open(t, 3);
  stopListening();
  for (const end of ends) end.end();
  assert.equal(await connections.stateAfterEnd(), "ended");
});

test("server without other connections is unclear if its address accepts", async (t) => {
  const { connections } = await open(t, 1);
  assert.equal(await connections.stateAfterEnd(), "unclear");
});

test("server whose address refuses connections has ended", async (t) => {
  const { connections, stopListening } = await open(t, 1);
  stopListening();
  assert.equal(await connections.stateAfterEnd(), "ended");
});

// Guards against taking a connection for a sign of life whose end is behind unread data.
test("server that has ended isn't alive for a connection with unread data", async (t) => {
  const { connections, sockets, ends, stopListening } = await open(t, 2);
  sockets[1]!.pause();
  ends[1]!.write("x");
  await until(() => sockets[1]!.readableLength > 0);
  stopListening();
  ends[1]!.end();
  assert.equal(await connections.stateAfterEnd(), "ended");
});

// Guards against taking a connection for a sign of life whose end arrived during a stall.
test("server that ends while this process stalls has ended", async (t) => {
  const { connections, ends, stopListening } = await open(t, 2);
  const state = connections.stateAfterEnd();
  ends[1]!.destroy();
  stopListening();
  const stalled = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(stalled, 0, 0, 2 * CRASH_SETTLE_MS);
  assert.equal(await state, "ended");
});
