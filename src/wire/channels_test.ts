import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../base/mod.ts";
import { callUnary, ChannelPool, GrpcListener } from "./mod.ts";
import { type PeerServer, PeerService } from "./gen/cicadahitch.ts";
import type { WireSecurity } from "./security.ts";
import {
  AUTHORITY_PEM,
  PROCESS_CERTIFICATE_PEM,
  PROCESS_KEY_PEM,
  UNTRUSTED_CERTIFICATE_PEM,
  UNTRUSTED_KEY_PEM,
} from "./_test_certificates.ts";

const PLAIN: WireSecurity = { kind: "plain" };
const TOKEN: WireSecurity = { kind: "token", token: "right" };
const WRONG_TOKEN: WireSecurity = { kind: "token", token: "wrong" };
const UNUSED_ADDRESS = "127.0.0.1:1";

async function listen(security: WireSecurity): Promise<GrpcListener> {
  const peer: PeerServer = {
    exchange: (call, callback) => callback(null, call.request),
    fetchBranches: (_call, callback) => callback(null, { branches: [] }),
    dumpState: (_call, callback) => callback(null, { json: "{}" }),
  };
  const listener = GrpcListener.create("127.0.0.1:0", security);
  listener.addService(PeerService, peer);
  (await listener.start()).unwrapOrElse((failure) => {
    throw new Error(failure.message);
  });
  return listener;
}

function tls(certificate: string, key: string): WireSecurity {
  return {
    kind: "tls",
    certificatePem: Buffer.from(certificate),
    keyPem: Buffer.from(key),
    authorityPem: Buffer.from(AUTHORITY_PEM),
  };
}

function dump(pool: ChannelPool, address: string) {
  const lease = pool.acquire(address);
  return callUnary(lease.peer.dumpState.bind(lease.peer), {}, {
    timeoutMs: 5000,
  }).finally(() => lease.release());
}

test("calls without the right token are rejected", async () => {
  const listener = await listen(TOKEN);
  const right = ChannelPool.create({ security: TOKEN, clock: systemClock });
  const wrong = ChannelPool.create({
    security: WRONG_TOKEN,
    clock: systemClock,
  });
  const none = ChannelPool.create({ security: PLAIN, clock: systemClock });
  assert.equal((await dump(right, listener.address)).isOk, true);
  for (const pool of [wrong, none]) {
    const answer = await dump(pool, listener.address);
    assert.equal(answer.isErr && answer.error.kind, "rejected");
  }
  for (const pool of [right, wrong, none]) pool.close();
  listener.close();
});

test("both sides check that the authority signed the certificate", async () => {
  const trusted = tls(PROCESS_CERTIFICATE_PEM, PROCESS_KEY_PEM);
  const untrusted = tls(UNTRUSTED_CERTIFICATE_PEM, UNTRUSTED_KEY_PEM);
  const listener = await listen(trusted);
  const untrustedListener = await listen(untrusted);
  const pool = ChannelPool.create({ security: trusted, clock: systemClock });
  const untrustedPool = ChannelPool.create({
    security: untrusted,
    clock: systemClock,
  });
  const plain = ChannelPool.create({ security: PLAIN, clock: systemClock });
  assert.equal((await dump(pool, listener.address)).isOk, true);
  assert.equal((await dump(pool, untrustedListener.address)).isOk, false);
  assert.equal((await dump(untrustedPool, listener.address)).isOk, false);
  assert.equal((await dump(plain, listener.address)).isOk, false);
  for (const each of [pool, untrustedPool, plain]) each.close();
  listener.close();
  untrustedListener.close();
});

test("a call on a refused connection counts as not sent", async () => {
  const pool = ChannelPool.create({ security: PLAIN, clock: systemClock });
  const answer = await dump(pool, UNUSED_ADDRESS);
  assert.equal(answer.isErr && answer.error.kind, "unreachable");
  pool.close();
});

test("replace opens one new channel for all users", async () => {
  const listener = await listen(PLAIN);
  const pool = ChannelPool.create({ security: PLAIN, clock: systemClock });
  const first = pool.acquire(listener.address);
  const second = pool.acquire(listener.address);
  assert.equal(first.peer, second.peer);
  const fresh = pool.replace(first);
  assert.notEqual(fresh.peer, first.peer);
  assert.equal(pool.replace(second).peer, fresh.peer);
  assert.deepEqual(pool.counts, { open: 1, retired: 0, opened: 2 });
  assert.equal((await dump(pool, listener.address)).isOk, true);
  pool.close();
  listener.close();
});

test("channels are bounded, and idle channels are closed", () => {
  let nowMs = 0;
  const pool = ChannelPool.create({
    security: PLAIN,
    clock: { ...systemClock, nowMs: () => nowMs },
    maxChannels: 2,
    idleMs: 1000,
  });
  const busy = pool.acquire("127.0.0.1:1");
  pool.acquire("127.0.0.1:2").release();
  pool.acquire("127.0.0.1:3").release();
  assert.equal(pool.counts.open, 2);
  nowMs = 2000;
  pool.closeIdle();
  assert.equal(pool.counts.open, 1);
  busy.release();
  nowMs = 4000;
  pool.closeIdle();
  assert.equal(pool.counts.open, 0);
  pool.close();
});
