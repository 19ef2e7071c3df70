/** Answers of simulated engines, for the tests of learned rates. */
import { seededRandom } from "../base/random.ts";
import { type EngineRates, expectedTtftMs } from "./engine_rates.ts";
import type { ServerPace } from "./server_pace.ts";
import { ServiceRates } from "./service_rates.ts";

/** Options of {@link learn}. */
export interface LearnOptions {
  seed: number;
  /** Actual rates of the service. */
  actual: EngineRates;
  /** Actual time factor of each server. */
  factors: number[];
  /** Number of answers. */
  count: number;
  /** Interval between answers. */
  intervalMs: number;
  /** Each answer that takes this many times longer; default: none. */
  outliers?: { every: number; ratio: number };
  /** Range of the random part of each time, as a share of it. */
  noise?: number;
}

/** What was learned, and how well each answer was expected. */
export interface Learned {
  rates: ServiceRates;
  paces: ServerPace[];
  /** Expected by actual time, for each answer except outliers, in order. */
  accuracies: number[];
  nowMs: number;
}

/**
 * @param options Simulated engines.
 * @returns What was learned from their answers.
 */
export function learn(
  { seed, actual, factors, count, intervalMs, outliers, noise = 0.3 }:
    LearnOptions,
): Learned {
  const random = seededRandom(seed);
  const rates = ServiceRates.create();
  const paces = factors.map(() => rates.createPace());
  const accuracies: number[] = [];
  let nowMs = 1000;
  for (let i = 0; i < count; i++) {
    nowMs += intervalMs;
    const at = Math.floor(random() * factors.length);
    const pace = paces[at]!;
    // Slower servers get shorter queues, as requests go where they are expected to wait least.
    const work = {
      queuedTokens: random() < 0.5 ? 0 : 20_000 * random() / factors[at]!,
      uncachedTokens: 300 + 12_000 * random() ** 3,
      running: Math.floor(random() * 24 / factors[at]!),
    };
    const noisy = 1 + noise * (2 * random() - 1);
    const ttftMs = factors[at]! * expectedTtftMs(actual, work) * noisy;
    const expectedMs = expectedTtftMs(rates, work) * pace.factor(nowMs);
    const isOutlier = outliers !== undefined && i % outliers.every === 0;
    if (!isOutlier) accuracies.push(expectedMs / ttftMs);
    const sample = {
      ...work,
      ttftMs: isOutlier ? ttftMs * outliers.ratio : ttftMs,
    };
    rates.record(sample, { pace, nowMs });
  }
  return { rates, paces, accuracies, nowMs };
}
