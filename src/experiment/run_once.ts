/** Simulates one run of one placement policy under one workload. */
import {
  createPolicy,
  type Mechanism,
  MemberTable,
  PolicyName,
} from "../placement/mod.ts";
import type { AskRequest } from "../wire/gen/cicadahitch.ts";
import { EntryModel, type RequestRecord } from "./entry_model.ts";
import { Random } from "./random.ts";
import { VirtualClock } from "./virtual_clock.ts";
import type { VirtualEngine } from "./virtual_engine.ts";
import type { RequestPlan, Workload } from "./workload.ts";
import { Worker } from "./worker.ts";

/** Name of the reference placement, which reads the exact state of every cache and queue. */
export const ORACLE = "oracle";
/** Name of a placement policy or of the oracle. */
export type ContestantName = PolicyName | typeof ORACLE;

/** Mechanisms outside of the placement policy that can be switched off. */
export const AgentMechanism = {
  Priority: "priority",
  Deadline: "deadline",
  InFlight: "inflight",
} as const;
/** Any mechanism that can be switched off, in the policy or outside of it. */
export type MechanismName =
  | Mechanism
  | (typeof AgentMechanism)[keyof typeof AgentMechanism];

/** Settings of a run. */
export interface RunOptions {
  contestant: ContestantName;
  seed: number;
  without: ReadonlySet<MechanismName>;
  /** How long an agent reserves capacity for an unused offer. */
  holdMs?: number;
}

/** Cache state recorded when an engine begins to prefill a request. */
export interface PrefillRecord {
  plan: RequestPlan;
  atMs: number;
  promptTokens: number;
  cachedTokens: number;
  /** Tokens recomputed although another running server of the pool had them cached. */
  wastedTokens: number;
}

/** Everything recorded during a run. */
export interface RunTrace {
  requests: RequestRecord[];
  prefills: PrefillRecord[];
  /** Number of tokens prefilled by each worker, by pool. */
  prefilledTokens: Record<string, number[]>;
}

const ENTRY_COUNT = 3;
const DEFAULT_HOLD_MS = 15;
const SAME_ZONE_RTT_MS = 0.2;
const MEMBER_LIST_DELAY_MS = 2_000;
const LOAD_REPORT_INTERVAL_MS = 250;
const BLOCK_TOKENS = 64;
const GRACE_PERIOD_MS = 30_000;

/**
 * @param workload The requests and events to simulate.
 * @param options The placement policy, seed and switched-off mechanisms.
 * @returns The recorded requests and prefills.
 */
export async function runOnce(
  workload: Workload,
  options: RunOptions,
): Promise<RunTrace> {
  const fleet = new Fleet(workload, options);
  const entries = Array.from(
    { length: ENTRY_COUNT },
    (_, index) => buildEntry(fleet, workload, { ...options, index }),
  );
  fleet.start();
  if (options.contestant === PolicyName.LeastLoaded) {
    void reportLoads(fleet, entries);
  }
  void fleet.injectFaults();
  const requests: RequestRecord[] = [];
  void sendRequests(fleet, entries, requests);
  await fleet.clock.advance(workload.events.endMs + GRACE_PERIOD_MS);
  fleet.stop();
  await fleet.clock.advance(workload.events.endMs + 2 * GRACE_PERIOD_MS);
  return {
    requests,
    prefills: fleet.prefills,
    prefilledTokens: fleet.prefilledTokens(),
  };
}

/** Owns the workers, their member tables and the injected faults. */
class Fleet {
  readonly clock = VirtualClock.create();
  readonly workers: Worker[] = [];
  readonly prefills: PrefillRecord[] = [];
  readonly workload: Workload;
  readonly random: Random;
  readonly #tables = new Map<string, MemberTable<Worker>>();
  readonly #abort = new AbortController();

  constructor(
    workload: Workload,
    { seed, without }: RunOptions,
  ) {
    this.workload = workload;
    const countsInFlight = !without.has(AgentMechanism.InFlight);
    this.random = Random.create(seed + 7919);
    for (const pool of workload.pools) {
      for (let i = 0; i < pool.workers; i++) {
        this.workers.push(Worker.create({
          id: `${pool.name}-${i}`,
          model: pool.name,
          pool: pool.name,
          zone: workload.zones[i % workload.zones.length]!,
          cacheBlocks: pool.cacheBlocks,
          countsInFlight,
          clock: this.clock,
          random: Random.create(seed * 1000 + this.workers.length),
          planOf: (requestId) => workload.requests[parseInt(requestId)]!,
          onPrefill: (plan, blocks, engine) =>
            this.#recordPrefill(plan, blocks, engine),
        }));
      }
    }
    this.#buildTables();
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  start(): void {
    for (const worker of this.workers) worker.start(this.signal);
  }

  stop(): void {
    this.#abort.abort();
  }

  tableOf(pool: string): MemberTable<Worker> {
    return this.#tables.get(pool)!;
  }

  prefilledTokens(): Record<string, number[]> {
    const tokens: Record<string, number[]> = {};
    for (const { pool, engine } of this.workers) {
      (tokens[pool] ??= []).push(engine.prefilledTokens);
    }
    return tokens;
  }

  /** Crashes and restarts one worker of the first pool, and drains another. */
  async injectFaults(): Promise<void> {
    const { events } = this.workload;
    const [crashing, draining] = [this.workers[1]!, this.workers[2]!];
    await this.clock.sleep(events.crashMs);
    crashing.engine.crash();
    await this.clock.sleep(events.restartMs - events.crashMs);
    crashing.engine.restart();
    await this.clock.sleep(events.drainMs - events.restartMs);
    draining.isLeaving = true;
    await this.clock.sleep(MEMBER_LIST_DELAY_MS);
    this.#buildTables();
  }

  #buildTables(): void {
    for (const { name } of this.workload.pools) {
      const isMember = (worker: Worker) =>
        worker.pool === name && !worker.isLeaving;
      this.#tables.set(name, MemberTable.create(this.workers.filter(isMember)));
    }
  }

