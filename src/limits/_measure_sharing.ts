/**
 * Compares strategies to enforce a workspace's limit at 30 simulated entries. Run
 * `node --import tsx src/limits/_measure_sharing.ts`; it prints one line per load and rate with two
 * figures per strategy: the largest excess over the limit in any window, as a multiple of the
 * tolerance, and the part of the requested tokens that the fleet refused although a single bucket for
 * all entries would have admitted them.
 */
import { BucketFleet, SharingStrategy } from "./_bucket_fleet.ts";

const SEEDS = [1, 2, 3];
const ENTRY_COUNT = 30;
const RATES = [638_023, 200_000, 36_000];
/** Requested rates, as multiples of the limit. */
const USUAL_LOAD = 1 / 1.8;
const OVERLOAD = 5;
/** Tolerated excess in a window: a part of the allowed tokens plus a fixed number. */
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
