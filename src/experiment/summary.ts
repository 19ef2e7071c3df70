/** Computes the figures of runs, and their median and range over seeds. */
import type { RequestRecord } from "./entry_model.ts";
import type { PrefillRecord, RunTrace } from "./run_once.ts";
import type { ClassPlan, Workload } from "./workload.ts";

/** Figures of one class in one run. */
export interface ClassFigures {
  requests: number;
  ttftP50Ms: number;
  ttftP95Ms: number;
  ttftP99Ms: number;
  /** Like `ttftP99Ms`, but a request without a first token counts with its deadline. */
  ttftP99AllMs: number;
  refusedShare: number;
  failedShare: number;
  /** Share of requests that were refused, failed or got no first token before the deadline. */
  lateShare: number;
  /** Share of prompt tokens that were cached on the server that ran the request. */
  hitRate: number;
  /** Share of prompt tokens recomputed although another running server had them cached. */
  wastedShare: number;
}

/** Figures of one run. */
export interface RunFigures {
  classes: Record<string, ClassFigures>;
  hitRate: number;
  wastedShare: number;
  /** For each pool: tokens prefilled by the busiest worker, divided by the mean over workers. */
  imbalance: Record<string, number>;
  controlMessages: number;
  controlBytes: number;
  refusals: number;
  refusalsWithoutRetryAfter: number;
}

/** Median, lowest and highest value of a figure over seeds. */
export interface Spread {
  median: number;
  lowest: number;
  highest: number;
}

/**
 * For each event: p95 of a class's time to first token from 5 to 15 s after the event, divided by
 * the p95 before the first event. Requests without a first token count with their deadline.
 */
export interface RecoveryFigures {
  shiftRatio: number;
  crashRatio: number;
  drainRatio: number;
}

const RECOVERY_DELAY_MS = 5_000;
const RECOVERY_WINDOW_MS = 10_000;

/**
 * @param workload The workload of the run.
 * @param trace The records of the run.
 * @returns The run's figures, without the requests of the warm-up period.
 */
export function summarize(workload: Workload, trace: RunTrace): RunFigures {
  const { warmMs } = workload.events;
  const requests = trace.requests.filter(({ plan }) => plan.atMs >= warmMs);
  const prefills = trace.prefills.filter(({ plan }) => plan.atMs >= warmMs);
  const refused = requests.filter(({ outcome }) => outcome === "refused");
  return {
    classes: Object.fromEntries(workload.classes.map((each) => {
      return [each.name, summarizeClass(each, { requests, prefills })];
    })),
    hitRate: hitRateOf(prefills),
    wastedShare: wastedShareOf(prefills),
    imbalance: Object.fromEntries(
      Object.entries(trace.prefilledTokens).map((
        [pool, tokens],
      ) => [pool, imbalanceOf(tokens)]),
    ),
    controlMessages: mean(requests.map(({ asks }) => 2 * asks)),
    controlBytes: mean(requests.map(({ controlBytes }) => controlBytes)),
    refusals: refused.length,
    refusalsWithoutRetryAfter:
      refused.filter(({ retryAfterMs }) => retryAfterMs === 0).length,
  };
}

/**
 * @param workload The workload of the runs.
 * @param traces Records of runs with different seeds; their requests are combined.
 * @returns The recovery ratios after each event, by class name.
 */
export function summarizeRecovery(
  workload: Workload,
  traces: RunTrace[],
): Record<string, RecoveryFigures> {
  const { warmMs, shiftMs, crashMs, drainMs } = workload.events;
  const requests = traces.flatMap((trace) => trace.requests);
  return Object.fromEntries(workload.classes.map((each) => {
    const classRequests = requests.filter(({ plan }) =>
      plan.class.name === each.name
    );
    const p95 = (fromMs: number, toMs: number) => {
      const inWindow = classRequests.filter(({ plan }) =>
        plan.atMs >= fromMs && plan.atMs < toMs
      );
      return percentile(inWindow.map(ttftOrDeadline), 0.95);
    };
    const baselineMs = p95(2 * warmMs, shiftMs);
    const ratioAfter = (eventMs: number) => {
      const fromMs = eventMs + RECOVERY_DELAY_MS;
      return p95(fromMs, fromMs + RECOVERY_WINDOW_MS) / baselineMs;
    };
    return [each.name, {
      shiftRatio: ratioAfter(shiftMs),
      crashRatio: ratioAfter(crashMs),
      drainRatio: ratioAfter(drainMs),
    }];
  }));
}

/**
 * @param values One value per seed.
 * @returns The median and range of the values.
 */
export function spreadOf(values: number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    median: percentile(sorted, 0.5),
    lowest: sorted[0] ?? NaN,
    highest: sorted.at(-1) ?? NaN,
  };
}

/**
 * @param values The values, in any order.
 * @param share The percentile as a fraction from 0 to 1.
 * @returns The smallest of the values that is at least as large as this share of them; NaN for an
 *   empty array.
 */
export function percentile(values: number[], share: number): number {
  if (values.length === 0) return NaN;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)]!;
}

interface MeasuredRecords {
  requests: RequestRecord[];
  prefills: PrefillRecord[];
}

function summarizeClass(
  plan: ClassPlan,
  records: MeasuredRecords,
): ClassFigures {
  const requests = records.requests.filter((each) => each.plan.class === plan);
  const prefills = records.prefills.filter((each) => each.plan.class === plan);
  const ttfts = requests.filter(({ ttftMs }) => ttftMs < Infinity).map((
    { ttftMs },
  ) => ttftMs);
  const shareOf = (isIn: (record: RequestRecord) => boolean) => {
    return requests.filter(isIn).length / Math.max(1, requests.length);
  };
  return {
    requests: requests.length,
    ttftP50Ms: percentile(ttfts, 0.5),
    ttftP95Ms: percentile(ttfts, 0.95),
    ttftP99Ms: percentile(ttfts, 0.99),
    ttftP99AllMs: percentile(requests.map(ttftOrDeadline), 0.99),
    refusedShare: shareOf(({ outcome }) => outcome === "refused"),
    failedShare: shareOf(({ outcome }) => outcome === "failed"),
    lateShare: shareOf((each) =>
      each.outcome !== "answered" || each.ttftMs > plan.deadlineMs
    ),
    hitRate: hitRateOf(prefills),
    wastedShare: wastedShareOf(prefills),
  };
}

function ttftOrDeadline({ ttftMs, plan }: RequestRecord): number {
  return ttftMs < Infinity ? ttftMs : plan.class.deadlineMs;
}

function hitRateOf(prefills: PrefillRecord[]): number {
  const cached = prefills.map(({ cachedTokens }) => cachedTokens);
  return sum(cached) / sum(prefills.map(({ promptTokens }) => promptTokens));
}

function wastedShareOf(prefills: PrefillRecord[]): number {
  const wasted = prefills.map(({ wastedTokens }) => wastedTokens);
  return sum(wasted) / sum(prefills.map(({ promptTokens }) => promptTokens));
}

function imbalanceOf(tokens: number[]): number {
  return Math.max(...tokens) / mean(tokens);
}

function mean(values: number[]): number {
  return sum(values) / Math.max(1, values.length);
}

function sum(values: number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
