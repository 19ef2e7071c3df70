import assert from "node:assert/strict";
import { test } from "node:test";
import { InFlightPrefixes } from "./in_flight_prefixes.ts";

const SHALLOW = { blocks: 4, key: 1n };
const DEEP = { blocks: 9, key: 2n };

test("a prefix matches while a request with it is in flight", () => {
  const prefixes = InFlightPrefixes.create();
  prefixes.enter([SHALLOW, DEEP]);
  prefixes.enter([SHALLOW]);
  assert.equal(prefixes.matchedBlocks([SHALLOW, DEEP]), 9);
  prefixes.leave([SHALLOW, DEEP]);
  assert.equal(prefixes.matchedBlocks([SHALLOW, DEEP]), 4);
  prefixes.leave([SHALLOW]);
  assert.equal(prefixes.matchedBlocks([SHALLOW, DEEP]), 0);
  assert.equal(prefixes.size, 0);
});
