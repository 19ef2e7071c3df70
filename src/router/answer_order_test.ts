import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerOrder } from "./answer_order.ts";

// A request was taken back 1.6 s after it was sent, from an engine that answered others in turn, and
// waited as long at the end of another's queue: it ran at neither.
test("request waits for its turn where earlier ones have begun since", () => {
  const order = AnswerOrder.create();
  const late = { sentAtMs: 100, priority: 5 };
  assert.equal(order.isQueued(late), false);
  order.began({ sentAtMs: 10, priority: 5 }, 90);
  assert.equal(order.isQueued(late), false);
  order.began({ sentAtMs: 20, priority: 5 }, 200);
  assert.equal(order.isQueued(late), true);
});

test("request that was overtaken does not wait for its turn", () => {
  const order = AnswerOrder.create();
  order.began({ sentAtMs: 150, priority: 5 }, 200);
  assert.equal(order.isQueued({ sentAtMs: 100, priority: 5 }), false);
});

test("more urgent requests don't overtake", () => {
  const order = AnswerOrder.create();
  order.began({ sentAtMs: 150, priority: 0 }, 200);
  assert.equal(order.isQueued({ sentAtMs: 100, priority: 5 }), true);
});
