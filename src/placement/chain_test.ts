import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  blockEnds,
  CHAIN_BLOCK_BYTES,
  chainSeed,
  matchedBlocks,
  MAX_POINTS,
  nextKey,
  promptChain,
  scopeId,
  selectPoints,
} from "./chain.ts";

const SCOPE = {
  team: "lakeshore",
  workspace: "salon-1",
  model: "notes",
  adapter: "",
  weightsVersion: "v1",
};
const SEEDED = { seed: 4, numRuns: 200 };
const bytesOf = (text: string) => Buffer.from(text, "utf8");

test("adjacent scope fields are delimited", () => {
  const other = { ...SCOPE, team: "lakeshores", workspace: "alon-1" };
  assert.notEqual(chainSeed(SCOPE), chainSeed(other));
  assert.notEqual(scopeId(SCOPE), scopeId(other));
});

test("each scope field changes every key", () => {
  const prompt = Buffer.alloc(4 * CHAIN_BLOCK_BYTES, "a");
  const own = new Set(promptChain(SCOPE, prompt).keys);
  for (const field of Object.keys(SCOPE)) {
    const other = promptChain({ ...SCOPE, [field]: "x" }, prompt).keys;
    assert.ok([...other].every((key) => !own.has(key)), field);
  }
});

test("equal prefixes have equal keys, blocks after a difference do not", () => {
  const text = "a".repeat(3 * CHAIN_BLOCK_BYTES);
  const one = promptChain(SCOPE, bytesOf(text + "b".repeat(512)));
  const two = promptChain(SCOPE, bytesOf(text + "c".repeat(512)));
  assert.deepEqual(one.keys.slice(0, 3), two.keys.slice(0, 3));
  assert.notEqual(one.keys[3], two.keys[3]);
  assert.notEqual(one.keys[4], two.keys[4]);
});

test("blocks decoded to strings and encoded again have the same keys", () => {
  const text = fc.string({ unit: "binary", maxLength: 900 });
  fc.assert(
    fc.property(text, (value) => {
      const prompt = bytesOf(value);
      const { ends, keys } = promptChain(SCOPE, prompt);
      let key = chainSeed(SCOPE);
      let start = 0;
      for (let i = 0; i < ends.length; i++) {
        const content = prompt.subarray(start, ends[i]).toString("utf8");
        key = nextKey(key, bytesOf(content));
        assert.equal(key, keys[i]);
        start = ends[i]!;
      }
      assert.ok(prompt.length - start < CHAIN_BLOCK_BYTES + 3);
    }),
    SEEDED,
  );
});

test("a block is shorter only to keep a character whole", () => {
  const ends = blockEnds(bytesOf("a" + "\u{1F415}".repeat(200)));
  assert.deepEqual([...ends], [253, 509, 765]);
});

test("points include the levels and the last block", () => {
  const chain = promptChain(SCOPE, Buffer.alloc(100 * CHAIN_BLOCK_BYTES));
  const blocks = selectPoints(chain, [7, 31]).map((point) => point.blocks);
  assert.equal(blocks.length, MAX_POINTS);
  for (const wanted of [7, 31, 100]) assert.ok(blocks.includes(wanted));
  assert.deepEqual(blocks, blocks.toSorted((a, b) => a - b));
});

test("the longest cached prefix is matched", () => {
  const chain = promptChain(SCOPE, Buffer.alloc(20 * CHAIN_BLOCK_BYTES));
  const points = selectPoints(chain, [5]);
  const held = new Set(chain.keys.slice(0, 5));
  assert.equal(matchedBlocks(points, (key) => held.has(key)), 5);
  assert.equal(matchedBlocks(points, () => false), 0);
  assert.equal(matchedBlocks([], () => true), 0);
});

test("points include the shallow levels and the deepest ones", () => {
  const chain = promptChain(SCOPE, Buffer.alloc(100 * CHAIN_BLOCK_BYTES));
  const levels = Array.from({ length: 20 }, (_, i) => 4 * (i + 1));
  const blocks = selectPoints(chain, levels).map((point) => point.blocks);
  assert.deepEqual(blocks, [4, 8, 12, 68, 72, 76, 80, 100]);
});
