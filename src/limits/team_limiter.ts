/**
 * A team's limits at one entry. Decides at once from the share at hand; shares come from the team's
 * coordinator between requests, never with them.
 */
import type { Clock } from "../base/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import { floorShare, type Limits } from "./_division.ts";
import { TeamUsage, type TeamUsageState } from "./_team_use.ts";

/** Part of the floor from which an entry asks for a share. */
const FLOOR_REPORT_SHARE = 0.75;
/** A refusal brings the next report forward, but not closer than this to the last one. */
const MIN_REPORT_GAP_MS = 1000;

/** Settings of a {@link TeamLimiter}. */
export interface TeamLimiterOptions {
  clock: Clock;
  /** 0 to 1. */
  random: () => number;
  /** Limits in force; undefined for an unknown team. */
  limitsOf: (team: string) => Limits | undefined;
  /** Entries known to live, this one included. */
  entryCount: () => number;
}

/** Whether a request may go on. */
export type AdmitVerdict =
  | { kind: "admitted"; admission: Admission }
  /** Not run; the caller may come back then. */
  | { kind: "refused"; retryAfterMs: number; reason: RefusalReason };

/** Which limit was reached. */
export type RefusalReason = "in_flight" | "tokens" | "unknown_team";

/** A request that was admitted; end it with exactly one `settle`, whatever became of it. */
export interface Admission {
  /**
   * @param tokensUsed Tokens that the request took in the end.
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
   * @returns A limiter that nobody uses.
   */
  static create(options: TeamLimiterOptions): TeamLimiter {
    return new TeamLimiter(options);
  }

  /**
   * @param team The team.
   * @param tokensExpected Tokens of prompt and answer, as far as can be told.
   * @returns The admission, or when to come back.
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
   * What is to be reported now. Teams that stay below their floor cost no message.
   *
   * @returns Demands of the teams that are due.
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
   * Takes a share into force.
   *
   * @param share The coordinator's answer.
   * @param sentAtMs When the demand was sent; the share's time counts from there.
   */
  applyShare(share: TeamShare, sentAtMs: number): void {
    this.#usages.get(share.team)?.applyShare(share, sentAtMs);
  }

  /**
   * Makes a report that got no answer due again soon.
   *
   * @param team The team.
   * @param afterMs When.
   */
  reportFailed(team: string, afterMs: number): void {
    this.#usages.get(team)?.scheduleReport(afterMs);
  }

  /** @returns The state of each team in use, for dumps. */
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
