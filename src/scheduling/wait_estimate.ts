/** Estimates how long requests wait, and whether they can still be served in time. */
import type { HoldTime } from "./hold_time.ts";
import type { OfferedRequest, WaitingRequest } from "./ticket.ts";
import type { WaitingFlow } from "./waiting_flow.ts";

/**
 * Waits are taken to be this much longer than estimated, as allowances vary: nearly all requests that
 * begin to wait should be served.
 */
const WAIT_MARGIN = 1.5;
/** Part of the remaining time that an answer is expected to take at most. */
const MAX_ANSWER_SHARE = 0.8;
/** Longest retry delay as a share of the remaining time; clients ignore more than a third. */
const MAX_RETRY_SHARE = 0.3;
/** Range of the random part of a retry delay, as a share of the delay. */
const RETRY_JITTER_SHARE = 0.5;

/** Options of {@link WaitEstimate}. */
export interface WaitEstimateOptions {
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** Longest wait, as a share of the time that the request has. */
  maxWaitShare: number;
  hold: HoldTime;
  /** Expected time until there is room for the next request of a flow. */
  roomInMs(flow: WaitingFlow, units: number, nowMs: number): number;
}

/** Estimates for the requests of one service at one entry. */
export class WaitEstimate {
  readonly #options: WaitEstimateOptions;

  private constructor(options: WaitEstimateOptions) {
    this.#options = options;
  }

  /**
   * @param options Settings and measured times.
   * @returns Estimates by these times.
   */
  static create(options: WaitEstimateOptions): WaitEstimate {
    return new WaitEstimate(options);
  }

  /**
   * @param request A request.
   * @param nowMs Current time.
   * @returns Whether its answer would miss its target even if it were sent now.
   */
  isLate({ targetAtMs, deadlineAtMs }: OfferedRequest, nowMs: number): boolean {
    return nowMs + this.#answerMs(deadlineAtMs - nowMs) > targetAtMs;
  }

  /**
   * @param request A request that is offered.
   * @param nowMs Current time.
   * @returns When it is refused if it still waits.
   */
  giveUpAtMs({ deadlineAtMs }: OfferedRequest, nowMs: number): number {
    const leftMs = deadlineAtMs - nowMs;
    const maxWaitMs = leftMs * this.#options.maxWaitShare;
    return nowMs + Math.min(maxWaitMs, leftMs - this.#answerMs(leftMs));
  }

  /**
   * @param flow Its flow.
   * @param request A request that waits.
   * @param nowMs Current time.
   * @returns Whether it is expected to be admitted in time for its line.
   */
  isWorthWaiting(
    flow: WaitingFlow,
    request: WaitingRequest,
    nowMs: number,
  ): boolean {
    const endMs = nowMs + WAIT_MARGIN * this.#waitMs(flow, request, nowMs);
    if (endMs > request.giveUpAtMs) return false;
    const answerMs = this.#answerMs(request.deadlineAtMs - nowMs);
    return request.isLate || endMs + answerMs <= request.targetAtMs;
  }

  /**
   * @param flow Its flow.
   * @param request A request that waits and is about to be refused.
   * @param nowMs Current time.
   * @returns When its client should return, spread at random.
   */
  retryAfterMs(
    flow: WaitingFlow,
    request: WaitingRequest,
    nowMs: number,
  ): number {
    const leftMs = Math.max(0, request.deadlineAtMs - nowMs);
    const maxMs = leftMs * MAX_RETRY_SHARE / (1 + RETRY_JITTER_SHARE);
    const jitter = 1 + RETRY_JITTER_SHARE * this.#options.random();
    return Math.min(maxMs, this.#waitMs(flow, request, nowMs)) * jitter;
  }

  /** Time until there is room, and then work ahead of the request by the rate of its line. */
  #waitMs(flow: WaitingFlow, request: WaitingRequest, nowMs: number): number {
    const { roomInMs, hold } = this.#options;
    const { units } = request;
    const rate = (flow.share?.allowance ?? 0) * flow.lineShare(request) /
      hold.meanMs;
    const aheadUnits = flow.unitsUntil(request) - (request.isLate ? 0 : units);
    const aheadMs = aheadUnits > 0 ? aheadUnits / rate : 0;
    return roomInMs(flow, units, nowMs) + aheadMs;
  }

  /** Time that few answers exceed; where that is most of the time left, some is left to wait. */
  #answerMs(leftMs: number): number {
    return Math.min(this.#options.hold.slowMs, leftMs * MAX_ANSWER_SHARE);
  }
}
