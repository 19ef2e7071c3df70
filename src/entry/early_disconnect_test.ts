import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import { blockEventLoop, sendAndDisconnect } from "../standin/mod.ts";
import { testClientMemory } from "./_fixture.ts";
import { HttpServer, type RequestHandler } from "./http_server.ts";

const CALLERS = 40;
/** Blocking work in each event-loop turn, in ms. */
const TURN_MS = 20;
const REQUEST =
  "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

// Node accepts one connection per event-loop turn. Callers of a busy entry disconnected while they
// waited to be accepted, but their requests were still served.
test("request is not served if its caller disconnected before it was accepted", async (t) => {
  let served = 0;
  const serve: RequestHandler = (_request, response) => {
    served++;
    response.end();
    return Promise.resolve();
  };
  const server = HttpServer.create({
    address: "127.0.0.1:0",
    clock: systemClock,
    log: createSilentLogger(),
    requestTimeoutMs: 5000,
    memory: testClientMemory(),
    chat: serve,
    text: serve,
    service: serve,
    models: serve,
    metrics: () => "",
    unreadyReason: () => undefined,
  });
  const address = (await server.start()).unwrapOr("");
  t.after(() => server.close());
  t.after(blockEventLoop(TURN_MS));
  const [ipAddress = "", port] = address.split(":");
  await sendAndDisconnect({
    ipAddress,
    port: Number(port),
    count: CALLERS,
    request: REQUEST,
  });
  const servedInTime = served;
  // Each turn accepts one connection; further turns read its data and detect the disconnect.
  for (let turn = 0; turn < 3 * CALLERS; turn++) await nextTurn();
  assert.ok(servedInTime < CALLERS);
  assert.equal(served, servedInTime);
});
