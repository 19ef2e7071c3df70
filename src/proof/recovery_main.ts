/** `npm run recovery`: measures recovery times after faults and prints medians in ms as JSON. */
import { DEFAULT_TUNING } from "../entry/mod.ts";
import { callNonStreaming, callStreaming, chatBody } from "./_calls.ts";
import {
  type AgentSlot,
  ProofFleet,
  type ProofFleetOptions,
} from "./_fleet.ts";
import { moveAgentToProcess } from "./_agent_process.ts";

const RUNS = 5;
const RETRY_MS = 5;
const WARM_UP_CALLS = 10;
const PROMPT = "coat history ".repeat(200);
const EVENTS_BEFORE_FAULT = 10;
const WARM_UP_ROUNDS = 4;
const PROMPTS = 20;
const DRAIN_WATCH_MS = 2000;
const DRAIN_CALL_EVERY_MS = 10;

type Measure = () => Promise<number>;

const MEASURES: Record<string, Measure> = {
  killedEngineToAnswer: () =>
    withFleet({}, async (fleet) => {
      const agentSlot = await warmUp(fleet);
      await agentSlot.server.standin.down();
      return await timeToAnswer(fleet);
    }),
  killedAgentToAnswer: () =>
    withFleet({}, async (fleet) => {
      const agentSlot = await warmUp(fleet);
      const child = await moveAgentToProcess(fleet, agentSlot);
      try {
        await warmUp(fleet);
        child.kill("SIGKILL");
        return await timeToAnswer(fleet);
      } finally {
        await child.close();
      }
    }),
  silentConnectionToNextPiece: () =>
    withFleet({ engine: { decodeMsPerToken: 10 } }, measureStreamGap),
  allEntriesRestartedStoreUp: () => withFleet({}, measureRestart),
  allEntriesRestartedStoreDown: () =>
    withFleet({}, async (fleet) => {
      await warmUp(fleet);
      await fleet.kv.setFaults({ down: true });
      return await measureRestart(fleet);
    }),
  leavingToLastNewWork: () =>
    withFleet({ engine: { decodeMsPerToken: 10 } }, measureDrain),
};

const report: Record<string, unknown> = {};
for (const [name, measure] of Object.entries(MEASURES)) {
  const allMs: number[] = [];
  for (let run = 0; run < RUNS; run++) allMs.push(Math.round(await measure()));
  const sorted = allMs.toSorted((a, b) => a - b);
  report[name] = { medianMs: sorted[Math.floor(RUNS / 2)]!, allMs };
}
report["cachedShareAroundRestart"] = await withFleet({}, measureCachedShare);
process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
process.exit(0);

async function withFleet<T>(
  options: Partial<ProofFleetOptions>,
  measure: (fleet: ProofFleet) => Promise<T>,
): Promise<T> {
  const fleet = await ProofFleet.create({
    services: 0,
    tuning: DEFAULT_TUNING,
    ...options,
  });
  try {
    return await measure(fleet);
  } finally {
    await fleet.close();
  }
}

/** Sends one prompt repeatedly, and returns the slot of the engine that served the last call. */
async function warmUp(fleet: ProofFleet): Promise<AgentSlot> {
  let counts: number[] = [];
  for (let call = 0; call < WARM_UP_CALLS; call++) {
    counts = fleet.engines.map(({ executions }) => executions.length);
    await callOrThrow(fleet);
  }
  const index = fleet.engines.findIndex(({ executions }, at) =>
    executions.length > counts[at]!
  );
  return fleet.agentSlots[index]!;
}

async function callOrThrow(fleet: ProofFleet): Promise<void> {
  const result = await callNonStreaming(fleet.entries[0]!, chatBody(PROMPT, 4));
  if (result.kind !== "answer") throw new Error(JSON.stringify(result));
}

async function timeToAnswer(fleet: ProofFleet): Promise<number> {
  const startMs = performance.now();
  for (;;) {
    const result = await callNonStreaming(
      fleet.entries[0]!,
      chatBody(PROMPT, 4),
    );
    if (result.kind === "answer") return performance.now() - startMs;
    await sleep(RETRY_MS);
  }
}

async function measureStreamGap(fleet: ProofFleet): Promise<number> {
  const [slot] = fleet.entries;
  let lastMs = 0;
  let longestMs = 0;
  const result = await callStreaming(slot!, chatBody(PROMPT, 80), {
    onEvent: (number) => {
      const nowMs = performance.now();
      if (number > EVENTS_BEFORE_FAULT) {
        longestMs = Math.max(longestMs, nowMs - lastMs);
      }
      lastMs = nowMs;
      if (number !== EVENTS_BEFORE_FAULT) return;
      for (const link of slot!.links) link.freezeOpen();
    },
  });
  if (result.kind !== "answer") throw new Error(JSON.stringify(result));
  return longestMs;
}

/** Restarts all entries in this process, so that the time excludes the start of a process. */
async function measureRestart(fleet: ProofFleet): Promise<number> {
  const startMs = performance.now();
  await fleet.crashAllEntries();
  await timeToAnswer(fleet);
  return performance.now() - startMs;
}

/** Measures the cached share of prompt tokens before and after a restart of all entries. */
async function measureCachedShare(
  fleet: ProofFleet,
): Promise<{ before: number; after: number }> {
  for (let round = 0; round < WARM_UP_ROUNDS; round++) await cachedShare(fleet);
  const before = await cachedShare(fleet);
  await fleet.crashAllEntries();
  return { before, after: await cachedShare(fleet) };
}

async function cachedShare({ entries, engines }: ProofFleet): Promise<number> {
  const counts = engines.map(({ executions }) => executions.length);
  for (let prompt = 0; prompt < PROMPTS; prompt++) {
    const body = chatBody(`${prompt} ${PROMPT}`, 1);
    await callNonStreaming(entries[prompt % entries.length]!, body);
  }
  const fresh = engines.flatMap(({ executions }, index) =>
    executions.slice(counts[index])
  );
  const sum = (of: "cachedTokens" | "promptTokens") =>
    fresh.reduce((total, execution) => total + execution[of], 0);
  return Math.round(sum("cachedTokens") / sum("promptTokens") * 100) / 100;
}

async function measureDrain(fleet: ProofFleet): Promise<number> {
  const [slot] = fleet.entries;
  let longStream: Promise<unknown> | undefined;
  const agentSlot = await new Promise<AgentSlot>((resolve) => {
    longStream = callStreaming(slot!, chatBody("long", 300), {
      onEvent: (number) => {
        if (number === EVENTS_BEFORE_FAULT) resolve(fleet.busyAgentSlot!);
      },
    });
  });
  const engine = fleet.engines[fleet.agentSlots.indexOf(agentSlot)]!;
  const startMs = performance.now();
  const stopped = agentSlot.agent.stop();
  let lastMs = startMs;
  let count = engine.executions.length;
  const calls: Promise<unknown>[] = [];
  while (performance.now() - startMs < DRAIN_WATCH_MS) {
    const { length } = calls;
    const body = chatBody(`new ${length}`, 1);
    calls.push(callNonStreaming(fleet.entries[length % 2]!, body));
    await sleep(DRAIN_CALL_EVERY_MS);
    if (engine.executions.length > count) lastMs = performance.now();
    count = engine.executions.length;
  }
  await Promise.all([...calls, longStream, stopped]);
  return lastMs - startMs;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
