import assert from "node:assert/strict";
import { test } from "node:test";
import { isFramed, isLastAnswer } from "./framing.ts";

test("response without content length or chunked encoding is not framed", () => {
  assert.equal(isFramed(200, {}), false);
  assert.equal(isFramed(200, { "content-length": "0" }), true);
  assert.equal(isFramed(200, { "transfer-encoding": "chunked" }), true);
  assert.equal(isFramed(200, { "transfer-encoding": "identity" }), false);
  assert.equal(isFramed(200, { "transfer-encoding": "gzip, chunked" }), true);
  assert.equal(isFramed(204, {}), true);
});

test("response that announces the close of its connection is the last one", () => {
  assert.ok(isLastAnswer({ connection: "Close" }));
  assert.ok(isLastAnswer({ connection: "x-a, close" }));
  assert.ok(!isLastAnswer({ connection: "keep-alive" }));
  assert.ok(!isLastAnswer({}));
});
