import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { readPage } from "./store_bodies.ts";

const SEED = 20_261_203;

const VALID_ITEM = {
  key: "servers/i-1",
  value: Buffer.from("{}").toString("base64"),
  revision: 7,
  created: 5,
  lease: 0,
};

function keysOf(items: unknown[]): string[] {
  const page = readPage({ items, current_rev: 9, more_pages: false }, 0);
  return page.entries.map(({ key }) => key);
}

test("unreadable item doesn't affect the other items of its page", () => {
  for (const other of [null, 1, "x", [], {}, { ...VALID_ITEM, key: 1 }]) {
    assert.deepEqual(keysOf([other, VALID_ITEM, other]), [VALID_ITEM.key]);
  }
});

test("item with an unreadable value is listed with an empty value", () => {
  for (
    const value of [undefined, null, 7, {}, "%%%%", "e30", "e30==", "=e30"]
  ) {
    const other = { ...VALID_ITEM, key: "servers/i-2", value };
    const items = [other, VALID_ITEM];
    const page = readPage({ items, current_rev: 9, more_pages: false }, 0);
    const [unreadable, valid] = page.entries;
    assert.equal(unreadable?.key, "servers/i-2", `${value}`);
    assert.equal(unreadable.value.length, 0, `${value}`);
    assert.equal(valid?.key, VALID_ITEM.key);
  }
});

test("items with arbitrary content don't affect the valid ones", () => {
  const item = fc.oneof(
    fc.jsonValue(),
    fc.dictionary(fc.constantFrom(...Object.keys(VALID_ITEM)), fc.jsonValue())
      .map((fields): unknown => ({ ...VALID_ITEM, key: "x", ...fields })),
  );
  fc.assert(
    fc.property(fc.array(item), fc.array(item), (before, after) => {
      const keys = keysOf([...before, VALID_ITEM, ...after]);
      assert.ok(keys.includes(VALID_ITEM.key));
    }),
    { seed: SEED, numRuns: 500 },
  );
});
