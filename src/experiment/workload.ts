/**
 * Types and helpers for simulated workloads. Workloads are open-loop: arrival times don't depend on
 * answers.
 */
import {
  type ChainScope,
  describePrompt,
  type PlacementRequest,
  promptChain,
  renderPrompt,
} from "../placement/mod.ts";
import type { PriorityName } from "../config/branch.ts";
import { Random } from "./random.ts";

/** Names of the workloads. */
export const WorkloadName = {
  Lakeshore: "lakeshore",
  Veldhoven: "veldhoven",
} as const;
/** One of {@link WorkloadName}. */
export type WorkloadName = (typeof WorkloadName)[keyof typeof WorkloadName];

/** A pool of identical workers. */
export interface PoolPlan {
  name: string;
  workers: number;
  cacheBlocks: number;
}

/** A class of requests with the same pool, priority and deadline. */
export interface ClassPlan {
  name: string;
  pool: string;
  priority: PriorityName;
  deadlineMs: number;
  recomputePriceMs: number;
  outputTokens: number;
}

/** A request and the time at which it is sent. */
export interface RequestPlan {
  atMs: number;
  class: ClassPlan;
  scope: ChainScope;
  prompt: PromptPlan;
}

/** A prompt in the forms that placement and the engines use. */
export interface PromptPlan {
  request: PlacementRequest;
  keys: BigUint64Array;
  /** Text of each block. */
  contents: string[];
}

/** All requests, pools and events of a run. */
export interface Workload {
  name: WorkloadName;
  pools: PoolPlan[];
  classes: ClassPlan[];
  zones: string[];
  /** Round-trip time between availability zones. */
  zoneRttMs: number;
  requests: RequestPlan[];
  events: EventTimes;
}

/** Times of the events in a run, since its start. */
export interface EventTimes {
  /** End of the warm-up: measurement begins once the caches have been filled. */
  warmMs: number;
  shiftMs: number;
  crashMs: number;
  /** The crashed engine restarts with an empty cache. */
  restartMs: number;
  drainMs: number;
  endMs: number;
}

/** Event times that all workloads use. */
export const EVENT_TIMES: EventTimes = {
  warmMs: 5_000,
  shiftMs: 25_000,
  crashMs: 45_000,
  restartMs: 50_000,
  drainMs: 65_000,
  endMs: 80_000,
};

/** Changes to a workload's default rates, worker counts and latency. */
export interface LoadOptions {
  /** Multiplies the request rates. */
  load?: number;
  /** Multiplies both the request rates and the number of workers. */
  scale?: number;
  /** Round-trip time between availability zones; by default the workload's own. */
  zoneRttMs?: number;
}

/** The team, workspace and model that a prompt belongs to. */
export interface PromptOwner {
  team: string;
  workspace: string;
  model: string;
}

/** Builds prompts with one message per level, and shares the text of equal blocks. */
export class PromptBuilder {
  readonly #contents = new Map<bigint, string>();

  private constructor() {}

  /** @returns A builder without cached block texts. */
  static create(): PromptBuilder {
    return new PromptBuilder();
  }

  /**
   * @param owner The team, workspace and model of the prompt.
   * @param texts The levels from the most widely shared to the most specific, then the question.
   * @param recomputePriceMs Price of recomputing a token for the request's class.
   * @returns The scope and the prompt.
   */
  build(
    owner: PromptOwner,
    texts: string[],
    { recomputePriceMs }: { recomputePriceMs: number },
  ): Pick<RequestPlan, "scope" | "prompt"> {
    const scope = { ...owner, adapter: "", weightsVersion: "1" };
    const messages = texts.map((content, i) => ({
      role: i === 0 ? "system" : "user",
      content,
    }));
    const body = { messages };
    const request = describePrompt(body, {
      scope,
      api: "chat",
      recomputePriceMs,
    });
    const { bytes } = renderPrompt("chat", body);
    const { keys, ends } = promptChain(scope, bytes);
    const contents = Array.from(keys, (key, i) => {
      return this.#internContent(
        key,
        bytes.subarray(ends[i - 1] ?? 0, ends[i]),
      );
    });
    return { scope, prompt: { request, keys, contents } };
  }

  /** Returns one shared string for each block, to save memory when many prompts contain it. */
  #internContent(key: bigint, bytes: Uint8Array): string {
    let content = this.#contents.get(key);
    if (content !== undefined) return content;
    content = Buffer.from(bytes).toString("utf8");
    this.#contents.set(key, content);
    return content;
  }
}

/** The first prompt level, such as a salon or a firm, in one of the workspaces. */
export interface Site {
  workspace: string;
  text: string;
  random: Random;
}

const WORKSPACES = 8;
const LARGE_WORKSPACES = 3;
const SITES_OF_LARGE = 4;
const SITES_OF_SMALL = 2;

/**
 * @param random Generator for the texts.
 * @param sizeBytes Size of each site's own text.
 * @returns The sites of 8 workspaces, of which 3 are large.
 */
export function buildSites(random: Random, sizeBytes: number): Site[] {
  const sites: Site[] = [];
  for (let workspace = 0; workspace < WORKSPACES; workspace++) {
    const count = workspace < LARGE_WORKSPACES
      ? SITES_OF_LARGE
      : SITES_OF_SMALL;
    for (let site = 0; site < count; site++) {
      sites.push({
        workspace: `workspace-${workspace}`,
        text: random.text(sizeBytes),
        random: Random.create(random.nextInt(0, 1 << 30)),
      });
    }
  }
  return sites;
}

/**
 * Generates the arrivals of a Poisson process until the end of the run.
 *
 * @param random Generator for the intervals.
 * @param ratePerS Mean rate.
 * @param start Called with the time of each arrival.
 */
export function poissonArrivals(
  random: Random,
  ratePerS: number,
  start: (atMs: number) => void,
): void {
  let atMs = random.exponential(1000 / ratePerS);
  while (atMs < EVENT_TIMES.endMs) {
    start(atMs);
    atMs += random.exponential(1000 / ratePerS);
  }
}

/**
 * @param pools The workload's default pools.
 * @param options Contains the factor for the number of workers.
 * @returns The pools with scaled numbers of workers.
 */
export function scalePools(
  pools: PoolPlan[],
  { scale = 1 }: LoadOptions,
): PoolPlan[] {
  return pools.map((pool) => ({ ...pool, workers: pool.workers * scale }));
}

/**
 * @param options Contains the factors.
 * @returns The factor for request rates.
 */
export function rateFactor({ load = 1, scale = 1 }: LoadOptions): number {
  return load * scale;
}
