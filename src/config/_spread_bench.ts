/**
 * Benchmarks how configuration changes propagate among nodes in one process: the time until a
 * change is in effect on every node, and the messages and bytes sent while idle and per change.
 * Bytes are those of the encoded messages; gRPC and TCP, also their CPU time, are excluded. Prints
 * JSON.
 *
 * Usage: node --import tsx src/config/_spread_bench.ts [nodes…]
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Result } from "true-myth";
import { systemClock } from "../base/mod.ts";
import { MemoryStore } from "../store/memory_store.ts";
import type { KeyValueStore, StoreFailure, WatchStep } from "../store/store.ts";
import { LocalFleet } from "./local_fleet.ts";
import { encodeBranch, teamKey } from "./stored_branch.ts";

const DEFAULT_NODE_COUNTS = [10, 30, 100, 300];
const TEAM_COUNT = 300;
const CHANGE_COUNT = 40;
const MEAN_CHANGE_INTERVAL_MS = 250;
const IDLE_MS = 5000;
const ONE_WAY_DELAY_MS = 1;
const STORE_DELAY_MS = 2;
const MAX_WATCH_DELAY_MS = 20;
const CHANGE_TIMEOUT_MS = 20_000;
const WORKSPACE_COUNT = 9;
const KEYS_PER_WORKSPACE = 4;

/** Which nodes follow the store: all of them, or only the first. */
const SCENARIOS = ["all_watch", "one_watches"] as const;
type Scenario = (typeof SCENARIOS)[number];

interface Traffic {
  messages: number;
  bytes: number;
  storeReads: number;
}

interface Measurement {
  scenario: Scenario;
  nodes: number;
  teams: number;
  branchBytes: number;
  changes: number;
  /** Changes that had not reached every node before the timeout. */
  missed: number;
  inForceEverywhereMs: Record<"p50" | "p99" | "max", number>;
  atRestPerNodeSecond: Record<"messages" | "bytes" | "cpuMs", number>;
  perChangePerNode: Record<"messages" | "bytes", number>;
  storeReadsPerNodeSecondAtRest: number;
}

const counts = process.argv.slice(2).map(Number);
for (const scenario of SCENARIOS) {
  for (const nodes of counts.length > 0 ? counts : DEFAULT_NODE_COUNTS) {
    console.log(JSON.stringify(await measure(scenario, nodes)));
  }
}

async function measure(
  scenario: Scenario,
  nodes: number,
): Promise<Measurement> {
  const store = MemoryStore.create();
  store.faults.slowMs = STORE_DELAY_MS;
  const value = encodeTestBranch();
  for (let i = 0; i < TEAM_COUNT; i++) put(store, `team-${i}`, value);
  const fleet = LocalFleet.create({
    store: withWatchDelay(store),
    oneWayDelayMs: ONE_WAY_DELAY_MS,
  });
  const started = Array.from(
    { length: nodes },
    (_, i) => fleet.start(`node-${i}`),
  );
  await Promise.all(started.map(({ sync }) => sync.ready));
  await waitUntil(() => started.every(({ sync }) => sync.knowsAllTeams));
  if (scenario === "one_watches") {
    for (const node of started.slice(1)) node.store.open = false;
  }
  await systemClock.sleep(2000);
  const traffic = (): Traffic => ({
    ...fleet.counters,
    storeReads: store.counters.reads,
  });
  const idle = await measureIdle(traffic);
  const before = traffic();
  const startedMs = performance.now();
  const times = build({ numberOfSignificantValueDigits: 3 });
  const missed = await commitChanges(store, fleet, times);
  const tookMs = performance.now() - startedMs;
  const after = traffic();
  const perChange = (field: "messages" | "bytes") =>
    (after[field] - before[field] - idle[field] * tookMs / IDLE_MS) /
    CHANGE_COUNT / nodes;
  const perNodeSecond = (total: number) => total / nodes / (IDLE_MS / 1000);
  await fleet.stopAll();
  store.close();
  return {
    scenario,
    nodes,
    teams: TEAM_COUNT,
    branchBytes: value.length,
    changes: CHANGE_COUNT,
    missed,
    inForceEverywhereMs: {
      p50: times.getValueAtPercentile(50),
      p99: times.getValueAtPercentile(99),
      max: times.maxValue,
    },
    atRestPerNodeSecond: {
      messages: roundToHundredths(perNodeSecond(idle.messages)),
      bytes: roundToHundredths(perNodeSecond(idle.bytes)),
      cpuMs: roundToHundredths(perNodeSecond(idle.cpuMs)),
    },
    perChangePerNode: {
      messages: roundToHundredths(perChange("messages")),
      bytes: roundToHundredths(perChange("bytes")),
    },
    storeReadsPerNodeSecondAtRest: roundToHundredths(
      perNodeSecond(idle.storeReads),
    ),
  };
}

