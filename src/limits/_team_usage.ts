/** Tracks what one team uses at one entry and the share that it may use. */
import type { Clock } from "../base/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import type { Limits } from "./_division.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Token bucket size, in seconds of the share's token rate. */
const BURST_SECONDS = 1;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;
/** Largest jitter added to a retry time, as a part of it. */
const RETRY_JITTER = 0.5;
/** Weight of the newest request in the moving average of request durations. */
const DURATION_WEIGHT = 0.1;
/** Part of the last reported demand that still counts, so that a short pause keeps the share. */
const DEMAND_DECAY = 0.5;
const INITIAL_DURATION_MS = 1000;
/** A report that got no answer is repeated after this time. */
const REPORT_TIMEOUT_MS = 3000;

/** Settings of a {@link TeamUsage}. */
export interface TeamUsageOptions {
  clock: Clock;
  random: () => number;
  limits: Limits;
  floor: Limits;
}

/** State of one team at one entry, for state dumps. */
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

/** Cost and duration of a request that ended. */
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

/** Requests in flight, tokens and share of one team at one entry. */
export class TeamUsage {
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #bucket: TokenBucket;
  #limits: Limits;
  #floor: Limits;
  #share: ActiveShare | undefined;
  /** A share that expired since the last report. */
  #expiredShare: Limits | undefined;
  #inFlight = 0;
  #refused = 0;
  #meanDurationMs = INITIAL_DURATION_MS;
  #period: ReportPeriod;
  #nextReportMs = 0;
  #lastReportMs = -Infinity;
  #lastWantedInFlight = 0;
  /** Requests were refused before the last report too, so an earlier next report would not help. */
  #isCapped = false;
  /** The last report returned the share, so its answer grants none. */
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

  /** @returns The usage of a team without any requests. */
  static create(options: TeamUsageOptions): TeamUsage {
    return new TeamUsage(options);
  }

  /** Whether a share from the coordinator is valid now. */
  get hasShare(): boolean {
    return this.#activeShare() !== undefined;
  }

  /** Applies new limits, and a new floor when the number of entries changes. */
  setLimits(limits: Limits, floor: Limits): void {
    this.#limits = limits;
    this.#floor = floor;
    this.#resizeBucket();
  }

  /** @returns The limit that one more request would exceed, if any. */
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

  /**
   * Counts a refused request.
   *
   * @returns Estimated time until it can be admitted, with jitter to spread the retries of callers.
   */
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

  /** @returns Whether this entry uses at least that part of its floor or has refused a request. */
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

  /** @returns Whether the team has no share, no recent requests and a full bucket. */
  isIdle(): boolean {
    const { peakInFlight, refused } = this.#period;
    return !this.hasShare && peakInFlight === 0 && refused === 0 &&
      this.#bucket.tokens >= this.#floor.tokensPerSecond * BURST_SECONDS;
  }

  /**
   * Starts a new report period.
   *
   * @returns The demand of the past period.
   */
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
    // Ignores a late answer to an earlier report: the coordinator may have recorded the newer one.
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

  /** @returns The state, for state dumps. */
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

  /** Until the next report, an expired share that is smaller than the floor still applies. */
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

  /** Caps at the bucket size: a full bucket admits a larger request, and keeps a debt. */
  #requiredTokens(tokens: number): number {
    return Math.min(
      tokens,
      this.#currentLimits().tokensPerSecond * BURST_SECONDS,
    );
  }

  /** Peak of requests in flight plus the refused ones that would be in flight at the same time. */
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
