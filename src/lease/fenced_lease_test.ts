import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { extname } from "node:path";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { MemoryStore } from "../store/memory_store.ts";
import type { KeyValueEntry } from "../store/store.ts";
import { FencedLease } from "./fenced_lease.ts";
import { FencingGate } from "./fencing_gate.ts";
import { ManualClock } from "./manual_clock.ts";

const KEY = "/cicadahitch/leases/pool-a";
const LAST_KEY = "/cicadahitch/last/pool-a";
const TTL_MS = 15_000;

function setUp() {
  const clock = ManualClock.create();
  const store = MemoryStore.create({ clock });
  const options = (holderId: string) => ({
    key: KEY,
    holderId,
    ttlMs: TTL_MS,
    clock,
    random: () => 0.5,
  });
  const acquire = (holderId: string) =>
    FencedLease.acquire(store, options(holderId));
  const held = async (holderId: string) => {
    const acquired = await acquire(holderId);
    assert.ok(acquired.isOk);
    return acquired.value;
  };
  const acquireAfter = (holderId: string, known: KeyValueEntry | undefined) =>
    FencedLease.acquire(store, {
      ...options(holderId),
      lastHolder: { key: LAST_KEY, known },
    });
  const heldAfter = async (
    holderId: string,
    known: KeyValueEntry | undefined,
  ) => {
    const acquired = await acquireAfter(holderId, known);
    assert.ok(acquired.isOk);
    return acquired.value;
  };
  return { clock, store, acquire, held, acquireAfter, heldAfter };
}

test("a held lease can't be acquired by another holder", async () => {
  const { acquire, held } = setUp();
  const first = await held("e1");
  assert.equal(first.isHeldFor(1000), true);
  const second = await acquire("e2");
  assert.ok(second.isErr);
  assert.deepEqual(second.error, {
    kind: "held",
    holderId: "e1",
    fencingNumber: first.fencingNumber,
  });
});

test("fencing numbers rise across release, deletion and outage", async () => {
  const { clock, store, held } = setUp();
  const numbers: bigint[] = [];
  for (let round = 0; round < 3; round++) {
    const lease = await held(`e${round}`);
    numbers.push(lease.fencingNumber);
    if (round === 0) await lease.release();
    if (round === 1) await store.commit([], [{ kind: "delete", key: KEY }]);
    store.faults.down = true;
    await clock.advance(TTL_MS * 2);
    store.faults.down = false;
  }
  assert.ok(numbers[0]! < numbers[1]! && numbers[1]! < numbers[2]!);
});

test("a lost answer to the commit is resolved by reading the key", async () => {
  const { store, held } = setUp();
  store.faults.loseNextAnswer = true;
  const lease = await held("e1");
  assert.equal(
    lease.fencingNumber,
    store.table.get(KEY)!.createPosition.revision,
  );
});

test("a lost commit request leaves the lease free", async () => {
  const { store, acquire } = setUp();
  store.faults.loseNextRequest = true;
  assert.ok((await acquire("e1")).isErr);
  assert.ok((await acquire("e2")).isOk);
});

test("acquisition returns the previous holder", async () => {
  const { clock, store, heldAfter } = setUp();
  const before: (string | undefined)[] = [];
  for (const holderId of ["e1", "e1", "e2", "e1"]) {
    const lease = await heldAfter(holderId, store.table.get(LAST_KEY));
    before.push(lease.previous?.holderId);
    await clock.advance(TTL_MS + 1);
  }
  assert.deepEqual(before, [undefined, "e1", "e1", "e2"]);
});

test("record of the last holder tells since when it has been the last holder", async () => {
  const { clock, store, heldAfter } = setUp();
  const since: (number | undefined)[] = [];
  for (const holderId of ["e1", "e1", "e2", "e2", "e1"]) {
    const lease = await heldAfter(holderId, store.table.get(LAST_KEY));
    since.push(lease.previous?.sinceWallMs);
    await clock.advance(TTL_MS + 1);
  }
  const thirdMs = 2 * (TTL_MS + 1);
  assert.deepEqual(since, [undefined, 0, 0, thirdMs, thirdMs]);
});

