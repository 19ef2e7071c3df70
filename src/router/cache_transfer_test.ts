import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { silentLog, TestClock } from "./_kit.ts";
import { ExpectedCache } from "./expected_cache.ts";
import { CacheTransfer } from "./cache_transfer.ts";

const CHAIN = { salt: "w1", parts: [{ id: "shared", tokens: 4000 }] };

interface LearnerSetup {
  clock: TestClock;
  cache: ExpectedCache;
  transfer: CacheTransfer;
}

function create(controlPort = 0): LearnerSetup {
  const clock = new TestClock();
  const cache = ExpectedCache.create(100_000);
  const transfer = CacheTransfer.create({
    clock,
    log: silentLog,
    controlPort,
    isReady: () => true,
    cacheOf: () => cache,
  });
  return { clock, cache, transfer };
}

/** Starts a peer that has run for this long and expects one part in a cache; returns its port. */
async function peerUpFor(t: TestContext, upForMs: number): Promise<number> {
  const { clock, cache, transfer } = create();
  cache.recordPrompt(CHAIN, 0);
  clock.advance(upForMs);
  const server = createServer((_request, response) => {
    response.end(transfer.answer([{ id: "i-1", cache }]));
  });
  await new Promise<void>((resolve) => server.listen(0, "0.0.0.0", resolve));
  t.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

/**
 * Returns the cached tokens known after the first peer and, with the cache cleared in between,
 * after the second.
 */
async function partsAfterTwoPeers(t: TestContext, upForMs: number) {
  const { cache, transfer } = create(await peerUpFor(t, upForMs));
  await transfer.fetchFrom("127.0.0.1");
  const first = cache.cachedTokens(CHAIN);
  cache.clear();
  await transfer.fetchFrom("127.0.0.2");
  return { first, second: cache.cachedTokens(CHAIN) };
}

test("one peer that has run for a while is enough", async (t) => {
  const { first, second } = await partsAfterTwoPeers(t, 60_000);
  assert.deepEqual({ first, second }, { first: 4000, second: 0 });
});

// Entries that started together took the few parts that one of them had learned as complete, and
// did not ask any other peer.
test("another peer is asked after one that has just started", async (t) => {
  const { first, second } = await partsAfterTwoPeers(t, 100);
  assert.deepEqual({ first, second }, { first: 4000, second: 4000 });
});
