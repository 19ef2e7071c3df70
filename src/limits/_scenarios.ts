/** Load and fault scenarios for measuring the team limits. */
import { rankProcesses } from "../lease/mod.ts";
import { Fleet, type FleetEntry, TEAM } from "./_fleet.ts";
import type { Limits } from "./_division.ts";

const TICK_MS = 50;
const MEAN_DURATION_MS = 1000;
const LOAD_STEP_S = 20;
const FAULT_S = 40;
const LIST_UPDATE_DELAY_S = 5;
const END_S = 80;
const LOW_DEMAND = 0.3;
const HIGH_DEMAND = 2;

/** Names of the scenarios. */
export const Scenario = {
  Even: "even",
  Skewed: "skewed",
  SkewMoves: "skew_moves",
  CoordinatorDies: "coordinator_dies",
  EntriesStart: "entries_start",
  Partition: "partition",
} as const;
/** One of {@link Scenario}. */
export type Scenario = (typeof Scenario)[keyof typeof Scenario];

/** Settings of one scenario run. */
export interface ScenarioOptions {
  scenario: Scenario;
  entryCount: number;
  limits: Limits;
  seed: number;
}

/** Figures of one scenario run. */
export interface ScenarioResult {
  /** Peak of requests in flight, as a part of the limit. */
  maxInFlightRatio: number;
  medianInFlightRatio: number;
  /** Longest continuous time above the limit. */
  longestOverMs: number;
  /** Mean requests in flight under overload, as a part of the limit and capped at 1. */
  utilisation: number;
  /** The same mean, from 10 s after the load step. */
  lateUtilisation: number;
  /** Time from the load step to 90% of the limit; undefined if that was never reached. */
  rampMs: number | undefined;
  /** Most tokens admitted in a second, as a part of the limit. */
  maxTokenRatio: number;
  /** Mean tokens admitted in a second, as a part of the limit. */
  meanTokenRatio: number;
  /** Encoded bytes per second, sent and received, at the busiest and at the median entry. */
  maxBytesPerSecond: number;
  medianBytesPerSecond: number;
  maxMessagesPerSecond: number;
}

/**
 * Runs a scenario in which demand steps from 0.3 to 2 times the limit, followed by a fault.
 *
 * @param options Scenario and sizes.
 * @returns Figures measured from the load step on.
 */
export async function runScenario(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const { entryCount, limits, seed, scenario } = options;
  const fleet = Fleet.create({
    entryCount,
    limits,
    seed,
    tickMs: TICK_MS,
    meanDurationMs: MEAN_DURATION_MS,
  });
  const inFlight: number[] = [];
  const tokens: number[] = [];
  const faults = scheduleFaults(fleet, scenario);
  for (let atMs = 0; atMs < END_S * 1000; atMs += TICK_MS) {
    if (atMs === LOAD_STEP_S * 1000) resetTraffic(fleet);
    faults.get(atMs)?.();
    const demand = atMs < LOAD_STEP_S * 1000 ? LOW_DEMAND : HIGH_DEMAND;
    const perSecond = demand * limits.maxInFlight / MEAN_DURATION_MS * 1000;
    const loadShareOf = loadDistribution(fleet, scenario, atMs);
    const tick = await fleet.tick((entry) => perSecond * loadShareOf(entry));
    if (atMs < LOAD_STEP_S * 1000) continue;
    inFlight.push(tick.inFlight);
    tokens.push(tick.tokensAdmitted);
  }
  return summarise(fleet, { inFlight, tokens }, limits);
}

type LoadDistribution = (entry: FleetEntry) => number;

function loadDistribution(
  fleet: Fleet,
  scenario: Scenario,
  atMs: number,
): LoadDistribution {
  const aliveEntries = fleet.entries.filter(({ isAlive: alive }) => alive);
  const hotIndex = scenario === Scenario.SkewMoves && atMs >= FAULT_S * 1000
    ? 1
    : 0;
  switch (scenario) {
    case Scenario.Skewed:
    case Scenario.SkewMoves:
      return (entry) => entry === aliveEntries[hotIndex] ? 1 : 0;
    case Scenario.Even:
    case Scenario.CoordinatorDies:
    case Scenario.EntriesStart:
    case Scenario.Partition:
      return () => 1 / aliveEntries.length;
  }
}

