import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { PrefixCache, type UnnumberedEvent } from "./_engine_cache.ts";

const SEED = 20_261_204;
const BLOCK_BYTES = 4;
const CAPACITY = 6;

const scopes = fc.record({
  cacheSalt: fc.constantFrom("s1", "s2"),
  model: fc.constantFrom("1", "2").map((weightsVersion) => ({
    model: "notes",
    adapter: "",
    weightsVersion,
  })),
});
/** Prompts from a small alphabet, so that they share prefixes. */
const prompts = fc.array(fc.constantFrom("aaaa", "bbbb", "éé"), {
  maxLength: 9,
})
  .map((parts) => parts.join(""));
const steps = fc.array(fc.record({ scope: scopes, prompt: prompts }), {
  maxLength: 30,
});

test("each cached block has a cached parent, and events match the cache", () => {
  fc.assert(
    fc.property(steps, (steps) => {
      const reportedKeys = new Set<string>();
      const onEvent = (event: UnnumberedEvent) => {
        if (event.kind === "stored") reportedKeys.add(event.blockKey);
        if (event.kind === "removed") reportedKeys.delete(event.blockKey);
      };
      const cache = PrefixCache.create({
        blockBytes: BLOCK_BYTES,
        capacityBlocks: CAPACITY,
        onEvent,
      });
      for (const { scope, prompt } of steps) {
        const chain = cache.split(prompt, scope);
        cache.match(chain);
        cache.store(chain);
        const blocks = cache.list();
        const keys = new Set(blocks.map(({ blockKey }) => blockKey));
        assert.ok(keys.size <= CAPACITY);
        assert.deepEqual([...keys].sort(), [...reportedKeys].sort());
        const listed = new Set([""]);
        for (const { blockKey, parentKey } of blocks) {
          assert.ok(listed.has(parentKey));
          listed.add(blockKey);
        }
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("without eviction, a match is the longest prefix stored in its scope", () => {
  fc.assert(
    fc.property(steps, (steps) => {
      const cache = PrefixCache.create({
        blockBytes: BLOCK_BYTES,
        capacityBlocks: 10_000,
        onEvent: () => {},
      });
      const seen = new Set<string>();
      for (const { scope, prompt } of steps) {
        const scopeKey = JSON.stringify(scope);
        const chain = cache.split(prompt, scope);
        let expected = 0;
        let prefix = "";
        for (const { content } of chain) {
          prefix += content;
          if (seen.has(scopeKey + prefix)) expected = Buffer.byteLength(prefix);
          seen.add(scopeKey + prefix);
        }
        assert.equal(cache.match(chain), expected);
        cache.store(chain);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});
