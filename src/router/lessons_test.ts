import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { silentLog, TestClock } from "./_kit.ts";
import { CacheBook } from "./cache_book.ts";
import { Learner } from "./lessons.ts";

const CHAIN = { salt: "w1", parts: [{ id: "shared", tokens: 4000 }] };

interface Made {
  clock: TestClock;
  cache: CacheBook;
  learner: Learner;
}

function create(controlPort = 0): Made {
  const clock = new TestClock();
  const cache = CacheBook.create(100_000);
  const learner = Learner.create({
    clock,
    log: silentLog,
    controlPort,
    isReady: () => true,
    cacheOf: () => cache,
  });
  return { clock, cache, learner };
}

/** A peer that has run for some time, and knows that one part is cached; returns its port. */
async function peerUpFor(t: TestContext, upForMs: number): Promise<number> {
  const { clock, cache, learner } = create();
  cache.use(CHAIN, 0);
  clock.advance(upForMs);
  const server = createServer((_request, response) => {
    response.end(learner.answer([{ id: "i-1", cache }]));
  });
  await new Promise<void>((resolve) => server.listen(0, "0.0.0.0", resolve));
  t.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

/** Tokens that are known after the first of two peers, and, forgotten meanwhile, after the second. */
async function partsAfterTwoPeers(t: TestContext, upForMs: number) {
  const { cache, learner } = create(await peerUpFor(t, upForMs));
  await learner.meet("127.0.0.1");
  const first = cache.cachedTokens(CHAIN);
  cache.clear();
  await learner.meet("127.0.0.2");
  return { first, second: cache.cachedTokens(CHAIN) };
}

test("what a peer knows that has run for long is enough", async (t) => {
  const { first, second } = await partsAfterTwoPeers(t, 60_000);
  assert.deepEqual({ first, second }, { first: 4000, second: 0 });
});

// Entries that had started together took the few parts that one of them had learned for all there was
// to know ("caches_learned", parts 6), and asked nobody else.
test("after a peer that has just started another one is asked", async (t) => {
  const { first, second } = await partsAfterTwoPeers(t, 100);
  assert.deepEqual({ first, second }, { first: 4000, second: 4000 });
});
