/**
 * Measures how far a simulated fleet of limiters exceeds or underuses a team's limits. Run
 * `node --import tsx src/limits/_measure.ts`; it prints one JSON line per case.
 */
import type { Limits } from "./_division.ts";
import {
  runScenario,
  Scenario,
  type ScenarioOptions,
  type ScenarioResult,
} from "./_scenarios.ts";

const SEEDS = [1, 2, 3, 4, 5];
const UNLIMITED_TOKENS = 1_000_000_000;
const SIZES = [
  { entryCount: 3, maxInFlight: 60 },
  { entryCount: 30, maxInFlight: 300 },
  { entryCount: 360, maxInFlight: 1000 },
  { entryCount: 360, maxInFlight: 100 },
];

for (const { entryCount, maxInFlight } of SIZES) {
  const limits = { maxInFlight, tokensPerSecond: UNLIMITED_TOKENS };
  for (const scenario of Object.values(Scenario)) {
    await printCase("in_flight", { scenario, entryCount, limits });
  }
}
for (const { entryCount, maxInFlight } of SIZES) {
  // A request takes 200 tokens and 1 s on average, so the limit on requests in flight isn't reached.
  const tokensPerSecond = maxInFlight * 200;
  const limits = { maxInFlight: maxInFlight * 4, tokensPerSecond };
  for (const scenario of [Scenario.Even, Scenario.Skewed]) {
    await printCase("tokens", { scenario, entryCount, limits });
  }
}

async function printCase(
  bound: "in_flight" | "tokens",
  options: Omit<ScenarioOptions, "seed">,
): Promise<void> {
  const results: ScenarioResult[] = [];
  for (const seed of SEEDS) {
    results.push(await runScenario({ ...options, seed }));
  }
  const worst = (pick: (result: ScenarioResult) => number | undefined) =>
    round(Math.max(...results.map((result) => pick(result) ?? Infinity)));
  const median = (pick: (result: ScenarioResult) => number | undefined) =>
    round(
      results.map((result) => pick(result) ?? Infinity).sort((a, b) => a - b)[
        Math.floor(results.length / 2)
      ]!,
    );
  console.log(JSON.stringify({
    bound,
    ...describe(options),
    seeds: SEEDS.length,
    maxInFlightRatio: worst((result) => result.maxInFlightRatio),
    medianInFlightRatio: median((result) => result.medianInFlightRatio),
    longestOverMs: worst((result) => result.longestOverMs),
    utilisation: median((result) => result.utilisation),
    lateUtilisation: median((result) => result.lateUtilisation),
    rampMs: median((result) => result.rampMs),
    maxTokenRatio: worst((result) => result.maxTokenRatio),
    meanTokenRatio: median((result) => result.meanTokenRatio),
    maxBytesPerSecond: worst((result) => result.maxBytesPerSecond),
    medianBytesPerSecond: median((result) => result.medianBytesPerSecond),
    maxMessagesPerSecond: worst((result) => result.maxMessagesPerSecond),
  }));
}

function describe(options: Omit<ScenarioOptions, "seed">) {
  const { scenario, entryCount, limits } = options;
  return { scenario, entryCount, ...(limits satisfies Limits) };
}

function round(value: number): number | null {
  return Number.isFinite(value) ? Math.round(value * 1000) / 1000 : null;
}
