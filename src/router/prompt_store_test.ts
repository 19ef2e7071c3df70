import assert from "node:assert/strict";
import { test } from "node:test";
import { ExpectedCache } from "./expected_cache.ts";
import { type PromptStore, selectStore } from "./prompt_store.ts";

const SUBJECTS = 300;
let nextOwn = 0;

function stores(count: number): PromptStore[] {
  return Array.from({ length: count }, (_, i) => ({
    address: `10.0.0.${i}:80`,
    zone: "a",
    cache: ExpectedCache.create(1000),
    copyMsPerToken: 0.002,
  }));
}

function chain(subject: number) {
  const parts = [
    { id: "firm", tokens: 2000 },
    { id: `subject${subject}`, tokens: 4000 },
    { id: `own${nextOwn++}`, tokens: 1000 },
  ];
  return { salt: "w1", parts };
}

function placed(among: PromptStore[]): string[] {
  return Array.from(
    { length: SUBJECTS },
    (_, subject) => selectStore(among, chain(subject))!.address,
  );
}

test("prompts are spread over all stores", () => {
  // If only one of three stores were used, a fleet could need twice the bandwidth of its link.
  const counts = new Map<string, number>();
  for (const address of placed(stores(3))) {
    counts.set(address, (counts.get(address) ?? 0) + 1);
  }
  assert.equal(counts.size, 3);
  for (const count of counts.values()) assert.ok(count > SUBJECTS / 6);
});

test("requests on the same subject share a store, whatever their own part", () => {
  const among = stores(3);
  assert.deepEqual(placed(among), placed(among.toReversed()));
});

test("only the prompts of a removed store move to another one", () => {
  const three = stores(3);
  const before = placed(three);
  const after = placed(three.slice(0, 2));
  const kept = before.filter((address) => address !== three[2]!.address);
  const same = before.filter((address, i) => address === after[i]);
  assert.equal(same.length, kept.length);
});

test("no store is selected if there are none", () => {
  assert.equal(selectStore([], chain(1)), undefined);
});
