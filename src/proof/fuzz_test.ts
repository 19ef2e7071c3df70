import fc from "fast-check";
import { test } from "node:test";
import { fleetProperty } from "./_fuzz.ts";

const SEED = 20261202;
const RUNS = 8;

test("invariants hold under random faults", async () => {
  const property = fleetProperty(new Map());
  const options = { seed: SEED, numRuns: RUNS, endOnFailure: true };
  await fc.assert(property, options);
});