  #recordPrefill(
    plan: RequestPlan,
    cachedBlocks: number,
    engine: VirtualEngine,
  ): void {
    const { keys, request } = plan.prompt;
    let maxCachedBlocks = cachedBlocks;
    for (const other of this.workers) {
      if (other.pool !== plan.class.pool || other.engine === engine) continue;
      if (other.engine.isUp) {
        maxCachedBlocks = Math.max(
          maxCachedBlocks,
          other.engine.cachedBlocks(keys),
        );
      }
    }
    this.prefills.push({
      plan,
      atMs: this.clock.nowMs(),
      promptTokens: request.promptTokens,
      cachedTokens: cachedBlocks * BLOCK_TOKENS,
      wastedTokens: (maxCachedBlocks - cachedBlocks) * BLOCK_TOKENS,
    });
  }
}

function buildEntry(
  fleet: Fleet,
  workload: Workload,
  { contestant, without, seed, index, holdMs = DEFAULT_HOLD_MS }: RunOptions & {
    index: number;
  },
): EntryModel {
  const zone = workload.zones[index % workload.zones.length]!;
  const zoneRttMs = Object.fromEntries(workload.zones.map((other) => {
    return [other, other === zone ? SAME_ZONE_RTT_MS : workload.zoneRttMs];
  }));
  const random = Random.create(seed * 100 + index);
  const name = contestant === ORACLE ? PolicyName.Offers : contestant;
  const policy = createPolicy(name, {
    zone,
    zoneRttMs,
    nowMs: () => fleet.clock.nowMs(),
    random: () => random.next(),
    without: without as ReadonlySet<Mechanism>,
  });
  return EntryModel.create({
    clock: fleet.clock,
    policy,
    zoneRttMs,
    tableOf: (pool) => fleet.tableOf(pool),
    holdMs,
    hasPriority: !without.has(AgentMechanism.Priority),
    hasDeadline: !without.has(AgentMechanism.Deadline),
    oracle: contestant === ORACLE ? createOracle(fleet) : undefined,
  });
}

function createOracle(fleet: Fleet) {
  return (ask: AskRequest, plan: RequestPlan, tried: ReadonlySet<string>) => {
    const { keys, request } = plan.prompt;
    let best: Worker | undefined;
    let lowest = Infinity;
    for (const worker of fleet.tableOf(plan.class.pool).members) {
      if (tried.has(worker.id)) continue;
      const cached = worker.engine.cachedBlocks(keys) * BLOCK_TOKENS;
      const missing = Math.max(1, request.promptTokens - cached);
      const cost = worker.exactTtftMs(ask, missing) +
        missing * request.recomputePriceMs;
      if (cost >= lowest) continue;
      lowest = cost;
      best = worker;
    }
    return best;
  };
}

async function sendRequests(
  fleet: Fleet,
  entries: EntryModel[],
  records: RequestRecord[],
): Promise<void> {
  const { requests } = fleet.workload;
  for (let index = 0; index < requests.length; index++) {
    const plan = requests[index]!;
    await fleet.clock.sleep(plan.atMs - fleet.clock.nowMs());
    const entry = entries[fleet.random.nextInt(0, entries.length)]!;
    void entry.serve(plan, `${index}`).then((record) => records.push(record));
  }
}

/** Simulates a periodic feed of each worker's load, for the least-loaded baseline. */
async function reportLoads(fleet: Fleet, entries: EntryModel[]): Promise<void> {
  while (!fleet.signal.aborted) {
    for (const { id, server } of fleet.workers) {
      const { runningCount: running, waitingCount: waiting } = server.admission;
      for (const { policy } of entries) {
        policy.recordObservation({
          kind: "load",
          memberId: id,
          running,
          waiting,
        });
      }
    }
    await fleet.clock.sleep(LOAD_REPORT_INTERVAL_MS, fleet.signal);
  }
}
