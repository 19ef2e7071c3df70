/** One run of one policy under one load. */
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

/** Placement that knows every cache and queue, to compare with. */
export const ORACLE = "oracle";
/** A policy, or the oracle. */
export type ContestantName = PolicyName | typeof ORACLE;

/** Parts outside of the policy that can be switched off. */
export const AgentMechanism = {
  Priority: "priority",
  Deadline: "deadline",
  InFlight: "inflight",
} as const;
/** Anything that can be switched off. */
export type SwitchName =
  | Mechanism
  | (typeof AgentMechanism)[keyof typeof AgentMechanism];

/** Settings of a run. */
export interface RunOptions {
  contestant: ContestantName;
  seed: number;
  without: ReadonlySet<SwitchName>;
  /** How long agents hold a place for an offer. */
  holdMs?: number;
}

/** What an engine met when it began to prefill a request. */
export interface PrefillRecord {
  plan: RequestPlan;
  atMs: number;
  promptTokens: number;
  cachedTokens: number;
  /** Recomputed although another live server of the pool held them. */
  wastedTokens: number;
}

/** All that was seen in a run. */
export interface RunTrace {
  requests: RequestRecord[];
  prefills: PrefillRecord[];
  /** Tokens prefilled by each worker of each pool. */
  workTokens: Record<string, number[]>;
}

const ENTRIES = 3;
const HOLD_MS = 15;
const SAME_ZONE_RTT_MS = 0.2;
const LIST_LAG_MS = 2_000;
const LOAD_FEED_MS = 250;
const BLOCK_TOKENS = 64;
const AFTER_END_MS = 30_000;

/**
 * @param workload The load.
 * @param options Who places it.
 * @returns What happened.
 */
export async function runOnce(
  workload: Workload,
  options: RunOptions,
): Promise<RunTrace> {
  const fleet = new Fleet(workload, options);
  const entries = Array.from(
    { length: ENTRIES },
    (_, index) => buildEntry(fleet, workload, { ...options, index }),
  );
  fleet.start();
  if (options.contestant === PolicyName.LeastLoaded) {
    void feedLoads(fleet, entries);
  }
  void fleet.disturb();
  const requests: RequestRecord[] = [];
  void send(fleet, entries, requests);
  await fleet.clock.advance(workload.events.endMs + AFTER_END_MS);
  fleet.stop();
  await fleet.clock.advance(workload.events.endMs + 2 * AFTER_END_MS);
  return { requests, prefills: fleet.prefills, workTokens: fleet.workTokens() };
}

/** The workers and what happens to them. */
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
          onPrefill: (plan, blocks, engine) => this.#note(plan, blocks, engine),
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

  workTokens(): Record<string, number[]> {
    const tokens: Record<string, number[]> = {};
    for (const { pool, engine } of this.workers) {
      (tokens[pool] ??= []).push(engine.prefilledTokens);
    }
    return tokens;
  }

  /** The crash and the drain hit the pool of the first workers. */
  async disturb(): Promise<void> {
    const { events } = this.workload;
    const [crashing, draining] = [this.workers[1]!, this.workers[2]!];
    await this.clock.sleep(events.crashMs);
    crashing.engine.crash();
    await this.clock.sleep(events.restartMs - events.crashMs);
    crashing.engine.restart();
    await this.clock.sleep(events.drainMs - events.restartMs);
    draining.isLeaving = true;
    await this.clock.sleep(LIST_LAG_MS);
    this.#buildTables();
  }

  #buildTables(): void {
    for (const { name } of this.workload.pools) {
      const isMember = (worker: Worker) =>
        worker.pool === name && !worker.isLeaving;
      this.#tables.set(name, MemberTable.create(this.workers.filter(isMember)));
    }
  }

  #note(plan: RequestPlan, cachedBlocks: number, engine: VirtualEngine): void {
    const { keys, request } = plan.prompt;
    let held = cachedBlocks;
    for (const other of this.workers) {
      if (other.pool !== plan.class.pool || other.engine === engine) continue;
      if (other.engine.isUp) {
        held = Math.max(held, other.engine.cachedBlocks(keys));
      }
    }
    this.prefills.push({
      plan,
      atMs: this.clock.nowMs(),
      promptTokens: request.promptTokens,
      cachedTokens: cachedBlocks * BLOCK_TOKENS,
      wastedTokens: (held - cachedBlocks) * BLOCK_TOKENS,
    });
  }
}

function buildEntry(
  fleet: Fleet,
  workload: Workload,
  { contestant, without, seed, index, holdMs = HOLD_MS }: RunOptions & {
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

async function send(
  fleet: Fleet,
  entries: EntryModel[],
  records: RequestRecord[],
): Promise<void> {
  const { requests } = fleet.workload;
  for (let index = 0; index < requests.length; index++) {
    const plan = requests[index]!;
    await fleet.clock.sleep(plan.atMs - fleet.clock.nowMs());
    const entry = entries[fleet.random.between(0, entries.length)]!;
    void entry.serve(plan, `${index}`).then((record) => records.push(record));
  }
}

/** Gives the baseline that goes by load what a feed of load would, every quarter of a second. */
async function feedLoads(fleet: Fleet, entries: EntryModel[]): Promise<void> {
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
    await fleet.clock.sleep(LOAD_FEED_MS, fleet.signal);
  }
}
