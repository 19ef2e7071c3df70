import assert from "node:assert/strict";
import { test } from "node:test";
import { positionAt } from "../store/position.ts";
import type { StoreFailure, Write } from "../store/store.ts";
import { item, page, start } from "./_scripted_store.ts";
import type { PlatformStore } from "./store.ts";

const WRITES: Write[] = [{ kind: "put", key: "k", value: new Uint8Array() }];

function watched(revision: number, ...events: object[]): object {
  return { events, current_rev: revision };
}

/** Runs a watch until it fails. */
async function failureOf(
  store: PlatformStore,
  era: number,
): Promise<{ steps: number; failure?: StoreFailure }> {
  let steps = 0;
  const { signal } = new AbortController();
  for await (const step of store.watch("", positionAt(era, 5n), signal)) {
    if (step.isErr) return { steps, failure: step.error };
    steps++;
  }
  return { steps };
}

// Positions of a restored store would compare as older than those of the store before.
test("answers carry the era that the store names, 0 if it names none", async (t) => {
  const { store } = await start(t, [
    { body: page(7, item("k", 6)) },
    { era: 3, body: page(2, item("k", 1)) },
    { era: 3, body: item("k", 1) },
    { era: 3, body: { revision: 3 } },
    { era: 3, status: 412, body: { items: [item("k", 3)] } },
    { era: 3, body: { lease: 9, ttl_ms: 1000 } },
  ]);
  const before = await store.list("");
  assert.ok(before.isOk);
  assert.deepEqual(before.value.position, positionAt(0, 7n));
  const listed = await store.list("");
  assert.ok(listed.isOk);
  assert.deepEqual(listed.value.position, positionAt(3, 2n));
  assert.deepEqual(listed.value.entries[0]?.modPosition, positionAt(3, 1n));
  const found = await store.get("k");
  assert.deepEqual(
    found.isOk && found.value?.createPosition,
    positionAt(3, 1n),
  );
  const committed = await store.commit([], WRITES);
  assert.deepEqual(
    committed.isOk && committed.value.position,
    positionAt(3, 3n),
  );
  const refused = await store.commit([], WRITES);
  assert.deepEqual(refused.isOk && refused.value.position, positionAt(3, 3n));
  const lease = await store.grantLease(1000);
  assert.equal(lease.isOk && lease.value.era, 3);
});

// Half of the keys would be of the state before the restore, and no watch would deliver the rest.
test("pages of two eras are no listing", async (t) => {
  const first = { ...page(7, item("a", 6)), more_pages: true };
  const { store } = await start(t, [
    { era: 1, body: first },
    { era: 2, body: page(5, item("b", 4)) },
  ]);
  const listed = await store.list("");
  assert.ok(listed.isErr);
  assert.deepEqual(listed.error, {
    kind: "era_changed",
    era: 2,
    mayHaveEffect: false,
  });
});

// A watch that goes on in a restored store misses what was changed below its revision.
test("poll that is answered in another era ends the watch", async (t) => {
  const changed = { kind: "era_changed", era: 2, mayHaveEffect: false };
  for (const status of [200, 410, 503]) {
    const { store } = await start(t, [
      { era: 1, body: watched(5, item("a", 5)) },
      { era: 2, status, body: watched(9, item("b", 9)) },
    ]);
    const { steps, failure } = await failureOf(store, 1);
    assert.equal(steps, 2);
    assert.deepEqual(failure, changed);
  }
});

// A refusal is the first answer that a busy restored store gives.
test("era of a refusal ends a watch of the era before without a call", async (t) => {
  const { store, requests } = await start(t, [{ era: 2, status: 429 }]);
  assert.ok((await store.get("k")).isErr);
  const { failure } = await failureOf(store, 1);
  assert.equal(failure?.kind, "era_changed");
  assert.equal(requests.length, 1);
});

// Lost history within an era is no restore: what was written is still there.
test("gone history of the same era is compaction", async (t) => {
  const { store } = await start(t, [{ era: 2, status: 410 }]);
  const { failure } = await failureOf(store, 2);
  assert.equal(failure?.kind, "compacted");
});

