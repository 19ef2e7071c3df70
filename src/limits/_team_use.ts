/** What one team uses at one entry, and the share it may use. */
import type { Clock } from "../base/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import type { Limits } from "./_division.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Seconds of a share's rate that may be used at once. */
const BURST_SECONDS = 1;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;
/** Width of the jitter, as a part of the time worked out. */
const RETRY_JITTER = 0.5;
/** Weight of the newest request in the mean time that requests take. */
const DURATION_WEIGHT = 0.1;
/** Part of the demand reported last that still counts, so that a quiet moment costs no share. */
const DEMAND_DECAY = 0.5;
const INITIAL_DURATION_MS = 1000;
/** A report without an answer is made again after this. */
const REPORT_TIMEOUT_MS = 3000;

/** What a {@link TeamUsage} is made from. */
export interface TeamUsageOptions {
  clock: Clock;
  random: () => number;
  limits: Limits;
  floor: Limits;
}

/** State of one team at one entry, for dumps. */
export interface TeamUsageState {
  team: string;
  inFlight: number;
  maxInFlight: number;
  tokensPerSecond: number;
  tokensAtHand: number;
  shareForMs: number;
  refused: number;
}

interface ActiveShare extends Limits {
  validUntilMs: number;
}

/** What a request came to. */
export interface Settlement {
  tokensExpected: number;
  tokensUsed: number;
  durationMs: number;
}

/** Counts since the last report. */
interface ReportPeriod {
  startedMs: number;
  peakInFlight: number;
  refused: number;
  admittedTokens: number;
  refusedTokens: number;
}

/** Use of one team. */
export class TeamUsage {
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #bucket: TokenBucket;
  #limits: Limits;
  #floor: Limits;
  #share: ActiveShare | undefined;
  /** A share that lapsed since the last report. */
  #expiredShare: Limits | undefined;
  #inFlight = 0;
  #refused = 0;
  #meanDurationMs = INITIAL_DURATION_MS;
  #period: ReportPeriod;
  #nextReportMs = 0;
  #lastReportMs = -Infinity;
  #lastWantedInFlight = 0;
  /** True: the last report asked for more than it got, so that asking sooner is of no use. */
  #isCapped = false;
  /** True: the last report gave the share back, so that its answer brings none. */
  #returnedShare = false;

  private constructor(options: TeamUsageOptions) {
    const { clock, random, limits, floor } = options;
    this.#clock = clock;
    this.#random = random;
    this.#limits = limits;
    this.#floor = floor;
    this.#period = startPeriod(clock.nowMs(), 0);
    const perSecond = floor.tokensPerSecond;
    const burst = perSecond * BURST_SECONDS;
    this.#bucket = TokenBucket.create({ clock, perSecond, burst });
  }

  /** @returns Use of a team that has no request yet. */
  static create(options: TeamUsageOptions): TeamUsage {
    return new TeamUsage(options);
  }

  /** True while a share of the coordinator is in force. */
  get hasShare(): boolean {
    return this.#activeShare() !== undefined;
  }

  /** Follows a change of the settings or of the number of entries. */
  setLimits(limits: Limits, floor: Limits): void {
    this.#limits = limits;
    this.#floor = floor;
    this.#resizeBucket();
  }

