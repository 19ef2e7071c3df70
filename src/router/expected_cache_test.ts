import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type Chain, ExpectedCache } from "./expected_cache.ts";

const SEED = 20_261_202;

function chain(salt: string, ...ids: string[]): Chain {
  return { salt, parts: ids.map((id) => ({ id, tokens: 100 })) };
}

test("only leading parts count", () => {
  const cache = ExpectedCache.create(1000);
  cache.recordPrompt(chain("s", "a", "b"), 0);
  assert.equal(cache.cachedTokens(chain("s", "a", "b", "c")), 200);
  assert.equal(cache.cachedTokens(chain("s", "x", "b")), 0);
});

test("different salts share no parts", () => {
  const cache = ExpectedCache.create(1000);
  cache.recordPrompt(chain("w1", "a"), 0);
  assert.equal(cache.cachedTokens(chain("w2", "a")), 0);
  assert.equal(cache.cachedTokens(chain("w1.t", "a")), 0);
});

test("part is ready once its prefill is complete", () => {
  const cache = ExpectedCache.create(1000);
  cache.recordPrompt(chain("s", "a"), 500);
  assert.equal(cache.cachedTokens(chain("s", "a")), 100);
  assert.equal(cache.readyTokens(chain("s", "a"), 499), 0);
  assert.equal(cache.readyTokens(chain("s", "a"), 500), 100);
});

test("later use keeps a ready part ready", () => {
  const cache = ExpectedCache.create(1000);
  cache.recordPrompt(chain("s", "a"), 100);
  cache.recordPrompt(chain("s", "a"), 900);
  assert.equal(cache.readyTokens(chain("s", "a"), 200), 100);
});

test("parts without prefill are forgotten, ready parts are kept", () => {
  const cache = ExpectedCache.create(1000);
  cache.recordPrompt(chain("s", "a"), 100);
  cache.recordPrompt(chain("s", "a", "b"), 900);
  cache.forget(chain("s", "a", "b"), 200);
  assert.equal(cache.cachedTokens(chain("s", "a", "b")), 100);
});

test("least recently used part is evicted first", () => {
  const cache = ExpectedCache.create(200);
  cache.recordPrompt(chain("s", "a"), 0);
  cache.recordPrompt(chain("s", "b"), 0);
  cache.recordPrompt(chain("s", "a"), 0);
  cache.recordPrompt(chain("s", "c"), 0);
  assert.equal(cache.cachedTokens(chain("s", "a")), 100);
  assert.equal(cache.cachedTokens(chain("s", "b")), 0);
});

test("parts from a peer count as older than local ones", () => {
  const peerCache = ExpectedCache.create(1000);
  peerCache.recordPrompt(chain("s", "a"), 0);
  peerCache.recordPrompt(chain("s", "b"), 0);
  peerCache.recordPrompt(chain("s", "late"), 99);
  const cache = ExpectedCache.create(200);
  cache.recordPrompt(chain("s", "own"), 0);
  cache.mergeParts(peerCache.exportParts(10));
  assert.equal(cache.cachedTokens(chain("s", "own")), 100);
  assert.equal(cache.cachedTokens(chain("s", "b")), 100);
  assert.equal(cache.cachedTokens(chain("s", "a")), 0);
  assert.equal(cache.cachedTokens(chain("s", "late")), 0);
});

test("any sequence of use and forget stays within the capacity", () => {
  const ids = fc.array(fc.constantFrom("a", "b", "c", "d", "e"), {
    minLength: 1,
    maxLength: 4,
  });
  const steps = fc.array(fc.record({ ids, forgets: fc.boolean() }));
  fc.assert(
    fc.property(steps, (taken) => {
      const cache = ExpectedCache.create(300);
      for (const { ids, forgets } of taken) {
        if (forgets) cache.forget(chain("s", ...ids), -1);
        else cache.recordPrompt(chain("s", ...ids), 0);
      }
      const held = cache.exportParts(0);
      return held.reduce((sum, { tokens }) => sum + tokens, 0) <= 300;
    }),
    { seed: SEED },
  );
});
