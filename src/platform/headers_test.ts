import assert from "node:assert/strict";
import { test } from "node:test";
import { readAnswer } from "./headers.ts";
import { Header } from "./names.ts";

test("answer tells that its server leaves only by the word for it", () => {
  const isLeaving = (value?: string) =>
    readAnswer(200, { [Header.leaving]: value }).leaving;
  assert.equal(isLeaving("1"), true);
  for (const value of [undefined, "", "0", "true"]) {
    assert.equal(isLeaving(value), false);
  }
});

test("pause that a server wants is read in ms, and not at all if malformed", () => {
  const pauseMs = (value?: string) =>
    readAnswer(503, { [Header.retryAfter]: value }).retryAfterMs;
  assert.equal(pauseMs("2.5"), 2500);
  assert.equal(pauseMs("0"), 0);
  const malformed = [
    undefined,
    "",
    "soon",
    "-1",
    "Infinity",
    "Thu, 03 Dec 2026 08:00:00 GMT",
  ];
  for (const value of malformed) assert.equal(pauseMs(value), undefined);
});
