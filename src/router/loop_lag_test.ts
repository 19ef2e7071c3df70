import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { HOST, KEY, sendClientRequest } from "../standin/mod.ts";
import { openWorld, until } from "./_world.ts";

/** Longer than an event-loop turn of a process without backlog. */
const BLOCK_MS = 400;
const CLIENTS = 8;

const REQUEST = [
  "GET /book/a HTTP/1.1",
  `Host: ${HOST}`,
  "Attempt-Id: gone",
  `Authorization: Bearer ${KEY}`,
  "",
  "",
].join("\r\n");

function blockEventLoop(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

test("entry with a large event-loop lag refuses requests without running them", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  const asked = Array.from(
    { length: 40 },
    () => sendClientRequest(world, "/book/a"),
  );
  setImmediate(() => blockEventLoop(BLOCK_MS * 2));
  const answers = await Promise.all(asked);
  const refused = answers.filter(({ status }) => status === 503);
  assert.ok(refused.length > 0);
  assert.ok(refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
  assert.equal(worker.runs.length, answers.length - refused.length);
});

test("request whose client left while the event loop was blocked reaches no server", async (t) => {
  const world = await openWorld(t);
  const worker = await world.worker("i-1");
  // Leaves open connections to the server, over which a request would be sent at once.
  const asked = Array.from(
    { length: CLIENTS },
    () => sendClientRequest(world, "/book/a"),
  );
  await Promise.all(asked);
  const { length } = worker.runs;
  const sockets = Array.from(
    { length: CLIENTS },
    () => connect(world.clientPort, world.ipAddress),
  );
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  for (const socket of sockets) {
    socket.on("error", () => {});
    socket.write(REQUEST, () => socket.destroy());
  }
  setImmediate(() => blockEventLoop(BLOCK_MS));
  await until(() => (world.router.state() as { active: number }).active === 0);
  await Promise.all(
    sockets.map((socket) => socket.closed || once(socket, "close")),
  );
  // The entry may refuse the first requests while its lag is still high.
  await until(async () =>
    (await sendClientRequest(world, "/open/a")).status === 200
  );
  assert.equal(worker.runs.length, length + 1);
});
