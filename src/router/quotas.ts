/**
 * Limits of workspaces over all entries together. What lies beyond a limit is refused at once; what is
 * sent once more counts again wherever it runs.
 */
import type { Clock, Metrics } from "../base/mod.ts";
import {
  type BucketRow,
  type BucketState,
  type BucketVerdict,
  type RateLimit,
  SharedBuckets,
} from "../limits/mod.ts";
import { QuotaUnit, type Workspace, type WorkspaceQuota } from "./model.ts";
import type { RoutedRequest } from "./request.ts";

/** What {@link Quotas} work with. */
export interface QuotasOptions {
  clock: Clock;
  metrics: Metrics;
  /** 0 to 1. */
  random: () => number;
  /** Entries that may live, this one included. */
  entryCount(): number;
}

/** What entries tell each other of limits. */
export interface QuotaNews {
  /** When the entry started, since 1970. */
  startedAtMs: number;
  taken: BucketRow[];
}

/** Limits of all workspaces at this entry. */
export class Quotas {
  readonly #buckets: SharedBuckets;
  readonly #metrics: Metrics;

  private constructor({ clock, random, entryCount, metrics }: QuotasOptions) {
    this.#metrics = metrics;
    this.#buckets = SharedBuckets.create({
      clock,
      random,
      memberCount: entryCount,
    });
  }

  /**
   * @param options Clock and entries.
   * @returns No limits.
   */
  static create(options: QuotasOptions): Quotas {
    return new Quotas(options);
  }

  /** Whether something was taken that the other entries don't know yet. */
  get hasNews(): boolean {
    return this.#buckets.hasNews;
  }

  /** @param workspaces Those of the configuration in force. */
  use(workspaces: readonly Workspace[]): void {
    const limits = new Map<string, RateLimit>();
    for (const { name, quota } of workspaces) {
      if (quota) limits.set(name, quota);
    }
    this.#buckets.setLimits(limits);
  }

  /**
   * @param request A request that is to be sent.
   * @returns Whether its workspace's limit allows it; it has then been counted.
   */
  admit(request: RoutedRequest): BucketVerdict {
    const { workspace } = request;
    if (!workspace?.quota) return { kind: "admitted" };
    const cost = costOf(request, workspace.quota);
    const verdict = this.#buckets.tryTake(workspace.name, cost);
    if (verdict.kind === "refused") {
      this.#metrics.counter("over_quota_requests_total", {
        help: "Requests refused because their workspace was at its limit",
        labels: { workspace: workspace.name },
      }).add();
    }
    return verdict;
  }

  /** @param request A request that was counted, and is to run once more. */
  runsAgain({ workspace, facts }: RoutedRequest): void {
    if (!workspace?.quota) return;
    const cost = costOf({ facts }, workspace.quota);
    this.#buckets.take(workspace.name, cost);
  }

  /** @param request A request that was counted, and has not run. */
  giveBack({ workspace, facts }: RoutedRequest): void {
    if (!workspace?.quota) return;
    const cost = costOf({ facts }, workspace.quota);
    this.#buckets.take(workspace.name, -cost);
  }

  /** @returns What the other entries are to know; nothing while no workspace has a limit. */
  takeNews(): QuotaNews | undefined {
    const taken = this.#buckets.takeRows();
    if (taken.length === 0) return undefined;
    return { startedAtMs: this.#buckets.startedAtMs, taken };
  }

  /**
   * @param ipAddress Another entry.
   * @param news What it tells.
   */
  hear(ipAddress: string, { startedAtMs, taken }: QuotaNews): void {
    this.#buckets.hear(ipAddress, { startedAtMs, rows: taken });
  }

  /** @returns The limits and what is left of them, for dumps. */
  state(): BucketState[] {
    return this.#buckets.state();
  }
}

/**
 * @param request A request.
 * @param quota The limit of its workspace.
 * @returns What it counts as, in the limit's unit.
 */
export function costOf(
  { facts }: Pick<RoutedRequest, "facts">,
  { unit, plainTokens }: WorkspaceQuota,
): number {
  switch (unit) {
    case QuotaUnit.requests:
      return 1;
    case QuotaUnit.tokens: {
      const { prompt } = facts;
      return prompt ? prompt.promptTokens + prompt.outputTokens : plainTokens;
    }
  }
}