// The revision may name another write by now, so the condition could hold by chance.
test("commit on a position of an earlier era is refused without a call", async (t) => {
  const { store, requests } = await start(t, [{ era: 2, body: page(9) }]);
  await store.list("");
  const expect = [
    { key: "a", modPosition: positionAt(2, 8n) },
    { key: "b", modPosition: positionAt(1, 8n) },
  ];
  const outcome = await store.commit(expect, WRITES);
  assert.ok(outcome.isErr);
  assert.deepEqual(outcome.error, {
    kind: "era_changed",
    era: 2,
    mayHaveEffect: false,
  });
  assert.equal(requests.length, 1);
});

// The restored store compared the revision with another write than the caller had read.
test("commit that a newer era accepts doesn't count as conditional", async (t) => {
  const { store } = await start(t, [
    { era: 2, body: { revision: 9 } },
    { era: 3, body: { revision: 4 } },
  ]);
  const expect = [{ key: "k", modPosition: positionAt(1, 8n) }];
  const outcome = await store.commit(expect, WRITES);
  assert.ok(outcome.isErr);
  assert.deepEqual(outcome.error, {
    kind: "era_changed",
    era: 2,
    mayHaveEffect: true,
  });
  const unread = [{ key: "k", modPosition: undefined }];
  const created = await store.commit(unread, WRITES);
  assert.deepEqual(created.isOk && created.value.position, positionAt(3, 4n));
});

// The caller learns what the key holds now, and at which position of the new era.
test("conflict in a newer era gives the entries of that era", async (t) => {
  const body = { items: [item("k", 3)], current_rev: 6 };
  const { store } = await start(t, [{ era: 2, status: 412, body }]);
  const expect = [{ key: "k", modPosition: positionAt(1, 8n) }];
  const outcome = await store.commit(expect, WRITES);
  assert.ok(outcome.isOk && outcome.value.kind === "conflict");
  assert.deepEqual(outcome.value.position, positionAt(2, 6n));
  assert.deepEqual(
    outcome.value.current[0]?.modPosition,
    positionAt(2, 3n),
  );
});

// A slow answer from before the restore would bring back what is lost.
test("answer that one of a newer era has overtaken is not used", async (t) => {
  let release = () => {};
  const after = new Promise<void>((resolve) => release = resolve);
  const { store, requests } = await start(t, [
    { era: 1, body: page(9, item("k", 9)), after },
    { era: 2, body: page(4) },
  ]);
  const slow = store.list("");
  while (requests.length === 0) await nextTurn();
  assert.ok((await store.list("")).isOk);
  release();
  const overtaken = await slow;
  assert.ok(overtaken.isErr);
  assert.equal(overtaken.error.kind, "unavailable");
});

// A commit or lease of the era before may be lost, so neither counts as made.
test("write that was accepted before the restore counts as unknown", async (t) => {
  let release = () => {};
  const after = new Promise<void>((resolve) => release = resolve);
  const { store, requests } = await start(t, [
    { era: 1, body: { revision: 9 }, after },
    { era: 1, body: { lease: 9, ttl_ms: 1000 }, after },
    { era: 2, body: page(4) },
  ]);
  const committed = store.commit([], WRITES);
  while (requests.length < 1) await nextTurn();
  const granted = store.grantLease(1000);
  while (requests.length < 2) await nextTurn();
  assert.ok((await store.list("")).isOk);
  release();
  for (const outcome of [await committed, await granted]) {
    assert.ok(outcome.isErr);
    assert.deepEqual(outcome.error, {
      kind: "era_changed",
      era: 2,
      mayHaveEffect: true,
    });
  }
});

// An unreadable era taken for none would make the answer look like one of the last release's store.
test("answer with a malformed era is no answer", async (t) => {
  const { store } = await start(t, [
    { era: "two", body: page(4) },
    { era: "-1", body: { revision: 4 } },
  ]);
  const listed = await store.list("");
  assert.ok(listed.isErr && listed.error.kind === "unavailable");
  const outcome = await store.commit([], WRITES);
  assert.ok(outcome.isErr && outcome.error.kind === "effect_unknown");
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
