import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { TestClock, testServer } from "./_kit.ts";
import type { Server } from "./server.ts";
import { type LostRequest, ServerEndDetector } from "./server_end_detector.ts";

/** Longer than a probe takes. */
const PROBE_MS = 400;

interface Setup {
  clock: TestClock;
  detector: ServerEndDetector;
  server: Server;
  /** Ids of the requests under which the server has ended. */
  ended: string[][];
  /** The server's ends of the connections. */
  ends: Socket[];
  stopListening(): void;
}

/** Opens connections to a listening server. */
async function setUp(t: TestContext, count: number): Promise<Setup> {
  const ends: Socket[] = [];
  const listener = createServer((socket) => {
    ends.push(socket.resume().on("error", () => {}));
  });
  listener.listen(0, "127.0.0.1");
  await once(listener, "listening");
  const { port } = listener.address() as AddressInfo;
  const clock = new TestClock();
  const ended: string[][] = [];
  const detector = ServerEndDetector.create({
    clock,
    onEnd: (_server, lost) =>
      ended.push(lost.map(({ requestId }) => requestId)),
    onRefused: () => {},
  });
  const server = testServer("i-1", { address: `127.0.0.1:${port}` });
  const sockets: Socket[] = [];
  t.after(() => {
    for (const socket of [...sockets, ...ends]) socket.destroy();
    listener.close();
  });
  for (let i = 0; i < count; i++) {
    const socket = connect({ port, host: "127.0.0.1" }).resume();
    sockets.push(socket.on("error", () => {}));
    await once(socket, "connect");
    server.channels.connections.add(socket);
  }
  while (ends.length < count) await sleep(1);
  const stopListening = () => listener.close();
  return { clock, detector, server, ended, ends, stopListening };
}

function lostRequest(requestId: string, atMs: number): LostRequest {
  return { requestId, digest: requestId, parts: [], atMs, runMs: 10 };
}

// A process that listened again after 12 ms was taken for the one before, and each of its crashes went
// unnoticed: requests that crash servers cost 13 to 22 crashes in place of 7 to 8.
test("server that accepts connections again counts as ended once it has restarted", async (t) => {
  const { clock, detector, server, ended, ends } = await setUp(t, 2);
  for (const end of ends) end.resetAndDestroy();
  detector.lost(server, lostRequest("a", clock.nowMs()));
  await sleep(PROBE_MS);
  detector.lost(server, lostRequest("b", clock.nowMs()));
  await sleep(PROBE_MS);
  assert.deepEqual(ended, []);
  detector.left(server);
  assert.deepEqual(ended, [["a", "b"]]);
  detector.left(server);
  assert.equal(ended.length, 1);
});

// A process that lives on would be blamed on the requests whose connections it had reset before.
test("server whose other connection stayed open doesn't count as ended later", async (t) => {
  const { clock, detector, server, ended, ends } = await setUp(t, 2);
  ends[0]!.resetAndDestroy();
  await sleep(10);
  detector.lost(server, lostRequest("a", clock.nowMs()));
  await sleep(PROBE_MS);
  detector.left(server);
  assert.deepEqual(ended, []);
});

// A server that resets a connection and is replaced much later has not ended under the request.
test("restart long after a lost connection is no end under its request", async (t) => {
  const { clock, detector, server, ended, ends } = await setUp(t, 1);
  ends[0]!.resetAndDestroy();
  detector.lost(server, lostRequest("a", clock.nowMs()));
  await sleep(PROBE_MS);
  clock.advance(5001);
  detector.left(server);
  assert.deepEqual(ended, []);
});

// Requests that a live server had reset earlier would be blamed for its later end.
test("refused connection blames only the requests that were lost with it", async (t) => {
  const { clock, detector, server, ended, ends, stopListening } = await setUp(
    t,
    2,
  );
  for (const end of ends) end.resetAndDestroy();
  detector.lost(server, lostRequest("a", clock.nowMs()));
  await sleep(PROBE_MS);
  stopListening();
  detector.lost(server, lostRequest("b", clock.nowMs()));
  await sleep(PROBE_MS);
  assert.deepEqual(ended, [["b"]]);
  detector.left(server);
  assert.equal(ended.length, 1);
});
