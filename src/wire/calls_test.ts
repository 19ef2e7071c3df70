import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { type ClientUnaryCall, type ServiceError, status } from "@grpc/grpc-js";
import { systemClock } from "../base/mod.ts";
import { callUnary, ChannelPool, type UnaryMethod } from "./mod.ts";

test("a call on a closed channel returns a failure and counts as not sent", async () => {
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

// Under load, requests were refused as `no_servers`, as calls timed out although their answers had
// arrived but had not been read yet.
test("an answer that arrived while the process was paused does not count as late", async (t) => {
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
  // The gRPC library also implements its deadline as a timer.
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
