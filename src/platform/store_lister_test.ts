import assert from "node:assert/strict";
import { test } from "node:test";
import { positionAt } from "../store/position.ts";
import { CALL_MS, item, page, start } from "./_scripted_store.ts";

const REFUSED = { status: 503 };

function morePages(revision: number, ...items: object[]): object {
  return { ...page(revision, ...items), more_pages: true };
}

/** Keys after which the requested pages start; undefined for a first page. */
function cursorsOf(requests: string[]): (string | undefined)[] {
  return requests.map((target) =>
    new URL(target, "http://store").searchParams.get("after") ?? undefined
  );
}

// Each failed page repeated all pages before it, at a store that was short of capacity already.
test("listing goes on at the page that failed", async (t) => {
  const { store, requests } = await start(t, [
    { body: morePages(7, item("a", 6)) },
    REFUSED,
    { body: morePages(9, item("b", 8)) },
    REFUSED,
    { body: page(12, item("c", 3)) },
    { body: page(13) },
  ]);
  assert.ok((await store.list("")).isErr);
  assert.ok((await store.list("")).isErr);
  const listed = await store.list("");
  assert.ok(listed.isOk);
  assert.deepEqual(listed.value.entries.map(({ key }) => key), ["a", "b", "c"]);
  // A watch from a later page's position would miss changes of the pages before.
  assert.deepEqual(listed.value.position, positionAt(0, 7n));
  assert.ok((await store.list("")).isOk);
  const cursors = [undefined, "a", "a", "b", "b", undefined];
  assert.deepEqual(cursorsOf(requests), cursors);
});

// Half of the keys would be of the state before the restore, and no watch would deliver the rest.
test("listing begins anew after a restore, also one that a refusal tells of", async (t) => {
  const { store, requests } = await start(t, [
    { era: 1, body: morePages(7, item("a", 6)) },
    { era: 2, status: 503 },
    { era: 2, body: page(4, item("b", 3)) },
  ]);
  assert.ok((await store.list("")).isErr);
  const listed = await store.list("");
  assert.ok(listed.isOk);
  assert.deepEqual(listed.value.entries.map(({ key }) => key), ["b"]);
  assert.deepEqual(cursorsOf(requests), [undefined, "a", undefined]);
});

// A watch from the first page's position doesn't deliver a change that an older page lacks.
test("page older than the first one is not used", async (t) => {
  const { store, requests } = await start(t, [
    { body: morePages(7, item("a", 6)) },
    { body: page(5, item("b", 4)) },
    { body: page(8, item("a", 6), item("b", 7)) },
  ]);
  const listed = await store.list("");
  assert.ok(listed.isErr && listed.error.kind === "unavailable");
  assert.ok((await store.list("")).isOk);
  assert.deepEqual(cursorsOf(requests), [undefined, "a", undefined]);
});

// The caller would take the position of an old page for the state of a store that answered now.
test("listing begins anew if its first page is old", async (t) => {
  let nowMs = 0;
  const { store, requests } = await start(t, [
    { body: morePages(7, item("a", 6)) },
    REFUSED,
    { body: page(9) },
  ], { nowMs: () => nowMs });
  assert.ok((await store.list("")).isErr);
  nowMs = 5 * CALL_MS;
  assert.ok((await store.list("")).isOk);
  assert.deepEqual(cursorsOf(requests), [undefined, "a", undefined]);
});

// A range is deleted without a watch: keys written since an earlier listing would stay.
test("deletion of a range reads all pages anew", async (t) => {
  const { store, requests } = await start(t, [
    { body: morePages(7, item("a", 6)) },
    REFUSED,
    { body: page(9, item("b", 8)) },
    { body: { revision: 10 } },
  ]);
  assert.ok((await store.list("")).isErr);
  const range = { kind: "delete_range", from: "a", to: "c" } as const;
  assert.ok((await store.commit([], [range])).isOk);
  assert.deepEqual(cursorsOf(requests.slice(0, 3)), [
    undefined,
    "a",
    undefined,
  ]);
});