  /** @returns Which limit stands against one more request. */
  exceededLimit(tokens: number): "in_flight" | "tokens" | undefined {
    if (this.#inFlight >= this.#currentLimits().maxInFlight) return "in_flight";
    return this.#bucket.msUntil(this.#requiredTokens(tokens)) > 0
      ? "tokens"
      : undefined;
  }

  admit(tokens: number): void {
    this.#bucket.take(tokens);
    this.#inFlight++;
    const { peakInFlight } = this.#period;
    this.#period.peakInFlight = Math.max(peakInFlight, this.#inFlight);
    this.#period.admittedTokens += tokens;
  }

  /** @returns When a place or the tokens should be there, spread so that callers come apart. */
  refuse(reason: "in_flight" | "tokens", tokens: number): number {
    this.#refused++;
    this.#period.refused++;
    this.#period.refusedTokens += tokens;
    const slots = Math.max(1, this.#currentLimits().maxInFlight);
    const waitMs = reason === "in_flight"
      ? this.#meanDurationMs * this.#period.refused / slots
      : this.#bucket.msUntil(this.#requiredTokens(tokens));
    const clampedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
    return Math.ceil(clampedMs * (1 + RETRY_JITTER * this.#random()));
  }

  settle({ tokensExpected, tokensUsed, durationMs }: Settlement): void {
    this.#inFlight--;
    this.#bucket.take(tokensUsed - tokensExpected);
    this.#period.admittedTokens += tokensUsed - tokensExpected;
    const deviationMs = durationMs - this.#meanDurationMs;
    this.#meanDurationMs += deviationMs * DURATION_WEIGHT;
  }

  /** @returns Whether this entry uses that part of its floor, or has refused. */
  isNearFloor(fraction: number): boolean {
    const { refused, peakInFlight } = this.#period;
    if (refused > 0) return true;
    const { maxInFlight, tokensPerSecond } = this.#floor;
    return peakInFlight >= maxInFlight * fraction ||
      this.#wantedTokensPerSecond() >= tokensPerSecond * fraction;
  }

  /** @returns When the next report is due. */
  reportDueMs(minGapMs: number): number {
    if (this.#period.refused === 0 || this.#isCapped) return this.#nextReportMs;
    return Math.min(this.#nextReportMs, this.#lastReportMs + minGapMs);
  }

  /** @returns Whether nothing is left to remember. */
  isIdle(): boolean {
    const { peakInFlight, refused } = this.#period;
    return !this.hasShare && peakInFlight === 0 && refused === 0 &&
      this.#bucket.tokens >= this.#floor.tokensPerSecond * BURST_SECONDS;
  }

  /** @returns The demand to report, and starts a new period. */
  report(team: string): TeamDemand {
    const share = this.#activeShare();
    const { refused } = this.#period;
    const decayedInFlight = Math.floor(this.#lastWantedInFlight * DEMAND_DECAY);
    const wantedInFlight = Math.max(decayedInFlight, this.#wantedInFlight());
    this.#lastWantedInFlight = wantedInFlight;
    const demand = {
      team,
      inFlight: this.#inFlight,
      wantedInFlight: Math.min(this.#limits.maxInFlight, wantedInFlight),
      wantedTokensPerSecond: Math.min(
        this.#limits.tokensPerSecond,
        this.#wantedTokensPerSecond(),
      ),
      shareInFlight: share?.maxInFlight ?? 0,
      shareTokensPerSecond: share?.tokensPerSecond ?? 0,
      hasShare: share !== undefined,
    };
    this.#expiredShare = undefined;
    const nowMs = this.#clock.nowMs();
    this.#lastReportMs = nowMs;
    this.#nextReportMs = nowMs + REPORT_TIMEOUT_MS;
    this.#period = startPeriod(nowMs, this.#inFlight);
    this.#isCapped = refused > 0;
    this.#returnedShare = demand.wantedInFlight === 0;
    if (this.#returnedShare) this.#dropShare();
    return demand;
  }

  applyShare(share: TeamShare, sentAtMs: number): void {
    // A late answer to an earlier report: the coordinator counts with a later one.
    if (sentAtMs < this.#lastReportMs) return;
    this.#nextReportMs = sentAtMs + share.nextReportMs * this.#jitter();
    if (this.#returnedShare) return;
    this.#share = {
      maxInFlight: share.inFlight,
      tokensPerSecond: share.tokensPerSecond,
      validUntilMs: sentAtMs + share.ttlMs,
    };
    this.#resizeBucket();
  }

  scheduleReport(afterMs: number): void {
    this.#nextReportMs = this.#clock.nowMs() + afterMs * this.#jitter();
  }

  /** @returns The state, for dumps. */
  state(team: string): TeamUsageState {
    const { maxInFlight, tokensPerSecond } = this.#currentLimits();
    const validUntilMs = this.#activeShare()?.validUntilMs ?? 0;
    return {
      team,
      inFlight: this.#inFlight,
      maxInFlight,
      tokensPerSecond,
      tokensAtHand: this.#bucket.tokens,
      shareForMs: Math.max(0, validUntilMs - this.#clock.nowMs()),
      refused: this.#refused,
    };
  }

  #currentLimits(): Limits {
    return this.#activeShare() ?? this.#expiredShareLimits() ?? this.#floor;
  }

  #activeShare(): ActiveShare | undefined {
    if (this.#share && this.#share.validUntilMs <= this.#clock.nowMs()) {
      this.#expiredShare = this.#share;
      this.#dropShare();
    }
    return this.#share;
  }

  /** Until the next report a lapsed share smaller than the floor still binds. */
  #expiredShareLimits(): Limits | undefined {
    if (!this.#expiredShare) return undefined;
    const { maxInFlight, tokensPerSecond } = this.#expiredShare;
    return {
      maxInFlight: Math.min(maxInFlight, this.#floor.maxInFlight),
      tokensPerSecond: Math.min(tokensPerSecond, this.#floor.tokensPerSecond),
    };
  }

  #dropShare(): void {
    this.#share = undefined;
    this.#resizeBucket();
  }

  #resizeBucket(): void {
    const { tokensPerSecond } = this.#currentLimits();
    this.#bucket.resize(tokensPerSecond, tokensPerSecond * BURST_SECONDS);
  }

  /** A request larger than the bucket passes when it is full, and leaves a debt. */
  #requiredTokens(tokens: number): number {
    return Math.min(
      tokens,
      this.#currentLimits().tokensPerSecond * BURST_SECONDS,
    );
  }

  /** The peak, and what of the refused would be in flight besides. */
  #wantedInFlight(): number {
    const { startedMs, peakInFlight, refused } = this.#period;
    const periodMs = Math.max(1, this.#clock.nowMs() - startedMs);
    const fraction = Math.min(1, this.#meanDurationMs / periodMs);
    return peakInFlight + Math.ceil(refused * fraction);
  }

  #wantedTokensPerSecond(): number {
    const { startedMs, admittedTokens, refusedTokens } = this.#period;
    const seconds = Math.max(1, (this.#clock.nowMs() - startedMs) / 1000);
    return Math.max(0, Math.round((admittedTokens + refusedTokens) / seconds));
  }

  #jitter(): number {
    return 0.9 + 0.2 * this.#random();
  }
}

function startPeriod(startedMs: number, inFlight: number): ReportPeriod {
  return {
    startedMs,
    peakInFlight: inFlight,
    refused: 0,
    admittedTokens: 0,
    refusedTokens: 0,
  };
}
