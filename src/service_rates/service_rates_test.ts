import assert from "node:assert/strict";
import { test } from "node:test";
import { learn, type LearnOptions } from "./_engines.ts";
import { expectedTtftMs, INITIAL_RATES } from "./engine_rates.ts";
import { ServiceRates } from "./service_rates.ts";

const SEEDS = [1, 2, 3, 4, 5];
const EQUAL = [1, 1, 1, 1, 1, 1];
/** Answers after which expected times have to be right; at 50 per second, within 4 s. */
const LEARNED_AFTER = 200;

function scaled(factor: number): LearnOptions["actual"] {
  return {
    tokensPerMs: INITIAL_RATES.tokensPerMs / factor,
    baseMs: INITIAL_RATES.baseMs * factor,
    runningMs: INITIAL_RATES.runningMs * factor,
  };
}

/** Asserts that the expected times are as accurate as the design of load scheduling requires. */
function assertAccurate(options: Omit<LearnOptions, "seed">): void {
  for (const seed of SEEDS) {
    const { accuracies } = learn({ seed, ...options });
    const learned = accuracies.slice(LEARNED_AFTER).sort((a, b) => a - b);
    const at = (quantile: number) =>
      learned[Math.floor(quantile * learned.length)]!;
    assert.ok(at(0.5) > 0.8 && at(0.5) < 1.25, `seed ${seed}: ${at(0.5)}`);
    assert.ok(at(0.1) > 0.5 && at(0.9) < 2, `${at(0.1)} to ${at(0.9)}`);
  }
}

const LOAD = { count: 600, intervalMs: 20 };

// An estimate whose steps are bounded may never get to engines that differ much from the constants.
test("engines ten times slower or faster than the constants are learned", () => {
  for (const factor of [10, 0.1]) {
    assertAccurate({ ...LOAD, actual: scaled(factor), factors: EQUAL });
  }
});

// The rates of the two deployments with load scheduling; the time per request and the time per token
// differ from the constants in opposite directions.
test("rates that differ from the constants each by another factor are learned", () => {
  const first = { tokensPerMs: 64.2, baseMs: 10, runningMs: 1 };
  assertAccurate({ ...LOAD, actual: first, factors: Array(36).fill(1) });
  const second = { tokensPerMs: 140, baseMs: 53, runningMs: 0.5 };
  const factors = Array.from({ length: 33 }, (_, i) => i % 3 < 2 ? 0.7 : 1.7);
  assertAccurate({ ...LOAD, actual: second, factors });
});

// Slow servers get shorter queues. Without their paces, their times would be taken for a longer base
// time and fewer ms per token.
test("two kinds of engines in a service differ in pace", () => {
  for (const seed of SEEDS) {
    const factors = [1, 1, 1, 2.4, 2.4];
    const { paces, rates, nowMs } = learn({
      ...LOAD,
      seed,
      actual: INITIAL_RATES,
      factors,
    });
    const [fast, , , slow] = paces.map((pace) => pace.factor(nowMs));
    const ratio = slow! / fast!;
    assert.ok(ratio > 1.7 && ratio < 3, `seed ${seed}: ${ratio}`);
    const { tokensPerMs, baseMs } = rates;
    assert.ok(tokensPerMs > 60 && tokensPerMs < 110, `${tokensPerMs}`);
    assert.ok(baseMs > 30 && baseMs < 70, `${baseMs}`);
  }
});

// An answer may wait for something else than the engine, such as a lost packet.
test("one outlier in seven answers changes expected times little", () => {
  for (const ratio of [20, 0.05]) {
    const outliers = { every: 7, ratio };
    const load = { ...LOAD, factors: EQUAL, outliers };
    assertAccurate({ ...load, actual: INITIAL_RATES });
    assertAccurate({ ...load, actual: scaled(10) });
    for (const seed of SEEDS) {
      const { rates } = learn({ ...load, seed, actual: INITIAL_RATES });
      const { tokensPerMs } = rates;
      assert.ok(tokensPerMs > 60 && tokensPerMs < 110, `${tokensPerMs}`);
    }
  }
});

test("constants stay exact while answers confirm them", () => {
  const { rates, paces, nowMs } = learn({
    ...LOAD,
    seed: 1,
    actual: INITIAL_RATES,
    factors: EQUAL,
    noise: 0,
  });
  assert.ok(Math.abs(rates.tokensPerMs - INITIAL_RATES.tokensPerMs) < 1e-6);
  assert.ok(Math.abs(rates.baseMs - INITIAL_RATES.baseMs) < 1e-6);
  assert.ok(Math.abs(rates.runningMs - INITIAL_RATES.runningMs) < 1e-6);
  for (const pace of paces) assert.ok(Math.abs(pace.factor(nowMs) - 1) < 1e-6);
});

// A steady load shows the sum of the parameters only. What it doesn't show must not drift away.
test("parameters stay bounded under a load that never varies", () => {
  const rates = ServiceRates.create();
  const pace = rates.createPace();
  const work = { queuedTokens: 0, uncachedTokens: 800, running: 0 };
  for (let i = 0; i < 100_000; i++) {
    const ttftMs = i % 2 === 0 ? 50 : 60;
    rates.record({ ...work, ttftMs }, { pace, nowMs: 20 * i });
  }
  assert.equal(rates.runningMs, INITIAL_RATES.runningMs);
  assert.ok(rates.baseMs > 35 && rates.baseMs < 55, `${rates.baseMs}`);
  const { tokensPerMs } = rates;
  assert.ok(tokensPerMs > 60 && tokensPerMs < 110, `${tokensPerMs}`);
});

// An undefined or negative load or time must not make the rates NaN for good.
test("rates stay finite after answers with impossible values", () => {
  const rates = ServiceRates.create();
  const pace = rates.createPace();
  const values = [NaN, Infinity, -Infinity, -1e9, 0, 1e12];
  for (const ttftMs of values) {
    for (const tokens of values) {
      const work = { queuedTokens: tokens, uncachedTokens: 10, running: 0 };
      rates.record({ ...work, ttftMs }, { pace, nowMs: 1000 });
    }
  }
  const { tokensPerMs, baseMs, runningMs } = rates;
  for (const value of [tokensPerMs, baseMs, runningMs, pace.factor(1000)]) {
    assert.ok(Number.isFinite(value) && value > 0, `${value}`);
  }
});

// Sorting the paces of 12,000 servers would delay the datagram that is handled meanwhile.
test("median is that of a bounded number of recently sampled servers", () => {
  const rates = ServiceRates.create();
  const paces = Array.from({ length: 1256 }, () => rates.createPace());
  for (const [i, pace] of paces.entries()) {
    const work = { queuedTokens: 0, uncachedTokens: 0, running: 0 };
    const ratio = i < 1000 ? 2 : 0.5;
    const ttftMs = ratio * expectedTtftMs(rates, work);
    rates.record({ ...work, ttftMs }, { pace, nowMs: 1000 });
  }
  assert.equal(rates.referenceFactor(1600).toFixed(3), "0.500");
  assert.equal(rates.referenceFactor(60_000), 1);
});
