/**
 * Workspace rate limits, shared by all entries. A request over its limit is refused at once; a request
 * that is resent after it ran is charged again.
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

/** Options of {@link Quotas}. */
export interface QuotasOptions {
  clock: Clock;
  metrics: Metrics;
  /** Random number from 0 to 1. */
  random: () => number;
  /** Number of entries that may be live, this one included. */
  entryCount(): number;
}

/** Usage of limits, as entries send it to each other. */
export interface QuotaUpdate {
  /** The entry's start time, in ms since 1970. */
  startedAtMs: number;
  taken: BucketRow[];
}

/** Rate limits of all workspaces, at this entry. */
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
   * @param options Clock, metrics, and the number of entries.
   * @returns Quotas without any limit yet.
   */
  static create(options: QuotasOptions): Quotas {
    return new Quotas(options);
  }

  /** Whether usage was charged that the other entries don't know of yet. */
  get hasUpdate(): boolean {
    return this.#buckets.hasUnsentChanges;
  }

  /** @param workspaces Workspaces of the current configuration, with their limits. */
  setLimits(workspaces: readonly Workspace[]): void {
    const limits = new Map<string, RateLimit>();
    for (const { name, quota } of workspaces) {
      if (quota) limits.set(name, quota);
    }
    this.#buckets.setLimits(limits);
  }

  /**
   * @param request A request to be sent.
   * @returns Whether its workspace's limit admits it; an admitted request is charged.
   */
  admit(request: RoutedRequest): BucketVerdict {
    const { workspace } = request;
    if (!workspace?.quota) return { kind: "admitted" };
    const cost = quotaCost(request, workspace.quota);
    const verdict = this.#buckets.tryTake(workspace.name, cost);
    if (verdict.kind === "refused") {
      this.#metrics.counter("over_quota_requests_total", {
        help: "Requests refused because their workspace was at its limit",
        labels: { workspace: workspace.name },
      }).add();
    }
    return verdict;
  }

  /** @param request A request that was charged, and is about to run again. */
  runsAgain({ workspace, facts }: RoutedRequest): void {
    if (!workspace?.quota) return;
    const cost = quotaCost({ facts }, workspace.quota);
    this.#buckets.take(workspace.name, cost);
  }

  /** @param request A request that was charged, and did not run. */
  giveBack({ workspace, facts }: RoutedRequest): void {
    if (!workspace?.quota) return;
    const cost = quotaCost({ facts }, workspace.quota);
    this.#buckets.take(workspace.name, -cost);
  }

  /** @returns Usage to send to the other entries; undefined if there is none. */
  takeUpdate(): QuotaUpdate | undefined {
    const taken = this.#buckets.takeRows();
    if (taken.length === 0) return undefined;
    return { startedAtMs: this.#buckets.startedAtMs, taken };
  }

  /**
   * Applies the usage that a peer reported.
   *
   * @param ipAddress Address of the peer.
   * @param update The usage.
   */
  applyPeerUpdate(
    ipAddress: string,
    { startedAtMs, taken }: QuotaUpdate,
  ): void {
    this.#buckets.applyReport(ipAddress, { startedAtMs, rows: taken });
  }

  /** @returns The limits and their remaining levels, for state dumps. */
  state(): BucketState[] {
    return this.#buckets.state();
  }
}

/**
 * @param request A request.
 * @param quota The limit of its workspace.
 * @returns What the request is charged, in the limit's unit.
 */
export function quotaCost(
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
