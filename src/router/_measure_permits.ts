/**
 * Compares ways to keep a server's rate at all entries together. Run
 * `node --import tsx src/router/_measure_permits.ts`; it prints one line per scenario, number of
 * entries, rate and way: the most requests in 4 s and those that the platform allows, the part of the
 * rate that was used, and the datagrams and bytes per second at the busiest entry and at the mean.
 */
import process from "node:process";
import { PermitFleet, RateStrategy } from "./_permit_fleet.ts";

const ENTRY_COUNTS = [4, 30, 360];
const RATES = [0.5, 2, 20];
const SEED = 1;
const WINDOW_MS = 4000;
/** Time in which all entries learn the rate before the requests are counted. */
const LEARN_MS = 3000;
const MEASURE_MS = 20_000;
/** Requests per second for the server, as a multiple of its rate, and at least. */
const DEMAND_FACTOR = 5;
const MIN_DEMAND = 50;

interface Scenario {
  name: string;
  run(fleet: PermitFleet, perSecond: number): Promise<void>;
}

const SCENARIOS: Scenario[] = [
  {
    name: "all entries",
    run: (fleet, perSecond) => fleet.run(MEASURE_MS, perSecond),
  },
  {
    name: "one entry",
    run: (fleet, perSecond) => {
      for (const [i, entry] of fleet.entries.entries()) {
        entry.demand = i === 0 ? 1 : 0;
      }
      return fleet.run(MEASURE_MS, perSecond);
    },
  },
  {
    name: "granter killed three times",
    run: async (fleet, perSecond) => {
      for (let round = 0; round < 3; round++) {
        const granter = fleet.granter();
        fleet.kill(granter);
        await fleet.run(1500, perSecond);
        fleet.restart(granter);
        await fleet.run(5000, perSecond);
      }
    },
  },
  {
    name: "all killed three times",
    run: async (fleet, perSecond) => {
      for (let round = 0; round < 3; round++) {
        for (const entry of fleet.entries) fleet.kill(entry);
        await fleet.run(500, perSecond);
        for (const entry of fleet.entries) fleet.restart(entry);
        await fleet.run(6000, perSecond);
      }
    },
  },
  {
    name: "half cut off",
    run: (fleet, perSecond) => {
      for (const [i, entry] of fleet.entries.entries()) {
        entry.partition = i % 2;
      }
      return fleet.run(MEASURE_MS, perSecond);
    },
  },
];

async function main(): Promise<void> {
  for (const scenario of SCENARIOS) {
    for (const entryCount of ENTRY_COUNTS) {
      for (const rate of RATES) {
        for (const strategy of Object.values(RateStrategy)) {
          const cells = await measure(scenario, { entryCount, rate, strategy });
          const head = [scenario.name, entryCount, rate, strategy];
          console.log([...head, ...cells].join(" | "));
        }
      }
    }
  }
}

async function measure(
  scenario: Scenario,
  { entryCount, rate, strategy }: {
    entryCount: number;
    rate: number;
    strategy: RateStrategy;
  },
): Promise<string[]> {
  const perSecond = Math.max(MIN_DEMAND, rate * DEMAND_FACTOR);
  const fleet = PermitFleet.create({ entryCount, seed: SEED, strategy });
  await fleet.run(1000, 0);
  fleet.perSecond = rate;
  await fleet.run(LEARN_MS, MIN_DEMAND);
  const fromMs = fleet.nowMs;
  const countBefore = fleet.arrivedAtMs.length;
  for (const entry of fleet.entries) entry.messages = entry.bytes = 0;
  await scenario.run(fleet, perSecond);
  const seconds = (fleet.nowMs - fromMs) / 1000;
  const used = (fleet.arrivedAtMs.length - countBefore) / (rate * seconds);
  const allowed = 1.5 * rate * WINDOW_MS / 1000 + 5;
  const messages = fleet.entries.map((entry) => entry.messages / seconds);
  const bytes = fleet.entries.map((entry) => entry.bytes / seconds);
  return [
    `${fleet.mostInWindow(fromMs, WINDOW_MS)} of ${allowed}`,
    used.toFixed(2),
    `${Math.max(...messages).toFixed(1)}, ${mean(messages).toFixed(2)}`,
    `${Math.max(...bytes).toFixed(0)}, ${mean(bytes).toFixed(0)}`,
  ];
}

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