function scheduleFaults(
  fleet: Fleet,
  scenario: Scenario,
): Map<number, () => void> {
  const faultMs = FAULT_S * 1000;
  const listsUpdatedMs = faultMs + LIST_UPDATE_DELAY_S * 1000;
  const listAll = () => fleet.setEntryLists(() => true);
  switch (scenario) {
    case Scenario.CoordinatorDies:
      return new Map([
        [faultMs, () => fleet.kill(coordinatorOf(fleet))],
        [listsUpdatedMs, listAll],
      ]);
    case Scenario.EntriesStart: {
      const count = Math.max(1, Math.floor(fleet.entries.length / 10));
      const start = () => {
        const known = fleet.entries[0]!.knownIds;
        for (let next = 0; next < count; next++) {
          fleet.addEntry().knownIds.push(...known);
        }
      };
      return new Map([[faultMs, start], [listsUpdatedMs, listAll]]);
    }
    case Scenario.Partition: {
      const split = () => {
        const { entries } = fleet;
        entries.forEach((entry, index) => entry.partition = index % 2);
      };
      const listPartitions = () =>
        fleet.setEntryLists((a, b) => a.partition === b.partition);
      return new Map([[faultMs, split], [listsUpdatedMs, listPartitions]]);
    }
    case Scenario.Even:
    case Scenario.Skewed:
    case Scenario.SkewMoves:
      return new Map();
  }
}

function coordinatorOf(fleet: Fleet): FleetEntry {
  const ids = fleet.entries.map(({ id }) => id);
  const [first] = rankProcesses(TEAM, ids);
  return fleet.entries.find(({ id }) => id === first)!;
}

function resetTraffic(fleet: Fleet): void {
  for (const entry of fleet.entries) {
    entry.bytes = 0;
    entry.messages = 0;
  }
}

function summarise(
  fleet: Fleet,
  series: { inFlight: number[]; tokens: number[] },
  limits: Limits,
): ScenarioResult {
  const { inFlight, tokens } = series;
  const ratios = inFlight.map((count) => count / limits.maxInFlight);
  const utilisations = ratios.map((ratio) => Math.min(1, ratio));
  const rampTicks = ratios.findIndex((ratio) => ratio >= 0.9);
  const seconds = END_S - LOAD_STEP_S;
  const bytes = sorted(fleet.entries.map((entry) => entry.bytes / seconds));
  const messages = fleet.entries.map((entry) => entry.messages / seconds);
  return {
    maxInFlightRatio: Math.max(...ratios),
    medianInFlightRatio: median(sorted(ratios)),
    longestOverMs: longestRun(ratios, (ratio) => ratio > 1) * TICK_MS,
    utilisation: mean(utilisations),
    lateUtilisation: mean(utilisations.slice(10_000 / TICK_MS)),
    rampMs: rampTicks < 0 ? undefined : rampTicks * TICK_MS,
    maxTokenRatio: maxOverSecond(tokens) / limits.tokensPerSecond,
    meanTokenRatio: mean(tokens) * 1000 / TICK_MS / limits.tokensPerSecond,
    maxBytesPerSecond: bytes.at(-1)!,
    medianBytesPerSecond: median(bytes),
    maxMessagesPerSecond: Math.max(...messages),
  };
}

function maxOverSecond(ticks: number[]): number {
  const width = 1000 / TICK_MS;
  let most = 0;
  for (let from = 0; from + width <= ticks.length; from++) {
    let sum = 0;
    for (let at = from; at < from + width; at++) sum += ticks[at]!;
    most = Math.max(most, sum);
  }
  return most;
}

function longestRun(
  values: number[],
  holds: (value: number) => boolean,
): number {
  let longest = 0;
  let current = 0;
  for (const value of values) {
    current = holds(value) ? current + 1 : 0;
    longest = Math.max(longest, current);
  }
  return longest;
}

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function sorted(values: number[]): number[] {
  return [...values].sort((a, b) => a - b);
}

function median(ordered: number[]): number {
  return ordered[Math.floor(ordered.length / 2)]!;
}
