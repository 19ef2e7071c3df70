import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerOrder } from "./answer_order.ts";

// Guards against cancelling a request that is queued at an engine which serves others in order: after
// 1.6 s it was moved to the end of another engine's queue, and ran at neither.
test("request is queued if earlier ones have started since it was sent", () => {
  const order = AnswerOrder.create();
  const late = { sentAtMs: 100, priority: 5 };
  assert.equal(order.isQueued(late), false);
  order.recordStart({ sentAtMs: 10, priority: 5 }, 90);
  assert.equal(order.isQueued(late), false);
  order.recordStart({ sentAtMs: 20, priority: 5 }, 200);
  assert.equal(order.isQueued(late), true);
});

test("request that was overtaken is not queued", () => {
  const order = AnswerOrder.create();
  order.recordStart({ sentAtMs: 150, priority: 5 }, 200);
  assert.equal(order.isQueued({ sentAtMs: 100, priority: 5 }), false);
});

test("more urgent requests don't count as overtaking", () => {
  const order = AnswerOrder.create();
  order.recordStart({ sentAtMs: 150, priority: 0 }, 200);
  assert.equal(order.isQueued({ sentAtMs: 100, priority: 5 }), true);
});
