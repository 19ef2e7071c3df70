/**
 * `npm run bench`: measures the latency that entry and agent add to a direct call to a stand-in
 * engine, and their CPU time and memory. Each component runs in its own process; load is open-loop.
 */
import { writeFileSync } from "node:fs";
import { cpus } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { chatBody } from "../e2e/_client.ts";
import type { Child } from "../e2e/_child.ts";
import { Fleet, type RunningEntry } from "../e2e/_fleet.ts";
import {
  latencyQuantiles,
  type LoadResult,
  type Quantiles,
  runLoad,
} from "./_open_loop.ts";

const PROMPT_BYTES = 2000;
const ENGINE_ARGS = [
  ...["--maxRunning", "512", "--decodeMsPerToken", "5"],
  ...["--prefillMsPerToken", "0.002"],
];
const WARM_UP_MS = 3000;
const IDLE_MS = 5000;
const BYTES_PER_MB = 1_000_000;

/** Number of failed requests by error message. */
type FailureCounts = Record<string, number>;

/** Options of one series of requests. */
interface SeriesOptions {
  requestsPerSecond: number;
  tokens: number;
  durationMs: number;
  seed: number;
}

/** Latency of direct and routed requests, and the difference between the two. */
interface AddedLatency {
  requestsPerSecond: number;
  tokens: number;
  direct: { ttft: Quantiles; gap: Quantiles; requests: number };
  routed: { ttft: Quantiles; gap: Quantiles; requests: number };
  addedTtft: Quantiles;
  addedGap: Quantiles;
  failures: FailureCounts;
}

/** CPU time and memory that entry and agents used during a series. */
interface PathCost {
  requestsPerSecond: number;
  tokens: number;
  requests: number;
  pieces: number;
  failures: FailureCounts;
  ttft: Quantiles;
  entry: RoleCost;
  agents: RoleCost;
}

/** CPU time and memory of all processes of one role. */
interface RoleCost {
  cpuSeconds: number;
  requestsPerCoreSecond: number;
  piecesPerCoreSecond: number;
  residentMb: number;
}

/** Results of a benchmark run, as printed in JSON. */
interface Report {
  machine: { cores: number; node: string };
  latency: AddedLatency;
  shortAnswers: PathCost;
  longStreams: PathCost;
  idle: { entryCoreShare: number; agentCoreShare: number };
}

const args = await yargs(hideBin(process.argv))
  .option("json", { type: "string", describe: "File to write the results to" })
  .option("seconds", {
    type: "number",
    default: 20,
    describe: "Duration of each series, in s",
  })
  .option("seed", { type: "number", default: 1 })
  .strict()
  .parse();

const report = await measure(args.seconds * 1000, args.seed);
const json = JSON.stringify(report, undefined, 2) + "\n";
if (args.json) writeFileSync(args.json, json);
process.stdout.write(json);

async function measure(durationMs: number, seed: number): Promise<Report> {
  const latency = await withFleet(
    1,
    (fleet, entry) =>
      measureLatency(fleet, entry, {
        requestsPerSecond: 20,
        tokens: 64,
        durationMs,
        seed,
      }),
  );
  const rest = await withFleet(2, async (fleet, entry) => ({
    idle: await measureIdle(fleet, entry),
    shortAnswers: await measureCost(fleet, entry, {
      requestsPerSecond: 100,
      tokens: 1,
      durationMs,
      seed,
    }),
    longStreams: await measureCost(fleet, entry, {
      requestsPerSecond: 10,
      tokens: 400,
      durationMs,
      seed,
    }),
  }));
  const machine = { cores: cpus().length, node: process.version };
  return { machine, latency, ...rest };
}

async function withFleet<T>(
  engines: number,
  body: (fleet: Fleet, entry: RunningEntry) => Promise<T>,
): Promise<T> {
  const fleet = await Fleet.create({ engines, engineArgs: ENGINE_ARGS });
  try {
    const entry = await fleet.startEntry();
    await send(fleet, entry.url, {
      requestsPerSecond: 20,
      tokens: 16,
      durationMs: WARM_UP_MS,
      seed: 0,
    });
    return await body(fleet, entry);
  } finally {
    await fleet.close();
  }
}

