/** Estimates how long requests wait, and whether they can still be served in time. */
import { ForecastError } from "./forecast_error.ts";
import type { HoldTime } from "./hold_time.ts";
import type { OfferedRequest, WaitingRequest } from "./ticket.ts";
import type { WaitingFlow } from "./waiting_flow.ts";

/** Longest retry delay as a share of the remaining time; clients ignore more than a third. */
const MAX_RETRY_SHARE = 0.3;
/** Range of the random part of a retry delay, as a share of the delay. */
const RETRY_JITTER_SHARE = 0.5;

/** Options of {@link WaitEstimate}. */
export interface WaitEstimateOptions {
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** Of requests of all priorities. */
  hold: HoldTime;
  /** Time that requests of a priority stay admitted. */
  answerTime(priority: number): Pick<HoldTime, "meanMs" | "slowMs">;
  /** Expected time until there is room for the next request of a flow. */
  roomInMs(flow: WaitingFlow, units: number, nowMs: number): number;
  /** When the process ends all requests; default: it doesn't. */
  endAtMs?(): number;
}

/** Estimates for the requests of one service at one entry. */
export class WaitEstimate {
  readonly #options: WaitEstimateOptions;
  readonly #error: ForecastError;

  private constructor(options: WaitEstimateOptions) {
    this.#options = options;
    this.#error = ForecastError.create(options.hold.meanMs);
  }

  /**
   * @param options Measured times and random numbers.
   * @returns Estimates by these times.
   */
  static create(options: WaitEstimateOptions): WaitEstimate {
    return new WaitEstimate(options);
  }

  /**
   * @param flow A flow.
   * @param request A request that is offered, and that waits in the flow for the moment.
   * @param nowMs Current time.
   * @returns The requests of the flow that would have to be refused for it, the first one first; itself
   *   alone if it would miss its own deadline. Slow waits and answers are assumed: a request that
   *   competes for room should be served if it gets any.
   */
  missing(
    flow: WaitingFlow,
    request: WaitingRequest,
    nowMs: number,
  ): WaitingRequest[] {
    const missing: WaitingRequest[] = [];
    /** Units ahead, and those of them that would not be there without the request. */
    let units = 0;
    let addedUnits = 0;
    for (const other of flow.requests()) {
      const fits = this.#isSlowInTime(flow, other, { units, nowMs });
      if (other === request) {
        if (!fits) return [request];
        addedUnits = other.units;
      } else if (!fits && addedUnits > 0) {
        const before = { units: units - addedUnits, nowMs };
        if (this.#isSlowInTime(flow, other, before)) {
          missing.push(other);
          addedUnits = Math.max(0, addedUnits - other.units);
          continue;
        }
      }
      units += other.units;
    }
    return missing;
  }

  /**
   * @param flow A flow.
   * @param nowMs Current time.
   * @returns Its requests that probably can't be answered any more before their deadlines or the end of
   *   the process.
   */
  hopeless(flow: WaitingFlow, nowMs: number): WaitingRequest[] {
    const hopeless: WaitingRequest[] = [];
    let units = 0;
    for (const request of flow.requests()) {
      const waitMs = this.#waitMs(flow, request, { units, nowMs });
      const answerMs = this.#error.fastMs(waitMs) + this.#answerMs(request);
      if (answerMs > this.#timeToAnswerMs(request, nowMs)) {
        hopeless.push(request);
      } else units += request.units;
    }
    return hopeless;
  }

  /**
   * @param flow Its flow.
   * @param request A request that begins to wait.
   * @param nowMs Current time.
   * @returns Estimate of its wait, for {@link WaitEstimate.waited}.
   */
  expectedMs(
    flow: WaitingFlow,
    request: WaitingRequest,
    nowMs: number,
  ): number {
    const units = flow.unitsBefore(request);
    return this.#waitMs(flow, request, { units, nowMs });
  }

  /**
   * Learns from a request that waits no longer.
   *
   * @param expectedMs Estimate when it began to wait.
   * @param waitedMs Time that it waited.
   */
  waited(expectedMs: number, waitedMs: number): void {
    this.#error.record(expectedMs, waitedMs);
  }

  /**
   * @param flow Its flow.
   * @param request A request that waits and is about to be refused.
   * @param nowMs Current time.
   * @returns When its client should return. If no visit before its deadline can be served, that time is
   *   the delay, or the one until there is room if that is longer; otherwise it is spread at random.
   */
  retryAfterMs(
    flow: WaitingFlow,
    request: WaitingRequest,
    nowMs: number,
  ): number {
    const leftMs = Math.max(0, request.deadlineAtMs - nowMs);
    const maxMs = leftMs * MAX_RETRY_SHARE / (1 + RETRY_JITTER_SHARE);
    const jitter = 1 + RETRY_JITTER_SHARE * this.#options.random();
    const waitMs = this.#error.meanMs(this.expectedMs(flow, request, nowMs));
    // Without room, nothing is known about when there will be some.
    if (!Number.isFinite(waitMs)) return maxMs * jitter;
    const answerMs = this.#options.answerTime(request.priority).meanMs;
    // Another process may have room, so the end of this one doesn't count.
    const isHopeless = waitMs + answerMs > timeToAnswerMs(request, nowMs);
    if (isHopeless) return Math.max(leftMs, waitMs);
    return Math.min(maxMs, waitMs) * jitter;
  }

  #isSlowInTime(
    flow: WaitingFlow,
    request: WaitingRequest,
    { units, nowMs }: { units: number; nowMs: number },
  ): boolean {
    const waitMs = this.#waitMs(flow, request, { units, nowMs });
    const answerMs = this.#error.slowMs(waitMs) + this.#answerMs(request);
    return answerMs <= this.#timeToAnswerMs(request, nowMs);
  }

  /**
   * Time of a slow answer. If that is longer than the request ever had, as where servers hang, waiting
   * is still worth it for the others.
   */
  #answerMs(request: WaitingRequest): number {
    const { meanMs, slowMs } = this.#options.answerTime(request.priority);
    const isTooSlow =
      slowMs > this.#timeToAnswerMs(request, request.offeredAtMs);
    return isTooSlow ? meanMs : slowMs;
  }

  /** The same as {@link timeToAnswerMs}, but at most until the process ends. */
  #timeToAnswerMs(request: WaitingRequest, nowMs: number): number {
    const endAtMs = this.#options.endAtMs?.() ?? Infinity;
    const untilEndMs = endAtMs - nowMs - request.outputMs;
    return Math.min(timeToAnswerMs(request, nowMs), untilEndMs);
  }

  /** Time until there is room, and then the work ahead by the rate of the flow. */
  #waitMs(
    flow: WaitingFlow,
    request: WaitingRequest,
    { units, nowMs }: { units: number; nowMs: number },
  ): number {
    const { roomInMs, hold } = this.#options;
    const { share, meanAllowance } = flow;
    const unitMs = hold.meanMs / meanAllowance;
    const aheadMs = units > 0 ? units * unitMs : 0;
    // The time until there is room is in proportion to the allowance, which changes meanwhile.
    const allowance = share?.allowance ?? 0;
    const roomMs = allowance > 0
      ? roomInMs(flow, request.units, nowMs) * allowance / meanAllowance
      : request.units * unitMs;
    return roomMs + aheadMs;
  }
}

/** Time in which the request's answer must begin at an engine, or end elsewhere. */
function timeToAnswerMs(
  { deadlineAtMs, outputMs }: OfferedRequest,
  nowMs: number,
): number {
  return deadlineAtMs - nowMs - outputMs;
}
