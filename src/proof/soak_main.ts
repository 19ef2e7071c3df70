/**
 * `npm run soak -- --seeds 1,2,3 --seconds 20 --entries 4 --servers 6`: runs plans of faults against
 * real processes. Prints each plan before it runs, then its result; exits with 1 if a promise was broken.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runSoak } from "./_soak.ts";
import type { SoakResult } from "./_soak_result.ts";
import { type Fault, FaultKind, type SoakPlan } from "./_soak_fault.ts";
import { planSoak } from "./_soak_plan.ts";

/** Faults printed beside a broken promise: the last ones before it. */
const CONTEXT_FAULTS = 6;

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .option("seeds", { type: "string", default: "1", describe: "1,2 or 1-50" })
    .option("seconds", { type: "number", default: 20 })
    .option("entries", { type: "number", default: 4 })
    .option("servers", { type: "number", default: 6 })
    .option("without", {
      choices: Object.values(FaultKind),
      array: true,
      describe: "kinds of faults to leave out",
    })
    .strict().parse();
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => process.exit(1));
  }
  let brokenCount = 0;
  for (const seed of parseSeeds(options.seeds)) {
    const plan = planSoak(seed, {
      entryCount: options.entries,
      serverCount: options.servers,
      durationMs: options.seconds * 1000,
      without: options.without,
    });
    console.log(describePlan(plan));
    const result = await runSoak(plan);
    brokenCount += result.violations.length;
    console.log(describeResult(plan, result));
  }
  process.exitCode = brokenCount > 0 ? 1 : 0;
}

function parseSeeds(text: string): number[] {
  return text.split(",").flatMap((part) => {
    const [first = 0, last = first] = part.split("-").map(Number);
    return Array.from({ length: last - first + 1 }, (_, i) => first + i);
  });
}

function describePlan(
  { seed, entryCount, serverCount, faults }: SoakPlan,
): string {
  const kinds = new Map<string, number>();
  for (const { kind } of faults) kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  const text = [...kinds].map(([kind, count]) => `${kind} ${count}`);
  return `seed ${seed}: ${entryCount} entries, ${serverCount} servers, ${
    text.join(", ")
  }`;
}

function describeResult(
  { seed, faults }: SoakPlan,
  { violations, counts, streams, unframed, store, startedAtMs }: SoakResult,
): string {
  const lines = [
    `seed ${seed}: ${violations.length} broken, ${
      JSON.stringify(counts)
    }, ${streams.joined.byOwnIds.length} streams of several versions by servers with ids of their own, ${streams.joined.byRestart.length} by restarted ones, ${streams.wentOn} of ${streams.takenUp} take-ups went on, unframed ${
      JSON.stringify(unframed)
    }, store ${JSON.stringify(store)}`,
  ];
  const { byRestart } = streams.joined;
  const allowed = byRestart.filter((one) =>
    !violations.some(({ detail }) => detail === one.detail)
  );
  for (const { promise, atMs, detail } of [...violations, ...allowed]) {
    const sinceMs = atMs - startedAtMs;
    lines.push(`  ${formatSeconds(sinceMs)} ${promise}: ${detail}`);
    const before = faults.filter((fault) => fault.atMs <= sinceMs);
    for (const fault of before.slice(-CONTEXT_FAULTS)) {
      lines.push(`    ${describeFault(fault)}`);
    }
  }
  return lines.join("\n");
}

function describeFault(
  { kind, atMs, forMs, index, perSecond, cut, restore }: Fault,
): string {
  const rate = perSecond === undefined ? "" : ` ${perSecond}/s`;
  const how = cut ? ` ${cut.ending}${cut.isReset ? " reset" : ""}` : "";
  const from = restore
    ? ` from ${restore.copyAgeMs} ms before, ${restore.lostWrites} more lost,`
    : "";
  return `${
    formatSeconds(atMs)
  } ${kind} ${index}${rate}${how}${from} for ${forMs} ms`;
}

function formatSeconds(ms: number): string {
  return `${(ms / 1000).toFixed(3)} s`;
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