/** Runs direct and routed requests concurrently, so that both see the same engine load. */
async function measureLatency(
  fleet: Fleet,
  entry: RunningEntry,
  options: SeriesOptions,
): Promise<AddedLatency> {
  const [direct, routed] = await Promise.all([
    send(fleet, fleet.slots[0]!.serverUrl, options),
    send(fleet, entry.url, { ...options, seed: options.seed + 1 }),
  ]);
  const directStats = describeLoad(direct);
  const routedStats = describeLoad(routed);
  return {
    requestsPerSecond: options.requestsPerSecond,
    tokens: options.tokens,
    direct: directStats,
    routed: routedStats,
    addedTtft: subtractQuantiles(routedStats.ttft, directStats.ttft),
    addedGap: subtractQuantiles(routedStats.gap, directStats.gap),
    failures: countFailures([...direct.failures, ...routed.failures]),
  };
}

async function measureCost(
  fleet: Fleet,
  entry: RunningEntry,
  options: SeriesOptions,
): Promise<PathCost> {
  const agents = fleet.slots.map(({ agent }) => agent);
  const entryBefore = entry.child.cpuSeconds();
  const agentsBefore = totalCpu(agents);
  const load = await send(fleet, entry.url, options);
  const { requests, pieces } = load;
  const roleCost = (cpuSeconds: number, children: Child[]): RoleCost => ({
    cpuSeconds: round(cpuSeconds),
    requestsPerCoreSecond: Math.round(requests / cpuSeconds),
    piecesPerCoreSecond: Math.round(pieces / cpuSeconds),
    residentMb: Math.round(
      Math.max(...children.map((child) => child.residentBytes())) /
        BYTES_PER_MB,
    ),
  });
  return {
    requestsPerSecond: options.requestsPerSecond,
    tokens: options.tokens,
    requests,
    pieces,
    failures: countFailures(load.failures),
    ttft: latencyQuantiles(load.ttft),
    entry: roleCost(entry.child.cpuSeconds() - entryBefore, [entry.child]),
    agents: roleCost(totalCpu(agents) - agentsBefore, agents),
  };
}

async function measureIdle(
  fleet: Fleet,
  entry: RunningEntry,
): Promise<Report["idle"]> {
  const { agent } = fleet.slots[0]!;
  const before = [entry.child.cpuSeconds(), agent.cpuSeconds()] as const;
  await new Promise((resolve) => setTimeout(resolve, IDLE_MS));
  const coreShare = (seconds: number) => round(seconds * 1000 / IDLE_MS);
  return {
    entryCoreShare: coreShare(entry.child.cpuSeconds() - before[0]),
    agentCoreShare: coreShare(agent.cpuSeconds() - before[1]),
  };
}

function send(
  fleet: Fleet,
  url: string,
  options: SeriesOptions,
): Promise<LoadResult> {
  const { tokens, seed } = options;
  return runLoad({
    ...options,
    url,
    headers: fleet.headers,
    body: (index) =>
      chatBody(`${seed}-${index} `.padEnd(PROMPT_BYTES, "x"), tokens),
  });
}

function totalCpu(children: Child[]): number {
  return children.reduce((sum, child) => sum + child.cpuSeconds(), 0);
}

function countFailures(messages: string[]): FailureCounts {
  const counts: FailureCounts = {};
  for (const message of messages) counts[message] = (counts[message] ?? 0) + 1;
  return counts;
}

function describeLoad(load: LoadResult): AddedLatency["direct"] {
  const { ttft, gap, requests } = load;
  return { ttft: latencyQuantiles(ttft), gap: latencyQuantiles(gap), requests };
}

function subtractQuantiles(a: Quantiles, b: Quantiles): Quantiles {
  return {
    p50Ms: round(a.p50Ms - b.p50Ms),
    p95Ms: round(a.p95Ms - b.p95Ms),
    p99Ms: round(a.p99Ms - b.p99Ms),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
