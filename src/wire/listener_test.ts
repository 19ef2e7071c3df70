import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../base/mod.ts";
import { type PeerServer, PeerService } from "./gen/cicadahitch.ts";
import { callUnary, ChannelPool, GrpcListener } from "./mod.ts";

const PLAIN = { kind: "plain" } as const;

test("a closed listener answers no calls on open connections", async (context) => {
  const peer: PeerServer = {
    exchange: (call, callback) => callback(null, call.request),
    fetchBranches: (_call, callback) => callback(null, { branches: [] }),
    dumpState: (_call, callback) => callback(null, { json: "{}" }),
  };
  const listener = GrpcListener.create("127.0.0.1:0", PLAIN);
  listener.addService(PeerService, peer);
  await listener.start();
  const pool = ChannelPool.create({ security: PLAIN, clock: systemClock });
  context.after(() => pool.close());
  const lease = pool.acquire(listener.address);
  const dump = () =>
    callUnary(lease.peer.dumpState.bind(lease.peer), {}, { timeoutMs: 1000 });
  assert.equal((await dump()).isOk, true);
  listener.close();
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal((await dump()).isOk, false);
  lease.release();
});
