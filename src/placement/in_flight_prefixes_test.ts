import assert from "node:assert/strict";
import { test } from "node:test";
import { InFlightPrefixes } from "./in_flight_prefixes.ts";

const SHALLOW = { blocks: 4, key: 1n };
const DEEP = { blocks: 9, key: 2n };

test("a prefix matches while a request with it is in flight", () => {
  const prefixes = InFlightPrefixes.create();
  prefixes.add([SHALLOW, DEEP]);
  prefixes.add([SHALLOW]);
  assert.equal(prefixes.matchedBlocks([SHALLOW, DEEP]), 9);
  prefixes.remove([SHALLOW, DEEP]);
  assert.equal(prefixes.matchedBlocks([SHALLOW, DEEP]), 4);
  prefixes.remove([SHALLOW]);
  assert.equal(prefixes.matchedBlocks([SHALLOW, DEEP]), 0);
  assert.equal(prefixes.size, 0);
});
