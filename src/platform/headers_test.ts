import assert from "node:assert/strict";
import { test } from "node:test";
import { readAnswer } from "./headers.ts";
import { Header } from "./names.ts";

test("only the value 1 of the header announces that a server is leaving", () => {
  const isLeaving = (value?: string) =>
    readAnswer(200, { [Header.leaving]: value }).leaving;
  assert.equal(isLeaving("1"), true);
  for (const value of [undefined, "", "0", "true"]) {
    assert.equal(isLeaving(value), false);
  }
});

test("retry delay is converted to ms, and ignored if malformed", () => {
  const retryAfterMs = (value?: string) =>
    readAnswer(503, { [Header.retryAfter]: value }).retryAfterMs;
  assert.equal(retryAfterMs("2.5"), 2500);
  assert.equal(retryAfterMs("0"), 0);
  const malformed = [
    undefined,
    "",
    "soon",
    "-1",
    "Infinity",
    "Thu, 03 Dec 2026 08:00:00 GMT",
  ];
  for (const value of malformed) assert.equal(retryAfterMs(value), undefined);
});

test("rate of requests that a server takes is a number from 0 up", () => {
  const rate = (value?: string) =>
    readAnswer(200, { [Header.requestRate]: value }).rate;
  assert.deepEqual(rate(), { kind: "none" });
  assert.deepEqual(rate("2.1"), { kind: "limited", perSecond: 2.1 });
  assert.deepEqual(rate("0"), { kind: "limited", perSecond: 0 });
  for (const value of ["", "many", "-1", "Infinity", "2,1"]) {
    assert.deepEqual(rate(value), { kind: "malformed", value });
  }
});

// Guards against a refusal, or a second run, of a request whose server answered it with a success.
test("success is no refusal, whatever else its head says", () => {
  const isRefusal = (status: number, value?: string) =>
    readAnswer(status, { [Header.notRun]: value }).notRun;
  assert.equal(isRefusal(200, "1"), false);
  assert.equal(isRefusal(503, "1"), true);
  assert.equal(isRefusal(400, "1"), true);
  assert.equal(isRefusal(421), true);
  assert.equal(isRefusal(503), false);
});