async function measureIdle(
  traffic: () => Traffic,
): Promise<Traffic & { cpuMs: number }> {
  const before = traffic();
  const cpuBefore = process.cpuUsage();
  await systemClock.sleep(IDLE_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const after = traffic();
  return {
    messages: after.messages - before.messages,
    bytes: after.bytes - before.bytes,
    storeReads: after.storeReads - before.storeReads,
    cpuMs: (cpu.user + cpu.system) / 1000,
  };
}

/**
 * Commits one change at a time. The next change follows at a random interval after the last one has
 * reached every node or timed out.
 *
 * @returns The number of changes that timed out.
 */
async function commitChanges(
  store: MemoryStore,
  fleet: LocalFleet,
  times: Histogram,
): Promise<number> {
  let missed = 0;
  for (let change = 0; change < CHANGE_COUNT; change++) {
    const team = `team-${change}`;
    const changedMs = performance.now();
    const revision = put(store, team, encodeTestBranch());
    const isEverywhere = () =>
      [...fleet.nodes.values()].every(({ branches }) =>
        branches.revisionOf(team) >= revision
      );
    if (await waitUntil(isEverywhere)) {
      times.recordValue(performance.now() - changedMs);
    } else missed++;
    await systemClock.sleep(MEAN_CHANGE_INTERVAL_MS * Math.random() * 2);
  }
  return missed;
}

function put(store: MemoryStore, team: string, value: Uint8Array): bigint {
  const key = teamKey(team);
  return store.table.commit([], [{ kind: "put", key, value }]).position
    .revision;
}

function encodeTestBranch(): Uint8Array {
  const workspaces: Record<string, unknown> = {};
  for (let i = 0; i < WORKSPACE_COUNT; i++) {
    const keys = Array.from({ length: KEYS_PER_WORKSPACE }, (_, key) => ({
      id: `key-${key}`,
      sha256: "0".repeat(64),
    }));
    workspaces[`workspace-${i}`] = { defaultClass: "desk", keys };
  }
  const classes = { desk: { priority: "urgent", deadlineMs: 2000 } };
  return encodeBranch({ format: 1, classes, workspaces });
}

/** Delays each watch event by a random time, drawn separately for every watcher. */
function withWatchDelay(store: MemoryStore): KeyValueStore {
  async function* watch(
    ...args: Parameters<KeyValueStore["watch"]>
  ): AsyncGenerator<Result<WatchStep, StoreFailure>> {
    for await (const step of store.watch(...args)) {
      await systemClock.sleep(Math.random() * MAX_WATCH_DELAY_MS);
      yield step;
    }
  }
  return {
    get: (key) => store.get(key),
    list: (prefix) => store.list(prefix),
    commit: (...args) => store.commit(...args),
    watch,
    grantLease: (ttlMs) => store.grantLease(ttlMs),
    renewLease: (leaseId) => store.renewLease(leaseId),
    revokeLease: (leaseId) => store.revokeLease(leaseId),
    close: () => store.close(),
  };
}

async function waitUntil(isMet: () => boolean): Promise<boolean> {
  const timeoutAtMs = performance.now() + CHANGE_TIMEOUT_MS;
  while (!isMet()) {
    if (performance.now() > timeoutAtMs) return false;
    await systemClock.sleep(2);
  }
  return true;
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
