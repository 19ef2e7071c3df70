import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { type ClientUnaryCall, type ServiceError, status } from "@grpc/grpc-js";
import { systemClock } from "../base/mod.ts";
import { callUnary, ChannelPool, type UnaryMethod } from "./mod.ts";

test("a call on a closed channel is an answer, and counts as not sent", async () => {
  const pool = ChannelPool.create({
    security: { kind: "plain" },
    clock: systemClock,
  });
  const { peer } = pool.acquire("127.0.0.1:1");
  pool.close();
  const answer = await callUnary(peer.dumpState.bind(peer), {}, {
    timeoutMs: 1000,
  });
  assert.equal(answer.isErr && answer.error.kind, "unreachable");
});

// Beside load, calls were refused as `no_servers`: asks counted as late whose answers lay unread.
test("an answer that came while the process stood still is not taken for late", async (t) => {
  const peer = new Worker(
    `const { parentPort } = require("node:worker_threads");
    const server = require("node:net").createServer((socket) => {
      setTimeout(() => socket.write("answer"), 50);
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));`,
    { eval: true },
  );
  t.after(() => peer.terminate());
  const [port] = await once(peer, "message");
  const socket = connect(port, "127.0.0.1");
  t.after(() => socket.destroy());
  await once(socket, "connect");
  // As the library does: its deadline is a timer.
  const method: UnaryMethod<string, string> = (
    _request,
    _metadata,
    { deadline },
    callback,
  ) => {
    const end = (code: status) =>
      callback({ code, details: "" } as ServiceError, "");
    const timer = deadline === undefined ? undefined : setTimeout(
      end,
      Number(deadline) - Date.now(),
      status.DEADLINE_EXCEEDED,
    );
    socket.once("data", (bytes: Buffer) => {
      clearTimeout(timer);
      callback(null, String(bytes));
    });
    return { cancel: () => end(status.CANCELLED) } as ClientUnaryCall;
  };
  const answer = callUnary(method, "ask", { timeoutMs: 200 });
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 500);
  assert.equal((await answer).unwrapOr("late"), "answer");
});