test("a malformed record of the last holder counts as unknown", async () => {
  const { store, heldAfter } = setUp();
  for (const text of ["{", "7", "null", '{"holderId":1,"sinceWallMs":2}']) {
    const value = new TextEncoder().encode(text);
    await store.commit([], [{ kind: "put", key: LAST_KEY, value }]);
    const lease = await heldAfter("e1", store.table.get(LAST_KEY));
    assert.equal(lease.previous, undefined);
    await lease.release();
  }
});

test("a lost answer to the commit leaves the last holder recorded", async () => {
  const { store, heldAfter } = setUp();
  store.faults.loseNextAnswer = true;
  const lease = await heldAfter("e1", undefined);
  await lease.release();
  const next = await heldAfter("e2", store.table.get(LAST_KEY));
  assert.equal(next.previous?.holderId, "e1");
});

test("an outdated record of the last holder prevents the acquisition", async () => {
  const { clock, store, heldAfter, acquireAfter } = setUp();
  await heldAfter("e1", undefined);
  const outdated = store.table.get(LAST_KEY);
  await clock.advance(TTL_MS + 1);
  const other = await heldAfter("e2", outdated);
  const whileHeld = await acquireAfter("e1", outdated);
  assert.ok(whileHeld.isErr);
  assert.equal(whileHeld.error.kind, "held");
  await other.release();
  const refused = await acquireAfter("e1", outdated);
  assert.ok(refused.isErr);
  assert.deepEqual(refused.error, { kind: "outdated" });
  assert.equal(store.table.get(KEY), undefined);
});

test("validity counts from before the renewal was sent", async () => {
  const { clock, store, held } = setUp();
  const lease = await held("e1");
  store.faults.slowMs = 4000;
  const renewed = lease.renew();
  await clock.advance(4000);
  assert.ok((await renewed).isOk);
  assert.equal(lease.state().validForMs, TTL_MS * 0.9 - 4000);
});

test("a paused holder's lease expires, and the fencing gate refuses its orders", async () => {
  const { clock, held } = setUp();
  const paused = await held("e1");
  await clock.advance(TTL_MS + 1);
  const next = await held("e2");
  assert.equal(paused.isHeldFor(0), false);
  const gate = FencingGate.create();
  assert.equal(gate.admit(KEY, next.fencingNumber), true);
  assert.equal(gate.admit(KEY, paused.fencingNumber), false);
  assert.equal((await paused.renew()).unwrapOr(true), false);
  assert.equal(paused.lost, true);
});

test("a lease expires by the wall clock while the instance is suspended", async () => {
  const { clock, held } = setUp();
  const lease = await held("e1");
  clock.advanceWallClock(TTL_MS);
  assert.equal(lease.isHeldFor(0), false);
});

test("renewals continue after a short outage and stop after a long one", async () => {
  const { clock, store, held } = setUp();
  const lease = await held("e1");
  let ended = false;
  const renewals = lease.keepRenewed(new AbortController().signal)
    .then(() => ended = true);
  await clock.advance(6000);
  store.faults.down = true;
  await clock.advance(4000);
  store.faults.down = false;
  await clock.advance(20_000);
  assert.equal(lease.isHeldFor(5000), true);
  store.faults.down = true;
  await clock.advance(TTL_MS * 2);
  await renewals;
  assert.equal(ended, true);
  assert.equal(lease.isHeldFor(0), false);
});

test("a held lease makes 13 store calls per minute", async () => {
  const { clock, store, held } = setUp();
  const lease = await held("e1");
  const before = store.counters.writes + store.counters.reads;
  const stop = new AbortController();
  void lease.keepRenewed(stop.signal);
  await clock.advance(60_000);
  stop.abort();
  assert.equal(store.counters.writes + store.counters.reads - before, 13);
});

test("a process stopped for longer than its lease resumes without it", async () => {
  assert.equal(await heldAfterPause(400), "false");
});

test("a process stopped for less than its lease resumes with it", async () => {
  assert.equal(await heldAfterPause(3_600_000), "true");
});

