import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CacheBook, type Chain } from "./cache_book.ts";

const SEED = 20_261_202;

function chain(salt: string, ...ids: string[]): Chain {
  return { salt, parts: ids.map((id) => ({ id, tokens: 100 })) };
}

test("only leading parts count", () => {
  const book = CacheBook.create(1000);
  book.use(chain("s", "a", "b"), 0);
  assert.equal(book.cachedTokens(chain("s", "a", "b", "c")), 200);
  assert.equal(book.cachedTokens(chain("s", "x", "b")), 0);
});

test("different salts share no parts", () => {
  const book = CacheBook.create(1000);
  book.use(chain("w1", "a"), 0);
  assert.equal(book.cachedTokens(chain("w2", "a")), 0);
  assert.equal(book.cachedTokens(chain("w1.t", "a")), 0);
});

test("part is ready once its prefill is complete", () => {
  const book = CacheBook.create(1000);
  book.use(chain("s", "a"), 500);
  assert.equal(book.cachedTokens(chain("s", "a")), 100);
  assert.equal(book.readyTokens(chain("s", "a"), 499), 0);
  assert.equal(book.readyTokens(chain("s", "a"), 500), 100);
});

test("later use keeps a ready part ready", () => {
  const book = CacheBook.create(1000);
  book.use(chain("s", "a"), 100);
  book.use(chain("s", "a"), 900);
  assert.equal(book.readyTokens(chain("s", "a"), 200), 100);
});

test("parts without prefill are forgotten, ready parts are kept", () => {
  const book = CacheBook.create(1000);
  book.use(chain("s", "a"), 100);
  book.use(chain("s", "a", "b"), 900);
  book.forget(chain("s", "a", "b"), 200);
  assert.equal(book.cachedTokens(chain("s", "a", "b")), 100);
});

test("least recently used part is evicted first", () => {
  const book = CacheBook.create(200);
  book.use(chain("s", "a"), 0);
  book.use(chain("s", "b"), 0);
  book.use(chain("s", "a"), 0);
  book.use(chain("s", "c"), 0);
  assert.equal(book.cachedTokens(chain("s", "a")), 100);
  assert.equal(book.cachedTokens(chain("s", "b")), 0);
});

test("parts from a peer count as older than local ones", () => {
  const teacher = CacheBook.create(1000);
  teacher.use(chain("s", "a"), 0);
  teacher.use(chain("s", "b"), 0);
  teacher.use(chain("s", "late"), 99);
  const book = CacheBook.create(200);
  book.use(chain("s", "own"), 0);
  book.learn(teacher.teach(10));
  assert.equal(book.cachedTokens(chain("s", "own")), 100);
  assert.equal(book.cachedTokens(chain("s", "b")), 100);
  assert.equal(book.cachedTokens(chain("s", "a")), 0);
  assert.equal(book.cachedTokens(chain("s", "late")), 0);
});

test("any sequence of use and forget stays within the capacity", () => {
  const ids = fc.array(fc.constantFrom("a", "b", "c", "d", "e"), {
    minLength: 1,
    maxLength: 4,
  });
  const steps = fc.array(fc.record({ ids, forgets: fc.boolean() }));
  fc.assert(
    fc.property(steps, (taken) => {
      const book = CacheBook.create(300);
      for (const { ids, forgets } of taken) {
        if (forgets) book.forget(chain("s", ...ids), -1);
        else book.use(chain("s", ...ids), 0);
      }
      const held = book.teach(0);
      return held.reduce((sum, { tokens }) => sum + tokens, 0) <= 300;
    }),
    { seed: SEED },
  );
});
