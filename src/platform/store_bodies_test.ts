import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { readPage } from "./store_bodies.ts";

const SEED = 20_261_203;

const PROPER = {
  key: "servers/i-1",
  value: Buffer.from("{}").toString("base64"),
  revision: 7,
  created: 5,
  lease: 0,
};

function keysOf(items: unknown[]): string[] {
  const page = readPage({ items, current_rev: 9, more_pages: false });
  return page.entries.map(({ key }) => key);
}

test("item that can't be read leaves the others of its page", () => {
  for (const other of [null, 1, "x", [], {}, { ...PROPER, key: 1 }]) {
    assert.deepEqual(keysOf([other, PROPER, other]), [PROPER.key]);
  }
});

test("item whose value can't be read is there, without a value", () => {
  for (
    const value of [undefined, null, 7, {}, "%%%%", "e30", "e30==", "=e30"]
  ) {
    const other = { ...PROPER, key: "servers/i-2", value };
    const items = [other, PROPER];
    const page = readPage({ items, current_rev: 9, more_pages: false });
    const [unreadable, proper] = page.entries;
    assert.equal(unreadable?.key, "servers/i-2", `${value}`);
    assert.equal(unreadable.value.length, 0, `${value}`);
    assert.equal(proper?.key, PROPER.key);
  }
});

test("items of any kind leave the proper ones beside them", () => {
  const item = fc.oneof(
    fc.jsonValue(),
    fc.dictionary(fc.constantFrom(...Object.keys(PROPER)), fc.jsonValue())
      .map((fields): unknown => ({ ...PROPER, key: "x", ...fields })),
  );
  fc.assert(
    fc.property(fc.array(item), fc.array(item), (before, after) => {
      const keys = keysOf([...before, PROPER, ...after]);
      assert.ok(keys.includes(PROPER.key));
    }),
    { seed: SEED, numRuns: 500 },
  );
});
