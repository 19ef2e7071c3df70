import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "./_fleet.ts";
import { runScenario, Scenario } from "./_scenarios.ts";

const LIMITS = { maxInFlight: 300, tokensPerSecond: 1_000_000_000 };

function run(scenario: Scenario) {
  return runScenario({ scenario, entryCount: 30, limits: LIMITS, seed: 1 });
}

test("steady and skewed overload stay within the limit", async () => {
  for (const scenario of [Scenario.Even, Scenario.Skewed, Scenario.SkewMoves]) {
    const { maxInFlightRatio, lateUtilisation } = await run(scenario);
    assert.ok(maxInFlightRatio <= 1);
    assert.ok(lateUtilisation >= 0.75);
  }
});

test("failure of the coordinator never exceeds the limit", async () => {
  const { maxInFlightRatio, lateUtilisation } = await run(
    Scenario.CoordinatorDies,
  );
  assert.ok(maxInFlightRatio <= 1);
  assert.ok(lateUtilisation >= 0.8);
});

test("two partitions together use at most twice the limit", async () => {
  const { maxInFlightRatio } = await run(Scenario.Partition);
  assert.ok(maxInFlightRatio <= 2);
});

test("tokens stay within the rate and one second's burst", async () => {
  const limits = { maxInFlight: 1200, tokensPerSecond: 60_000 };
  const result = await runScenario({
    scenario: Scenario.Even,
    entryCount: 30,
    limits,
    seed: 1,
  });
  assert.ok(result.maxTokenRatio <= 2);
  assert.ok(result.meanTokenRatio <= 1 + 1 / 60);
});

test("entries that start together admit requests at once", async () => {
  const fleet = Fleet.create({
    entryCount: 30,
    limits: LIMITS,
    seed: 1,
    tickMs: 50,
    meanDurationMs: 1000,
  });
  fleet.setEntryLists(() => true);
  let refused = 0;
  for (let tick = 0; tick < 400; tick++) {
    refused += (await fleet.tick(() => 4)).refused;
  }
  // Each entry has 4 requests in flight on average; its even part of the limit is 10.
  assert.ok(refused / (400 * 30 * 4 / 20) < 0.05);
});

test("a team below its floor sends no messages", async () => {
  const fleet = Fleet.create({
    entryCount: 30,
    limits: { ...LIMITS, maxInFlight: 30_000 },
    seed: 1,
    tickMs: 50,
    meanDurationMs: 100,
  });
  for (let tick = 0; tick < 400; tick++) await fleet.tick(() => 10);
  assert.equal(
    fleet.entries.reduce((sum, { messages }) => sum + messages, 0),
    0,
  );
});
