/** `npm run experiment`: compares placement policies in simulation. See docs/MEASUREMENTS.md. */
import { writeFile } from "node:fs/promises";
import yargs from "yargs";
import { Mechanism, PolicyName } from "../placement/mod.ts";
import { buildLakeshore } from "./lakeshore.ts";
import { type Report, toMarkdown } from "./report.ts";
import {
  AgentMechanism,
  type ContestantName,
  type MechanismName,
  ORACLE,
  runOnce,
  type RunTrace,
} from "./run_once.ts";
import { type RunFigures, summarize, summarizeRecovery } from "./summary.ts";
import { buildVeldhoven } from "./veldhoven.ts";
import { type Workload, WorkloadName } from "./workload.ts";

const ALL = "all";
const CONTESTANTS: ContestantName[] = [...Object.values(PolicyName), ORACLE];
const MECHANISMS: MechanismName[] = [
  ...Object.values(Mechanism),
  ...Object.values(AgentMechanism),
];

const options = await yargs(process.argv.slice(2))
  .scriptName("npm run experiment --")
  .option("workload", {
    choices: Object.values(WorkloadName),
    default: WorkloadName.Lakeshore,
    describe: "Whose load",
  })
  .option("policy", {
    choices: [ALL, ...CONTESTANTS],
    default: ALL,
    describe: "Which policy, or all of them and the oracle",
  })
  .option("without", {
    choices: MECHANISMS,
    array: true,
    default: [] as MechanismName[],
    describe: "Mechanisms to switch off",
  })
  .option("load", { type: "number", default: 1, describe: "Factor on rates" })
  .option("scale", {
    type: "number",
    default: 1,
    describe: "Factor on rates and workers",
  })
  .option("zone-rtt-ms", {
    type: "number",
    describe: "Round trip between zones",
  })
  .option("hold-ms", {
    type: "number",
    default: 15,
    describe: "Life of an unused offer",
  })
  .option("seeds", { type: "number", default: 5, describe: "Number of seeds" })
  .option("first-seed", {
    type: "number",
    default: 1,
    describe: "First of the seeds",
  })
  .option("json", { type: "boolean", default: false, describe: "Print JSON" })
  .option("plot", {
    type: "string",
    default: "",
    describe: "SVG file to write",
  })
  .strict()
  .parse();

const names = options.policy === ALL
  ? CONTESTANTS
  : [options.policy as ContestantName];
const seeds = Array.from(
  { length: options.seeds },
  (_, i) => options.firstSeed + i,
);
const report = await run();
if (options.plot !== "") {
  const { plot } = await import("./plot.ts");
  await writeFile(options.plot, plot(report));
}
console.log(
  options.json ? JSON.stringify(report, null, 2) : toMarkdown(report),
);

async function run(): Promise<Report> {
  const runs = new Map<ContestantName, RunFigures[]>(
    names.map((name) => [name, []]),
  );
  const traces = new Map<ContestantName, RunTrace[]>(
    names.map((name) => [name, []]),
  );
  let workload: Workload | undefined;
  for (const seed of seeds) {
    workload = build(seed);
    for (const contestant of names) {
      const without = new Set(options.without);
      const trace = await runOnce(workload, {
        contestant,
        seed,
        without,
        holdMs: options.holdMs,
      });
      runs.get(contestant)!.push(summarize(workload, trace));
      traces.get(contestant)!.push(trace);
    }
  }
  return {
    workload: options.workload,
    command: `npm run experiment -- ${process.argv.slice(2).join(" ")}`,
    seeds,
    without: options.without,
    contestants: names.map((name) => ({
      name,
      runs: runs.get(name)!,
      recovery: summarizeRecovery(workload!, traces.get(name)!),
    })),
  };
}

function build(seed: number): Workload {
  switch (options.workload) {
    case WorkloadName.Lakeshore:
      return buildLakeshore(seed, options);
    case WorkloadName.Veldhoven:
      return buildVeldhoven(seed, options);
  }
}
