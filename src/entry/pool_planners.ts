/** Runs one planner for each engine pool that a branch names, in the background. */
import type { Clock, Lifecycle, Logger } from "../base/mod.ts";
import type { BranchSet } from "../config/mod.ts";
import {
  type DemandMeter,
  PLANNER_DEFAULTS,
  type PlannerState,
  PoolPlanner,
  wantedModels,
} from "../planner/mod.ts";
import type { KeyValueStore } from "../store/mod.ts";
import type { ChannelPool } from "../wire/mod.ts";
import type { Members } from "./members.ts";
import { PoolAgents } from "./pool_agents.ts";

/** Intervals and limits of planners. */
export type PlanningTuning = {
  [K in keyof typeof PLANNER_DEFAULTS]: number;
};

/** Dependencies and settings of {@link PoolPlanners}. */
export interface PoolPlannersOptions {
  store: KeyValueStore;
  entryId: string;
  branches: BranchSet;
  members: Members;
  channels: ChannelPool;
  demand: DemandMeter;
  /**
   * Whether all teams' branches are known. Planners must not start before: a planner could unload
   * the models of a branch that it does not know.
   */
  knowsAllTeams: () => boolean;
  /** Overrides of the defaults. */
  tuning: Partial<PlanningTuning>;
  lifecycle: Lifecycle;
  clock: Clock;
  log: Logger;
}

const POOL_CHECK_INTERVAL_MS = 1000;

/** The planners of all pools. */
export class PoolPlanners {
  readonly #options: PoolPlannersOptions;
  readonly #planners = new Map<string, PoolPlanner>();

  private constructor(options: PoolPlannersOptions) {
    this.#options = options;
  }

  /**
   * @param options Dependencies and settings.
   * @returns An instance without planners.
   */
  static create(options: PoolPlannersOptions): PoolPlanners {
    return new PoolPlanners(options);
  }

  /**
   * Checks periodically for new pools and starts their planners, once all branches are known.
   *
   * @param signal Stops the checks; the planners themselves stop with the lifecycle.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, knowsAllTeams } = this.#options;
    while (!signal.aborted) {
      if (knowsAllTeams()) this.#startMissing();
      await clock.sleep(POOL_CHECK_INTERVAL_MS, signal);
    }
  }

  /** @returns The state of each planner, for state dumps. */
  state(): PlannerState[] {
    return [...this.#planners.values()].map((planner) => planner.state());
  }

  #startMissing(): void {
    for (const pool of this.#enginePools()) {
      if (!this.#planners.has(pool)) this.#startPlanner(pool);
    }
  }

  #enginePools(): Set<string> {
    const pools = new Set<string>();
    for (const { branch } of this.#options.branches.all()) {
      for (const { pool } of Object.values(branch?.models ?? {})) {
        pools.add(pool);
      }
    }
    return pools;
  }

  #startPlanner(pool: string): void {
    const { branches, members, entryId, lifecycle, clock, log } = this.#options;
    const tuning = { ...PLANNER_DEFAULTS, ...this.#options.tuning };
    const { orderTimeoutMs } = tuning;
    const agents = PoolAgents.create({
      ...this.#options,
      pool,
      orderTimeoutMs,
    });
    const planner = PoolPlanner.create(this.#options.store, {
      readView: (signal) => agents.readView(signal),
      readWanted: () => wantedModels(branches.all(), pool),
      listEntries: () => members.entryIds,
      sendOrder: (order, signal) => agents.sendOrder(order, signal),
    }, { ...tuning, pool, entryId, clock, log });
    this.#planners.set(pool, planner);
    lifecycle.task(`planner-${pool}`, (signal) => planner.run(signal));
  }
}
