import assert from "node:assert/strict";
import { test } from "node:test";
import { applyEdit, type Edit } from "./json_pointer.ts";

const set = (value: unknown): Edit => ({ kind: "set", value });
const REMOVE: Edit = { kind: "remove" };
const DOCUMENT = { "a/b": { "c~d": 1 }, list: [1, 2] };

test("a value is set, appended or removed", () => {
  const cases: [string, Edit, unknown][] = [
    ["/a~1b/c~0d", set(2), { ...DOCUMENT, "a/b": { "c~d": 2 } }],
    ["/new", set({}), { ...DOCUMENT, new: {} }],
    ["/list/-", set(3), { ...DOCUMENT, list: [1, 2, 3] }],
    ["/list/0", set(3), { ...DOCUMENT, list: [3, 2] }],
    ["/list/0", REMOVE, { ...DOCUMENT, list: [2] }],
    ["/list", REMOVE, { "a/b": { "c~d": 1 } }],
  ];
  for (const [pointer, edit, expected] of cases) {
    const edited = applyEdit(DOCUMENT, pointer, edit);
    assert.deepEqual(edited.unwrapOr(undefined), expected, pointer);
  }
  assert.deepEqual(DOCUMENT.list, [1, 2]);
});

test("a pointer that does not resolve is rejected", () => {
  for (
    const pointer of ["", "list", "/none/x", "/list/2", "/list/01", "/list/0/x"]
  ) {
    assert(applyEdit(DOCUMENT, pointer, set(1)).isErr, pointer);
  }
  assert(applyEdit(DOCUMENT, "/none", REMOVE).isErr);
  assert(applyEdit(DOCUMENT, "/list/length", REMOVE).isErr);
});

test("an edit of __proto__ does not change the prototype", () => {
  const edited = applyEdit({}, "/__proto__", set({ polluted: true }));
  assert.equal(Reflect.get({}, "polluted"), undefined);
  const document = edited.unwrapOr({});
  assert.equal(Object.getPrototypeOf(document), Object.prototype);
  assert(applyEdit({}, "/__proto__/polluted", set(true)).isErr);
});
