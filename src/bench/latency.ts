/**
 * `npm run bench`: what the path through entry and agent adds to the stand-in engine alone, and what
 * it costs. Each part is its own process; requests are sent in an open loop.
 */
import { writeFileSync } from "node:fs";
import { cpus } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { chatBody } from "../e2e/_client.ts";
import type { Child } from "../e2e/_child.ts";
import { Fleet, type RunningEntry } from "../e2e/_fleet.ts";
import {
  type LoadResult,
  type Quantiles,
  quantilesOf,
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

/** Failed requests by message. */
type FailureCounts = Record<string, number>;

/** How a series is sent. */
interface SeriesOptions {
  requestsPerSecond: number;
  tokens: number;
  durationMs: number;
  seed: number;
}

/** Time added by the path. */
interface AddedLatency {
  requestsPerSecond: number;
  tokens: number;
  direct: { ttft: Quantiles; gap: Quantiles; requests: number };
  routed: { ttft: Quantiles; gap: Quantiles; requests: number };
  addedTtft: Quantiles;
  addedGap: Quantiles;
  failures: FailureCounts;
}

/** What a series cost entry and agents. */
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

interface RoleCost {
  cpuSeconds: number;
  requestsPerCoreSecond: number;
  piecesPerCoreSecond: number;
  residentMb: number;
}

/** All figures of a run. */
interface Report {
  machine: { cores: number; node: string };
  latency: AddedLatency;
  shortAnswers: PathCost;
  longStreams: PathCost;
  idle: { entryCoreShare: number; agentCoreShare: number };
}

const args = await yargs(hideBin(process.argv))
  .option("json", { type: "string", describe: "File for the figures" })
  .option("seconds", {
    type: "number",
    default: 20,
    describe: "Length of each series, in s",
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

/** Direct and routed requests run at the same time, so both meet the same engine. */
async function measureLatency(
  fleet: Fleet,
  entry: RunningEntry,
  options: SeriesOptions,
): Promise<AddedLatency> {
  const [direct, routed] = await Promise.all([
    send(fleet, fleet.slots[0]!.serverUrl, options),
    send(fleet, entry.url, { ...options, seed: options.seed + 1 }),
  ]);
  const ofDirect = describeLoad(direct);
  const ofRouted = describeLoad(routed);
  return {
    requestsPerSecond: options.requestsPerSecond,
    tokens: options.tokens,
    direct: ofDirect,
    routed: ofRouted,
    addedTtft: difference(ofRouted.ttft, ofDirect.ttft),
    addedGap: difference(ofRouted.gap, ofDirect.gap),
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
  const cost = (cpuSeconds: number, children: Child[]): RoleCost => ({
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
    ttft: quantilesOf(load.ttft),
    entry: cost(entry.child.cpuSeconds() - entryBefore, [entry.child]),
    agents: cost(totalCpu(agents) - agentsBefore, agents),
  };
}

async function measureIdle(
  fleet: Fleet,
  entry: RunningEntry,
): Promise<Report["idle"]> {
  const { agent } = fleet.slots[0]!;
  const before = [entry.child.cpuSeconds(), agent.cpuSeconds()] as const;
  await new Promise((resolve) => setTimeout(resolve, IDLE_MS));
  const share = (seconds: number) => round(seconds * 1000 / IDLE_MS);
  return {
    entryCoreShare: share(entry.child.cpuSeconds() - before[0]),
    agentCoreShare: share(agent.cpuSeconds() - before[1]),
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
  return { ttft: quantilesOf(ttft), gap: quantilesOf(gap), requests };
}

function difference(a: Quantiles, b: Quantiles): Quantiles {
  return {
    p50Ms: round(a.p50Ms - b.p50Ms),
    p95Ms: round(a.p95Ms - b.p95Ms),
    p99Ms: round(a.p99Ms - b.p99Ms),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
