/** Fuzzes and prints a JSON report: `npm run fuzz -- --seed N --minutes M [--path P]`. */
import fc from "fast-check";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { CommandCounts } from "./_commands.ts";
import { fleetProperty } from "./_fuzz.ts";

const MS_PER_MINUTE = 60_000;
const FAULT_PREFIX = "fault:";

const options = await yargs(hideBin(process.argv)).options({
  seed: { type: "number", default: 1 },
  minutes: { type: "number", default: 5 },
  path: { type: "string", default: "" },
}).strict().parse();

const counts: CommandCounts = new Map();
const startMs = performance.now();
const details = await fc.check(fleetProperty(counts), {
  seed: options.seed,
  path: options.path,
  numRuns: Number.MAX_SAFE_INTEGER,
  interruptAfterTimeLimit: options.minutes * MS_PER_MINUTE,
  markInterruptAsFailure: false,
  endOnFailure: true,
});
const byName = [...counts].sort(([a], [b]) => a < b ? -1 : 1);
const report = {
  seed: options.seed,
  minutes: Math.round((performance.now() - startMs) / MS_PER_MINUTE * 10) / 10,
  runs: details.numRuns,
  commands: sum(byName),
  faults: sum(byName.filter(([name]) => name.startsWith(FAULT_PREFIX))),
  byName: Object.fromEntries(byName),
  finding: details.failed
    ? {
      path: details.counterexamplePath,
      commands: String(details.counterexample),
      error: String(details.errorInstance),
    }
    : undefined,
};
process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
process.exit(details.failed ? 1 : 0);

function sum(entries: [string, number][]): number {
  return entries.reduce((total, [, count]) => total + count, 0);
}