async function heldAfterPause(ttlMs: number): Promise<string> {
  const script = `./_paused_holder${extname(import.meta.url)}`;
  const path = fileURLToPath(new URL(script, import.meta.url));
  const args = [...process.execArgv, path, String(ttlMs)];
  const child = spawn(process.execPath, args);
  try {
    const lines = createInterface(child.stdout)[Symbol.asyncIterator]();
    assert.equal((await lines.next()).value, "acquired");
    child.kill("SIGSTOP");
    await delay(600);
    child.kill("SIGCONT");
    child.stdin.write("held?\n");
    return (await lines.next()).value;
  } finally {
    child.kill("SIGKILL");
    await once(child, "exit");
  }
}

// Revisions go back with the store; engines refused the orders of each new holder for a while.
test("fencing numbers rise over a restore of the store", async () => {
  const { store, held } = setUp();
  const copy = store.snapshot();
  for (let i = 0; i < 20; i++) {
    await store.commit([], [{
      kind: "put",
      key: "k",
      value: new Uint8Array(),
    }]);
  }
  const before = await held("e1");
  store.restore(copy);
  const after = await held("e2");
  assert.ok(after.position.revision < before.position.revision);
  assert.ok(after.fencingNumber > before.fencingNumber);
  assert.ok(Number.isSafeInteger(Number(after.fencingNumber)));
});

// The store lease was in the copy and was renewed with success, while its key was gone.
test("lease whose renewal names a newer era is lost", async () => {
  const { clock, store, held } = setUp();
  const granted = store.grantLease;
  let copy = store.snapshot();
  store.grantLease = async (ttlMs) => {
    const answer = await granted.call(store, ttlMs);
    copy = store.snapshot();
    return answer;
  };
  const lease = await held("e1");
  store.restore(copy);
  assert.equal(store.table.get(KEY), undefined);
  const renewed = await lease.renew();
  assert.ok(renewed.isOk);
  assert.equal(renewed.value, false);
  assert.ok(lease.lost);
  assert.equal(lease.isHeldFor(0), false);
  const next = await held("e2");
  assert.ok(next.isHeldFor(1000));
  await clock.advance(1);
  assert.ok(next.fencingNumber > lease.fencingNumber);
});

// The holder went on to give orders until its next renewal.
test("lease is lost as soon as the process knows a newer era", async () => {
  const { clock, store } = setUp();
  let era = 0;
  const acquired = await FencedLease.acquire(store, {
    key: KEY,
    holderId: "e1",
    ttlMs: TTL_MS,
    clock,
    knownEra: () => era,
  });
  assert.ok(acquired.isOk);
  const lease = acquired.value;
  assert.ok(lease.isHeldFor(1000));
  era = 1;
  assert.equal(lease.isHeldFor(0), false);
  assert.ok(lease.isOfEarlierEra && lease.isHeldInItsEra);
  const { writes } = store.counters;
  await lease.keepRenewed(new AbortController().signal);
  assert.equal(store.counters.writes, writes);
});

// A copy that has the key would keep all others from the lease until it expires there.
test("release of a lease of an earlier era frees its key in the copy", async () => {
  const { store, acquire, held } = setUp();
  const lease = await held("e1");
  store.restore(store.snapshot());
  assert.ok((await acquire("e2")).isErr);
  await lease.renew();
  assert.ok((await lease.release()).isOk);
  assert.ok((await held("e2")).isHeldFor(1000));
});

// Ids of leases are given out again, so the id may name the lease of the next holder.
test("release of a lease of an earlier era spares a later holder's", async () => {
  const { store, held } = setUp();
  const copy = store.snapshot();
  const lease = await held("e1");
  store.restore(copy);
  const next = await held("e2");
  await lease.renew();
  await lease.release();
  const value = store.table.get(KEY)?.value;
  assert.ok(value && new TextDecoder().decode(value).includes("e2"));
  assert.equal((await next.renew()).unwrapOr(false), true);
});

// The key would be attached to a lease that is gone, or that another process has got since.
test("lease is not acquired across a restore of the store", async () => {
  const { store, acquire, held } = setUp();
  const { commit } = store;
  const copy = store.snapshot();
  store.commit = async (expect, writes) => {
    store.commit = commit;
    store.restore(copy);
    await store.grantLease(TTL_MS);
    return commit.call(store, expect, writes);
  };
  const failed = await acquire("e1");
  assert.ok(failed.isErr);
  assert.equal(store.table.get(KEY), undefined);
  assert.ok((await held("e1")).isHeldFor(1000));
});
