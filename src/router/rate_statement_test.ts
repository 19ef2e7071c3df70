import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerRate, AnswerRateKind } from "./model.ts";
import { StatedRate } from "./rate_statement.ts";

const NONE: AnswerRate = { kind: AnswerRateKind.none };
const limited = (perSecond: number): AnswerRate => ({
  kind: AnswerRateKind.limited,
  perSecond,
});

/** A statement of 2 requests a second, read at 100 ms. */
function statedRate(): StatedRate {
  const stated = StatedRate.create();
  const answer = { rate: limited(2), isRefusal: false, sentAtMs: 0 };
  assert.equal(stated.record(answer, 100), true);
  return stated;
}

test("server that has never named a rate takes any number", () => {
  const stated = StatedRate.create();
  const answer = { rate: NONE, isRefusal: false, sentAtMs: 0 };
  assert.equal(stated.record(answer, 100), false);
  assert.equal(stated.statement, undefined);
});

test("lower rate counts at once", () => {
  const stated = statedRate();
  const answer = { rate: limited(1.5), isRefusal: false, sentAtMs: 0 };
  assert.equal(stated.record(answer, 110), true);
  assert.equal(stated.perSecond, 1.5);
});

test("higher rate or none counts only for requests sent after the rate was named", () => {
  for (const rate of [limited(4), NONE]) {
    const stated = statedRate();
    const answer = { rate, isRefusal: false, sentAtMs: 99 };
    assert.equal(stated.record(answer, 110), false);
    assert.equal(stated.perSecond, 2);
    assert.equal(stated.record({ ...answer, sentAtMs: 100 }, 120), true);
    assert.notEqual(stated.perSecond, 2);
  }
});

test("refusal without a rate does not end it, a refusal with one names it", () => {
  const stated = statedRate();
  const refusal = { rate: NONE, isRefusal: true, sentAtMs: 200 };
  assert.equal(stated.record(refusal, 210), false);
  assert.equal(stated.perSecond, 2);
  assert.equal(stated.record({ ...refusal, rate: limited(1) }, 220), true);
  assert.equal(stated.perSecond, 1);
});

test("malformed rate changes nothing", () => {
  const stated = statedRate();
  const rate: AnswerRate = { kind: AnswerRateKind.malformed, value: "many" };
  assert.equal(
    stated.record({ rate, isRefusal: false, sentAtMs: 200 }, 210),
    false,
  );
  assert.equal(stated.perSecond, 2);
});

test("newest of the statements that entries exchange applies", () => {
  const stated = statedRate();
  assert.equal(stated.merge({ perSecond: 9, atMs: 100 }), false);
  assert.equal(stated.merge({ perSecond: undefined, atMs: 101 }), true);
  assert.equal(stated.perSecond, undefined);
  assert.equal(stated.merge({ perSecond: 2, atMs: 100 }), false);
  assert.equal(stated.perSecond, undefined);
});
