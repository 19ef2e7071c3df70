import assert from "node:assert/strict";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { Worker } from "node:worker_threads";
import { systemClock } from "../base/mod.ts";
import { HttpServer, type RequestHandler } from "./http_server.ts";

const CALLERS = 40;
/** Callers that connect at once, and leave 0.3 s later. */
const IMPATIENT = `
  const { parentPort, workerData } = require("node:worker_threads");
  const { connect } = require("node:net");
  const { port, host, count, request } = workerData;
  let left = 0;
  const leave = (socket) => {
    socket.destroy();
    if (++left === count) parentPort.postMessage("left");
  };
  for (let i = 0; i < count; i++) {
    const socket = connect(port, host, () => {
      socket.write(request);
      setTimeout(leave, 300, socket);
    });
    socket.on("error", () => {});
  }
`;
const REQUEST =
  "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

/** Gives the process 20 ms of work in each turn of its loop. */
function keepBusy(t: TestContext): void {
  let isBusy = true;
  t.after(() => {
    isBusy = false;
  });
  const work = () => {
    const endMs = performance.now() + 20;
    while (performance.now() < endMs);
    if (isBusy) setImmediate(work);
  };
  work();
}

// Node accepts one connection in a turn of its loop: callers of a busy entry left while they waited,
// and their requests were served all the same.
test("request whose caller left before it was accepted is not served", async (t) => {
  let served = 0;
  const serve: RequestHandler = (_request, response) => {
    served++;
    response.end();
    return Promise.resolve();
  };
  const server = HttpServer.create({
    address: "127.0.0.1:0",
    clock: systemClock,
    requestTimeoutMs: 5000,
    chat: serve,
    text: serve,
    service: serve,
    models: serve,
    metrics: () => "",
    unreadyReason: () => undefined,
  });
  const address = (await server.start()).unwrapOr("");
  t.after(() => server.close());
  keepBusy(t);
  const [host, port] = address.split(":");
  const callers = new Worker(IMPATIENT, {
    eval: true,
    workerData: { port: Number(port), host, count: CALLERS, request: REQUEST },
  });
  t.after(() => callers.terminate());
  await once(callers, "message");
  const servedInTime = served;
  // Each turn accepts one; the rest read what has come and notice who is gone.
  for (let turn = 0; turn < 3 * CALLERS; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(servedInTime < CALLERS);
  assert.equal(served, servedInTime);
});
