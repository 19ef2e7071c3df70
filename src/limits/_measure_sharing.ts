/**
 * Compares ways to keep a workspace's limit over 30 entries, in virtual time:
 * `node --import tsx src/limits/_measure_sharing.ts`. Prints a line for each load and rate: for each
 * way the most that was over the limit in a window, as a part of what may be over, and the part of
 * what was asked for that one bucket for all would have admitted and the fleet refused.
 */
import { BucketFleet, SharingStrategy } from "./_bucket_fleet.ts";

const SEEDS = [1, 2, 3];
const ENTRY_COUNT = 30;
const RATES = [638_023, 200_000, 36_000];
/** Parts of the limit that are asked for. */
const USUAL_LOAD = 1 / 1.8;
const OVERLOAD = 5;
/** What may be over in a window. */
const TOLERANCE_SHARE = 0.1;
const TOLERANCE_TOKENS = 140_000;

interface Load {
  name: string;
  run(fleet: BucketFleet, rate: number): void;
}

const LOADS: Load[] = [
  { name: "usual", run: (fleet, rate) => fleet.run(30_000, rate * USUAL_LOAD) },
  { name: "hot", run: (fleet, rate) => fleet.run(20_000, rate * OVERLOAD) },
  {
    name: "hot at three entries",
    run: (fleet, rate) => {
      for (const [i, entry] of fleet.entries.entries()) {
        entry.demand = i < 3 ? 10 : 0.2;
      }
      fleet.run(20_000, rate * OVERLOAD);
    },
  },
  {
    name: "hot, all killed three times",
    run: (fleet, rate) =>
      restartThreeTimes(fleet, rate * OVERLOAD, ENTRY_COUNT),
  },
  {
    name: "hot, half killed three times",
    run: (fleet, rate) =>
      restartThreeTimes(fleet, rate * OVERLOAD, ENTRY_COUNT / 2),
  },
  {
    name: "usual, half killed three times",
    run: (fleet, rate) =>
      restartThreeTimes(fleet, rate * USUAL_LOAD, ENTRY_COUNT / 2),
  },
  {
    name: "a third cut off, then hot",
    run: (fleet, rate) => {
      isolateThird(fleet);
      fleet.run(2000, rate * USUAL_LOAD);
      fleet.run(12_000, rate * OVERLOAD);
    },
  },
  {
    name: "hot, then a third cut off",
    run: (fleet, rate) => {
      fleet.run(4000, rate * OVERLOAD);
      isolateThird(fleet);
      fleet.run(10_000, rate * OVERLOAD);
    },
  },
  {
    name: "a third cut off, usual",
    run: (fleet, rate) => {
      isolateThird(fleet);
      fleet.run(12_000, rate * USUAL_LOAD);
    },
  },
];

for (const { name, run } of LOADS) {
  for (const rate of RATES) {
    const ways = Object.values(SharingStrategy).map((way) => {
      const { overshoot: over, refused } = measure(way, rate, run);
      return `${way} ${over.toFixed(2)} ${(refused * 100).toFixed(1)}%`;
    });
    console.log([name, rate, ...ways].join(" | "));
  }
}

function measure(strategy: SharingStrategy, rate: number, run: Load["run"]) {
  let overshoot = -Infinity;
  let refused = 0;
  for (const seed of SEEDS) {
    const limit = { perSecond: rate, burst: rate };
    const fleet = BucketFleet.create({
      strategy,
      entryCount: ENTRY_COUNT,
      limit,
      seed,
    });
    fleet.run(8000, rate * USUAL_LOAD);
    fleet.reset();
    run(fleet, rate);
    const { windowTaken, windowAllowed, ideal, taken, requested } = fleet
      .result();
    const tolerance = windowAllowed * TOLERANCE_SHARE + TOLERANCE_TOKENS;
    overshoot = Math.max(overshoot, (windowTaken - windowAllowed) / tolerance);
    refused = Math.max(refused, (ideal - taken) / requested);
  }
  return { overshoot, refused };
}

function restartThreeTimes(
  fleet: BucketFleet,
  perSecond: number,
  count: number,
): void {
  fleet.run(8000, perSecond);
  for (let round = 0; round < 3; round++) {
    const lost = fleet.entries.slice(0, count);
    for (const entry of lost) entry.isUp = false;
    fleet.run(300, perSecond);
    for (const { address } of lost) fleet.restart(address);
    fleet.run(2500, perSecond);
  }
  fleet.run(8000, perSecond);
}

function isolateThird(fleet: BucketFleet): void {
  for (const [i, entry] of fleet.entries.entries()) {
    entry.partition = i < ENTRY_COUNT / 3 ? i + 1 : 0;
  }
}
