/**
 * Enforces team limits at one entry. Each decision uses the share that the entry holds, without a
 * network call; the team's coordinator sends new shares in the background.
 */
import type { Clock } from "../base/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import { floorShare, type Limits } from "./_division.ts";
import { TeamUsage, type TeamUsageState } from "./_team_usage.ts";

/** An entry requests a share once it uses this part of its floor. */
const FLOOR_REPORT_SHARE = 0.75;
/** Minimum time between two reports when a refusal brings the next one forward. */
const MIN_REPORT_GAP_MS = 1000;

/** Settings of a {@link TeamLimiter}. */
export interface TeamLimiterOptions {
  clock: Clock;
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** Current limits; undefined for an unknown team. */
  limitsOf: (team: string) => Limits | undefined;
  /** Entries known to be running, including this one. */
  entryCount: () => number;
}

/** Whether a request is admitted. */
export type AdmitVerdict =
  | { kind: "admitted"; admission: Admission }
  /** The request was not run; the caller may retry after this time. */
  | { kind: "refused"; retryAfterMs: number; reason: RefusalReason };

/** Which limit was reached. */
export type RefusalReason = "in_flight" | "tokens" | "unknown_team";

/** An admitted request. Call `settle` once when it ends, whether it succeeded or failed. */
export interface Admission {
  /**
   * @param tokensUsed Tokens that the request consumed.
   */
  settle(tokensUsed: number): void;
}

/** Admits requests of all teams at one entry. */
export class TeamLimiter {
  readonly #options: TeamLimiterOptions;
  readonly #usages = new Map<string, TeamUsage>();

  private constructor(options: TeamLimiterOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, limits and entries.
   * @returns A limiter without any requests.
   */
  static create(options: TeamLimiterOptions): TeamLimiter {
    return new TeamLimiter(options);
  }

  /**
   * @param team The team.
   * @param tokensExpected Estimated tokens of prompt and answer.
   * @returns The admission, or the time to wait before a retry.
   */
  tryAdmit(team: string, tokensExpected: number): AdmitVerdict {
    const limits = this.#options.limitsOf(team);
    if (!limits) {
      return { kind: "refused", retryAfterMs: 0, reason: "unknown_team" };
    }
    const usage = this.#usageOf(team, limits);
    const reason = usage.exceededLimit(tokensExpected);
    if (reason) {
      const retryAfterMs = usage.refuse(reason, tokensExpected);
      return { kind: "refused", retryAfterMs, reason };
    }
    usage.admit(tokensExpected);
    const admission = this.#createAdmission(usage, tokensExpected);
    return { kind: "admitted", admission };
  }

  /**
   * Collects the demands that are due. Teams well below their floor report nothing.
   *
   * @returns One demand for each team whose report is due.
   */
  dueDemands(): TeamDemand[] {
    const nowMs = this.#options.clock.nowMs();
    const due: TeamDemand[] = [];
    for (const [team, usage] of this.#usages) {
      if (this.#hasNoLimits(team) || usage.isIdle()) {
        this.#usages.delete(team);
        continue;
      }
      const needsShare = usage.hasShare ||
        usage.isNearFloor(FLOOR_REPORT_SHARE);
      if (!needsShare || nowMs < usage.reportDueMs(MIN_REPORT_GAP_MS)) continue;
      due.push(usage.report(team));
    }
    return due;
  }

  /**
   * Applies a new share.
   *
   * @param share The coordinator's answer.
   * @param sentAtMs When the demand was sent; the lifetime of the share starts then.
   */
  applyShare(share: TeamShare, sentAtMs: number): void {
    this.#usages.get(share.team)?.applyShare(share, sentAtMs);
  }

  /**
   * Schedules another report after one that got no answer.
   *
   * @param team The team.
   * @param afterMs Mean delay before the next report, which jitter varies.
   */
  reportFailed(team: string, afterMs: number): void {
    this.#usages.get(team)?.scheduleReport(afterMs);
  }

  /** @returns The state of each team with recent use, for state dumps. */
  state(): TeamUsageState[] {
    return [...this.#usages].map(([team, usage]) => usage.state(team));
  }

  #hasNoLimits(team: string): boolean {
    return this.#options.limitsOf(team) === undefined;
  }

  #usageOf(team: string, limits: Limits): TeamUsage {
    const { clock, random, entryCount } = this.#options;
    const floor = floorShare(limits, entryCount());
    const known = this.#usages.get(team);
    if (known) {
      known.setLimits(limits, floor);
      return known;
    }
    const usage = TeamUsage.create({ clock, random, limits, floor });
    this.#usages.set(team, usage);
    return usage;
  }

  #createAdmission(usage: TeamUsage, tokensExpected: number): Admission {
    const { clock } = this.#options;
    const admittedMs = clock.nowMs();
    let isOpen = true;
    return {
      settle(tokensUsed) {
        if (!isOpen) return;
        isOpen = false;
        const durationMs = clock.nowMs() - admittedMs;
        usage.settle({ tokensExpected, tokensUsed, durationMs });
      },
    };
  }
}
