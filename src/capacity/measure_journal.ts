/**
 * Converts the output of the journal benchmark to a slope: `node dist/journal/_bench.js |
 * node dist/capacity/measure_journal.js`.
 */
import { createInterface } from "node:readline";
import { z } from "zod";
import { fitSlope, type Point } from "./slopes.ts";

const ROW = z.looseObject({
  claimsPerSecond: z.number(),
  commitsPerSecond: z.number(),
  shards: z.number(),
});
/** Highest claim rate of the fit. Above it claims share commits, so the rate is no longer linear. */
const MAX_UNSHARED_RATE = 10;

const runs = new Map<number, Point[]>();
for await (const line of createInterface({ input: process.stdin })) {
  const { claimsPerSecond, commitsPerSecond, shards } = ROW.parse(
    JSON.parse(line),
  );
  if (claimsPerSecond > MAX_UNSHARED_RATE) continue;
  const points = runs.get(shards) ?? [];
  points.push({ x: claimsPerSecond, y: commitsPerSecond });
  runs.set(shards, points);
}
const slope = fitSlope(
  {
    name: "journal_commits",
    what:
      "Commits a second of one owner, up to 10 claims a second; levels off near 39 above",
    unit: "commits/s",
    per: "claim/s",
    command:
      "node dist/journal/_bench.js | node dist/capacity/measure_journal.js",
  },
  [...runs.values()],
);
console.log(JSON.stringify([slope], null, 2));
