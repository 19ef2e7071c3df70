import assert from "node:assert/strict";
import { test } from "node:test";
import { ClientMemory, type MemoryAccount } from "./client_memory.ts";

const MAX_BYTES = 1_000_000;

function createMemory() {
  const clock = { ms: 0, nowMs: () => clock.ms };
  const memory = ClientMemory.create({ clock, maxBytes: MAX_BYTES });
  const open = (sizeBytes: number): MemoryAccount => {
    const account = memory.open();
    account.resize(sizeBytes);
    return account;
  };
  return { clock, memory, open };
}

// Guards against a crowd that holds the budget and never leaves: newcomers were refused for as long.
test("large and old accounts are evicted for a new small one", () => {
  const { clock, memory, open } = createMemory();
  const crowd = Array.from({ length: 10 }, () => open(99_000));
  clock.ms = 1000;
  const ordinary = open(20_000);
  assert.ok(!ordinary.isClosed);
  assert.ok(crowd.some(({ isClosed }) => isClosed));
  assert.ok(memory.totalBytes <= MAX_BYTES);
});

// Guards against a crowd that knows that the largest go first, and holds a little on each connection.
test("old accounts are evicted before a new one that is ten times as large", () => {
  const { clock, open } = createMemory();
  const crowd = Array.from({ length: 495 }, () => open(2000));
  clock.ms = 5000;
  const ordinary = open(20_000);
  assert.ok(!ordinary.isClosed);
  assert.ok(crowd.some(({ isClosed }) => isClosed));
});

// Guards against memory beyond the budget where nothing can be evicted.
test("new account is evicted if all others are pinned", () => {
  const { memory, open } = createMemory();
  for (let i = 0; i < 100; i++) memory.admit(open(10_000));
  const last = open(1);
  assert.ok(last.isClosed);
  assert.equal(memory.totalBytes, MAX_BYTES);
});

// Guards against whole bodies that take all of the budget until their requests end.
test("large requests leave room for small ones, and one is admitted in any case", () => {
  const { memory, open } = createMemory();
  const large = open(700_000);
  assert.ok(memory.admit(large));
  assert.ok(!memory.admit(open(100_000)));
  assert.ok(memory.admit(open(10_000)));
  large.close();
  assert.ok(memory.admit(open(100_000)));
});

// Guards against accounts that stay charged: they would use up the budget for good.
test("closed and evicted accounts free their memory", () => {
  const { memory, open } = createMemory();
  const pinned = open(600_000);
  memory.admit(pinned);
  const evicted = open(300_000);
  open(200_000);
  assert.ok(evicted.isClosed);
  pinned.close();
  pinned.close();
  evicted.close();
  assert.equal(memory.totalBytes, 200_000);
});
