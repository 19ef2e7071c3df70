import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerBuffer, AnswerBuffers } from "./answer_buffers.ts";

function open(buffers: AnswerBuffers, serverId: string): AnswerBuffer {
  return buffers.open({ serverId, onDropped: () => {} });
}

// Guards against one server's endless answers that cost the answers of other servers.
test("largest answer of the server with most bytes is dropped", () => {
  const buffers = AnswerBuffers.create({ maxBytes: 100 });
  const other = open(buffers, "i-2");
  other.resize(40);
  const faulty = [open(buffers, "i-1"), open(buffers, "i-1")];
  faulty[0]!.resize(29);
  faulty[1]!.resize(31);
  assert.equal(buffers.totalBytes, 100);
  faulty[0]!.resize(30);
  assert.equal(buffers.totalBytes, 70);
  assert.deepEqual(faulty.map(({ isDropped }) => isDropped), [false, true]);
  assert.equal(other.isDropped, false);
});

// Guards against bytes of answers that have ended, which would use up the limit for ever.
test("answer whose bytes were dropped or freed counts no more", () => {
  const buffers = AnswerBuffers.create({ maxBytes: 100 });
  const dropped = open(buffers, "i-1");
  dropped.resize(101);
  assert.ok(dropped.isDropped);
  dropped.resize(50);
  const freed = open(buffers, "i-1");
  freed.resize(100);
  freed.resize(0);
  assert.equal(freed.isDropped, false);
  assert.equal(buffers.totalBytes, 0);
});
